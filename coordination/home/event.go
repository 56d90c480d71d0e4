package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Event is an input of a Home.
type Event interface {
	event()
}

// Tick reports that time has passed; see Home.NextTick.
type Tick struct{}

// Received is a message from a daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// DocumentChanged carries the document of a service that is now in force.
type DocumentChanged struct {
	Document *service.Document
}

// PoolsAssigned lists all pools that this daemon is home of, each with all of its
// replicas. A pool that is no longer listed is handed off.
type PoolsAssigned struct {
	Pools []PoolSpec
}

// PoolSpec is one pool and its replicas.
type PoolSpec struct {
	ID       PoolID
	Service  state.ServiceID
	Replicas []state.Replica
}

// ViewChanged lists the live members, including this daemon.
type ViewChanged struct {
	Live []state.Member
}

// ReplicaLeaving reports that a replica gets no new work from now on, whatever the
// source of the report. It holds until ReplicaReturned, until the replica leaves its
// pool, or until its spec shows other processes or no longer reports that it is
// leaving.
type ReplicaLeaving struct {
	Replica state.ReplicaID
}

// ReplicaReturned reports that a replica that was leaving serves again, for example
// after the restart of its backend server.
type ReplicaReturned struct {
	Replica state.ReplicaID
}

// CacheReported carries cache events of a replica's first stage. Gap is set if events
// before these are missing.
type CacheReported struct {
	Replica state.ReplicaID
	Changes []CacheChange
	Gap     bool
}

// CacheChange is one prefix that was added to or evicted from a cache.
type CacheChange struct {
	Prefix  uint64
	Evicted bool
}

func (Tick) event()            {}
func (Received) event()        {}
func (DocumentChanged) event() {}
func (PoolsAssigned) event()   {}
func (ViewChanged) event()     {}
func (ReplicaLeaving) event()  {}
func (ReplicaReturned) event() {}
func (CacheReported) event()   {}

// Action is an instruction of a Home to its caller.
type Action interface {
	action()
}

// Send sends a message to a daemon, possibly to this one.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// GrantsRecovered reports that a new home of a pool has started to grant. Unreported is
// the number of members that had not sent their report by then.
type GrantsRecovered struct {
	Pool       PoolID
	Duration   time.Duration
	Grants     int
	Unreported int
}

// Suspected reports that a replica gets no work until Until.
type Suspected struct {
	Pool    PoolID
	Replica state.ReplicaID
	Until   time.Time
}

// Recovered reports that a suspected replica served a probe.
type Recovered struct {
	Pool    PoolID
	Replica state.ReplicaID
}

func (Send) action()            {}
func (GrantsRecovered) action() {}
func (Suspected) action()       {}
func (Recovered) action()       {}

// Config holds the timeouts and limits of a Home. Zero fields take the defaults of
// DefaultConfig.
type Config struct {
	// ReportWindow is the longest time that a new home waits for reports of grants held
	// elsewhere before it grants anything.
	ReportWindow time.Duration

	// HalfCapacityPeriod follows ReportWindow while reports of members are missing: at
	// most half of each replica's slots are granted.
	HalfCapacityPeriod time.Duration

	// UnreportedGrantTimeout is the age after which a grant that its holder does not
	// report counts as lost.
	UnreportedGrantTimeout time.Duration

	// StaggerInterval is the time without any start on a replica after which a
	// staggered request may start there. It is longer than a request usually takes to
	// end a server that it crashes.
	StaggerInterval time.Duration

	// MinBackoff and MaxBackoff bound the back-off of a replica that fails calls. It
	// doubles with each failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// SpeedSampleTTL is how long a replica that was observed to be slow counts as slow
	// without a new sample.
	SpeedSampleTTL time.Duration

	// MaxPrefixes bounds the prefixes remembered per pool.
	MaxPrefixes int

	// PrefixTTL is how long a prefix is assumed to be cached without a new indication.
	PrefixTTL time.Duration

	// QueuePerClass applies if the document sets no limit.
	QueuePerClass int
}

// DefaultConfig returns the defaults for zero fields of Config.
func DefaultConfig() Config {
	return Config{
		ReportWindow:           300 * time.Millisecond,
		HalfCapacityPeriod:     3 * time.Second,
		UnreportedGrantTimeout: 2 * time.Second,
		MinBackoff:             500 * time.Millisecond,
		MaxBackoff:             30 * time.Second,
		StaggerInterval:        300 * time.Millisecond,
		SpeedSampleTTL:         30 * time.Second,
		MaxPrefixes:            4096,
		PrefixTTL:              2 * time.Minute,
		QueuePerClass:          256,
	}
}

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.ReportWindow = orDefault(c.ReportWindow, d.ReportWindow)
	c.HalfCapacityPeriod = orDefault(c.HalfCapacityPeriod, d.HalfCapacityPeriod)
	c.UnreportedGrantTimeout = orDefault(c.UnreportedGrantTimeout, d.UnreportedGrantTimeout)
	c.MinBackoff = orDefault(c.MinBackoff, d.MinBackoff)
	c.MaxBackoff = orDefault(c.MaxBackoff, d.MaxBackoff)
	c.StaggerInterval = orDefault(c.StaggerInterval, d.StaggerInterval)
	c.SpeedSampleTTL = orDefault(c.SpeedSampleTTL, d.SpeedSampleTTL)
	c.MaxPrefixes = orDefault(c.MaxPrefixes, d.MaxPrefixes)
	c.PrefixTTL = orDefault(c.PrefixTTL, d.PrefixTTL)
	c.QueuePerClass = orDefault(c.QueuePerClass, d.QueuePerClass)
	return c
}

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
