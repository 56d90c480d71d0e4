package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// RecoveryConfig configures the recovery measurement.
type RecoveryConfig struct {
	Layout        Layout
	Daemons       int
	Rounds        int
	Streams       int           // per strategy in a round
	Tokens        int           // per stream
	Outage        time.Duration // duration of the store outage
	ShortTimeouts bool          // use the short timeouts of the tests instead of the defaults
	Seed          uint64
	Faults        []Fault
	Log           *telemetry.Log // of the daemons; nil discards it
}

// Fault is a kind of injected failure.
type Fault string

// The values of Fault.
const (
	FaultStageDies          Fault = "stage-dies"
	FaultStageUnresponsive  Fault = "stage-silent"  // all connections to one stage
	FaultDaemonDies         Fault = "daemon-dies"   // the caller re-attaches to another daemon
	FaultCallerUnresponsive Fault = "caller-silent" // callers' connections to one daemon
	FaultStoreOutageEnds    Fault = "store-outage-ends"
)

// Faults lists all kinds of faults.
func Faults() []Fault {
	return []Fault{FaultStageDies, FaultStageUnresponsive, FaultDaemonDies, FaultCallerUnresponsive, FaultStoreOutageEnds}
}

// DefaultRecovery returns the configuration of the published results.
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

// FaultResult is the result of one strategy under one fault.
type FaultResult struct {
	Fault    Fault     `json:"fault"`
	Strategy string    `json:"way"`
	Times    Quantiles `json:"times"` // from the fault to the next token, or from the end of the outage to the first token

	Streams      int `json:"streams"`     // all streams, affected by the fault or not
	Incomplete   int `json:"not_whole"`   // answers that were not reported as completed
	WrongAnswers int `json:"lost"`        // reported as completed, but with wrong or missing tokens
	RanTwice     int `json:"ran_twice"`   // requests that must not be repeated, but ran twice
	Violations   int `json:"layer_order"` // of both strategies together

	OtherOutcomes []ReasonCount `json:"ends,omitempty"` // of the incomplete answers
}

// Recovery is the result of the recovery measurement.
type Recovery struct {
	Machine  Machine       `json:"machine"`
	Timeouts Timeouts      `json:"timeouts"`
	Layout   Layout        `json:"layout"`
	Daemons  int           `json:"daemons"`
	Rounds   int           `json:"rounds"`
	Faults   []FaultResult `json:"faults"`
	Goals    []Goal        `json:"goals"`
}

// Timeouts are the settings that determine recovery times, encoded as text.
type Timeouts struct {
	Progress   settings.Duration `json:"backends_progress_timeout"`
	Connect    settings.Duration `json:"backends_connect_timeout"`
	Probe      settings.Duration `json:"peers_probe_interval"`
	Suspicion  settings.Duration `json:"peers_suspicion_timeout"`
	Store      settings.Duration `json:"store_timeout"`
	AddressTTL settings.Duration `json:"address_answer_valid"`
}

// errDefaults is returned if the default settings cannot be decoded.
var errDefaults = errors.New("default settings do not decode")

// productionSettings returns a function that replaces the test settings of a site by
// the defaults.
func productionSettings() (func(*settings.Settings), error) {
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

// RunRecovery measures recovery and reports each step through report.
func RunRecovery(ctx context.Context, cfg RecoveryConfig, report func(string)) (Recovery, error) {
	res := Recovery{Machine: currentMachine(), Layout: cfg.Layout, Daemons: cfg.Daemons, Rounds: cfg.Rounds}
	change, err := productionSettings()
	if err != nil {
		return res, err
	}
	if cfg.ShortTimeouts {
		change = func(*settings.Settings) {}
	}
	f, err := startCluster(ctx, cfg.Log, cfg.Layout, cfg.Daemons, func(s *settings.Settings) {
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
	baseline := newTwoChoices(f.site, cfg.Layout, cfg.Daemons, cfg.Seed)
	defer baseline.close()
	r := &recovery{cfg: cfg, cluster: f, baseline: baseline, report: report}
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
			out = append(out, atMost("next token after a stage's death, p99, ms", milliseconds(goalStageRecovery), r.Times.P99))
		case r.Fault == FaultDaemonDies:
			out = append(out, atMost("re-attached answer after a daemon's death, p99, ms", milliseconds(goalDaemonRecovery), r.Times.P99))
		}
	}
	return out
}
