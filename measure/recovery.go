package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/settings"
)

// RecoveryConfig says how recovery is measured.
type RecoveryConfig struct {
	Layout        Layout
	Daemons       int
	Rounds        int
	Streams       int           // of each way in a round
	Tokens        int           // of each stream
	Outage        time.Duration // of the store
	ShortTimeouts bool          // the short timeouts of the tests in place of the defaults
	Seed          uint64
	Faults        []Fault
}

// Fault is a kind of failure.
type Fault string

// The values of Fault.
const (
	FaultStageDies          Fault = "stage-dies"
	FaultStageUnresponsive  Fault = "stage-silent"  // all connections to one stage
	FaultDaemonDies         Fault = "daemon-dies"   // the caller re-attaches elsewhere
	FaultCallerUnresponsive Fault = "caller-silent" // callers' connections to one daemon
	FaultStoreOutageEnds    Fault = "store-outage-ends"
)

// Faults lists all.
func Faults() []Fault {
	return []Fault{FaultStageDies, FaultStageUnresponsive, FaultDaemonDies, FaultCallerUnresponsive, FaultStoreOutageEnds}
}

// DefaultRecovery is the published measurement.
func DefaultRecovery() RecoveryConfig {
	const step = 10 * time.Millisecond
	return RecoveryConfig{
		Layout: Layout{
			Groups: []ReplicaGroup{{Kind: "fast", Replicas: 4, StepTimes: []time.Duration{step, step, step}}},
			Layers: 24, BatchCap: 8, Slots: 32,
		},
		Daemons: 4, Rounds: 10, Streams: 24, Tokens: 60, Outage: 5 * time.Second, Seed: 1, Faults: Faults(),
	}
}

// FaultResult is what one way showed under one fault.
type FaultResult struct {
	Fault    Fault     `json:"fault"`
	Strategy string    `json:"way"`
	Times    Quantiles `json:"times"` // from the fault to the next token, or from the outage's end to the first

	Streams      int `json:"streams"`     // all, met by the fault or not
	Incomplete   int `json:"not_whole"`   // answers that ended without all tokens, and said so
	WrongAnswers int `json:"lost"`        // told to be whole, but is not
	RanTwice     int `json:"ran_twice"`   // never to be repeated, but was
	Violations   int `json:"layer_order"` // of both ways together

	OtherOutcomes []ReasonCount `json:"ends,omitempty"` // of those not whole
}

// Recovery is the result.
type Recovery struct {
	Machine  Machine       `json:"machine"`
	Timeouts Timeouts      `json:"timeouts"`
	Layout   Layout        `json:"layout"`
	Daemons  int           `json:"daemons"`
	Rounds   int           `json:"rounds"`
	Faults   []FaultResult `json:"faults"`
	Goals    []Goal        `json:"goals"`
}

// Timeouts are the settings that recovery hangs on, as text.
type Timeouts struct {
	Progress   settings.Duration `json:"backends_progress_timeout"`
	Connect    settings.Duration `json:"backends_connect_timeout"`
	Probe      settings.Duration `json:"peers_probe_interval"`
	Suspicion  settings.Duration `json:"peers_suspicion_timeout"`
	Store      settings.Duration `json:"store_timeout"`
	AddressTTL settings.Duration `json:"address_answer_valid"`
}

// errDefaults says that the built-in settings can't be read.
var errDefaults = errors.New("default settings do not decode")

// production returns a change of the site's settings, which are made for tests,
// to the defaults.
func production() (func(*settings.Settings), error) {
	text, err := json.Marshal(map[string]any{
		"id": "x", "instance": "x", "failure_domain": "x", "region": "x",
		"peer_address": "127.0.0.1:0", "caller_address": "127.0.0.1:0",
		"platform": map[string]any{
			"table_url": "http://127.0.0.1:1", "objects_url": "http://127.0.0.1:1", "instances_url": "http://127.0.0.1:1",
		},
	})
	if err != nil {
		return nil, err
	}
	def, faults := settings.Decode(text)
	if len(faults) > 0 {
		return nil, fmt.Errorf("%w: %s", errDefaults, faults[0])
	}
	return func(s *settings.Settings) {
		s.AddressAnswerValid, s.IsolationBound = def.AddressAnswerValid, def.IsolationBound
		s.Drain, s.Peers, s.Backends, s.Store = def.Drain, def.Peers, def.Backends, def.Store
		s.Limits.LoanLife = def.Limits.LoanLife
	}, nil
}

// RunRecovery measures recovery and tells each step through say.
func RunRecovery(ctx context.Context, cfg RecoveryConfig, say func(string)) (Recovery, error) {
	res := Recovery{Machine: thisMachine(), Layout: cfg.Layout, Daemons: cfg.Daemons, Rounds: cfg.Rounds}
	change, err := production()
	if err != nil {
		return res, err
	}
	if cfg.ShortTimeouts {
		change = func(*settings.Settings) {}
	}
	f, err := startFleet(ctx, cfg.Layout, cfg.Daemons, func(s *settings.Settings) {
		change(s)
		res.Timeouts = Timeouts{
			Progress: s.Backends.ProgressTimeout, Connect: s.Backends.ConnectTimeout,
			Probe: s.Peers.ProbeInterval, Suspicion: s.Peers.SuspicionTimeout,
			Store: s.Store.Timeout, AddressTTL: s.AddressAnswerValid,
		}
	})
	if err != nil {
		return res, err
	}
	defer f.site.Close()
	base := newTwoChoices(f.site, cfg.Layout, cfg.Daemons, cfg.Seed)
	defer base.close()
	r := &recovery{cfg: cfg, fleet: f, base: base, say: say}
	if err := r.warmUp(ctx); err != nil {
		return res, err
	}
	for _, fault := range cfg.Faults {
		got, err := r.measure(ctx, fault)
		if err != nil {
			return res, fmt.Errorf("%s: %w", fault, err)
		}
		res.Faults = append(res.Faults, got...)
	}
	res.Goals = recoveryGoals(res.Faults)
	return res, nil
}

func recoveryGoals(all []FaultResult) []Goal {
	var out []Goal
	for _, r := range all {
		switch {
		case r.Strategy != StrategyDaemons:
		case r.Fault == FaultStageDies:
			out = append(out, atMost("next token after a stage's death, p99, ms", ms(goalStage), r.Times.P99))
		case r.Fault == FaultDaemonDies:
			out = append(out, atMost("re-attached answer after a daemon's death, p99, ms", ms(goalDaemon), r.Times.P99))
		}
	}
	return out
}
