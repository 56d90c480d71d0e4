package quarantine

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the limits of a Quarantine. Zero fields take the defaults.
type Config struct {
	// Self is this daemon.
	Self state.Member

	// FactTTL is how long an implication is kept. Default 10 min.
	FactTTL time.Duration

	// QuarantineTTL is how long a quarantined content is refused. UnconfirmedTTL
	// applies if the lock for the content ended with an unknown result. Defaults 24 h
	// and 10 min.
	QuarantineTTL  time.Duration
	UnconfirmedTTL time.Duration

	// LockTTL is the time after which a lock that was not released counts as ended with
	// an unknown result. An exclusive run must start and end within half of it. Default
	// 10 min.
	LockTTL time.Duration

	// PollInterval is the time between checks of a lock that another daemon holds, or
	// of a store that does not answer. Default 500 ms.
	PollInterval time.Duration

	// ScanInterval is the time between scans for quarantine entries. Default 60 s.
	ScanInterval time.Duration

	// SyncInterval is the time between comparisons of facts with another daemon.
	// Default 5 s.
	SyncInterval time.Duration

	// PropagationTimeout bounds the wait until other daemons acknowledge a death.
	// Default 1 s.
	PropagationTimeout time.Duration

	// If BurstReplicas other replicas of a failure domain die within BurstWindow, the
	// domain is assumed to have failed. Defaults 4 and 3 s.
	BurstReplicas int
	BurstWindow   time.Duration

	// DirectFanout is the number of daemons that facts are sent to first. ForwardFanout
	// is the number that each of them forwards new facts to, if there are more daemons
	// than DirectFanout. Defaults 16 and 6.
	DirectFanout  int
	ForwardFanout int

	// MaxSuspects, MaxDeaths, MaxQuarantined and MaxWaiting bound the memory: the
	// contents, deaths and quarantine entries kept, and the requests that wait for one
	// lock. The oldest contents and deaths are dropped first. Defaults 4096, 1024,
	// 1024, 64.
	MaxSuspects    int
	MaxDeaths      int
	MaxQuarantined int
	MaxWaiting     int
}

func (c Config) withDefaults() Config {
	setDefault(&c.FactTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, 24*time.Hour)
	setDefault(&c.UnconfirmedTTL, 10*time.Minute)
	setDefault(&c.LockTTL, 10*time.Minute)
	setDefault(&c.PollInterval, 500*time.Millisecond)
	setDefault(&c.ScanInterval, time.Minute)
	setDefault(&c.SyncInterval, 5*time.Second)
	setDefault(&c.PropagationTimeout, time.Second)
	setDefault(&c.BurstReplicas, 4)
	setDefault(&c.BurstWindow, 3*time.Second)
	setDefault(&c.DirectFanout, 16)
	setDefault(&c.ForwardFanout, 6)
	setDefault(&c.MaxSuspects, 4096)
	setDefault(&c.MaxDeaths, 1024)
	setDefault(&c.MaxQuarantined, 1024)
	setDefault(&c.MaxWaiting, 64)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
