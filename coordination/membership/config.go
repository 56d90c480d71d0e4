package membership

import (
	"math"
	"time"
)

// Config tunes the protocol. A zero field takes the default that its comment names;
// docs/design/membership.md has the measurements made with the defaults.
type Config struct {
	// ProbeInterval is the time between two probes by one daemon; 500 ms.
	ProbeInterval time.Duration `json:"probe_interval"`
	// ProbeTimeout is how long a probe waits before indirect probes are sent; 300 ms.
	ProbeTimeout time.Duration `json:"probe_timeout"`
	// ProbeDeadline is the time after which an unanswered probe fails, counted from its start;
	// 1 s.
	ProbeDeadline time.Duration `json:"probe_deadline"`
	// IndirectProbes is how many neighbours are asked to probe a member that did not answer; 3.
	IndirectProbes int `json:"helpers"`

	// SuspicionMax is how long a suspect may refute if one daemon accuses it; 4 s.
	SuspicionMax time.Duration `json:"suspicion_max"`
	// SuspicionMin is how long a suspect may refute once maxAccusers daemons accuse it; 2 s.
	SuspicionMin time.Duration `json:"suspicion_min"`

	// GossipInterval is the time between gossip rounds while broadcasts are queued; 100 ms.
	GossipInterval time.Duration `json:"gossip_interval"`
	// Fanout is how many neighbours each gossip round sends to; 3.
	Fanout int `json:"fanout"`
	// GossipBytes bounds the broadcasts in one message; 1,000 bytes.
	GossipBytes int `json:"gossip_bytes"`
	// GossipRate bounds the broadcasts sent, in bytes per second; 6,000.
	GossipRate int `json:"gossip_rate"`
	// GossipBurst is how many bytes of broadcasts may be sent in excess of GossipRate; 64,000.
	GossipBurst int `json:"gossip_burst"`

	// ExchangeInterval is the mean time between exchanges of the complete state with a random
	// member; 15 s.
	ExchangeInterval time.Duration `json:"exchange_interval"`
	// ReconnectInterval is the mean time between attempts to reach a dead member or an address
	// of the instance list; 2 s.
	ReconnectInterval time.Duration `json:"reconnect_interval"`
	// DeadRetention is how long a dead member is remembered and contacted; 10 min.
	DeadRetention time.Duration `json:"dead_keep"`

	// PauseThreshold is the delay of a tick from which the daemon concludes that it was paused;
	// 2 s.
	PauseThreshold time.Duration `json:"pause_limit"`

	// BackendFactTTL is how long a fact about a backend server is valid; 60 s. It has to exceed
	// the lag of the instance list.
	BackendFactTTL time.Duration `json:"backend_fact_keep"`
	// DocumentFactTTL is how long a fact about a document version is kept; 30 s.
	DocumentFactTTL time.Duration `json:"document_fact_keep"`
	// NoticeTTL is how long a notice is forwarded; 15 s, which is longer than any notice is
	// relevant.
	NoticeTTL time.Duration `json:"notice_keep"`

	// Rings fixes the number of neighbour rings; 0 selects ceil(log2(n+1)).
	Rings int `json:"rings"`
}

// Defaults of the Config fields that are not durations.
const (
	defaultHelpers     = 3
	defaultFanout      = 3
	defaultGossipBytes = 1000
	defaultGossipRate  = 6000
	defaultGossipBurst = 64_000
)

// withDefaults returns c with each zero field set to its default.
func (c Config) withDefaults() Config {
	orDuration(&c.ProbeInterval, 500*time.Millisecond)
	orDuration(&c.ProbeTimeout, 300*time.Millisecond)
	orDuration(&c.ProbeDeadline, time.Second)
	orDuration(&c.SuspicionMax, 4*time.Second)
	orDuration(&c.SuspicionMin, 2*time.Second)
	orDuration(&c.GossipInterval, 100*time.Millisecond)
	orDuration(&c.ExchangeInterval, 15*time.Second)
	orDuration(&c.ReconnectInterval, 2*time.Second)
	orDuration(&c.DeadRetention, 10*time.Minute)
	orDuration(&c.PauseThreshold, 2*time.Second)
	orDuration(&c.BackendFactTTL, time.Minute)
	orDuration(&c.DocumentFactTTL, 30*time.Second)
	orDuration(&c.NoticeTTL, 15*time.Second)
	orInt(&c.IndirectProbes, defaultHelpers)
	orInt(&c.Fanout, defaultFanout)
	orInt(&c.GossipBytes, defaultGossipBytes)
	orInt(&c.GossipRate, defaultGossipRate)
	orInt(&c.GossipBurst, defaultGossipBurst)
	return c
}

// ringCount returns the number of rings for n live members.
func (c Config) ringCount(n int) int {
	if c.Rings > 0 {
		return c.Rings
	}
	return int(math.Ceil(math.Log2(float64(n + 1))))
}

func orDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

func orInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}
