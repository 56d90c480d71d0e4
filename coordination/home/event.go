package home

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Event is what a Home is told.
type Event interface {
	event()
}

// Tick says that time passed; see Home.NextTick.
type Tick struct{}

// Received is a message from a daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// DocumentChanged gives a service's document now in force.
type DocumentChanged struct {
	Document *service.Document
}

// PoolsAssigned lists all pools that this daemon is home of, each with all its
// replicas. A pool that is not listed any more is handed on.
type PoolsAssigned struct {
	Pools []PoolSpec
}

// PoolSpec is one pool and its replicas.
type PoolSpec struct {
	ID       PoolID
	Service  state.ServiceID
	Replicas []state.Replica
}

// ViewChanged lists the members that are live, this daemon included.
type ViewChanged struct {
	Live []state.Member
}

// ReplicaLeaving says that a replica gets no new work from now on, whatever
// the source of the word is. It holds until ReplicaReturned, until the replica
// leaves its pool, or until its spec shows other processes or stops to say
// that it is leaving.
type ReplicaLeaving struct {
	Replica state.ReplicaID
}

// ReplicaReturned says that a replica which was leaving serves again, as after
// the restart of its backend server.
type ReplicaReturned struct {
	Replica state.ReplicaID
}

// CacheReported passes on cache events of a replica's first stage. Gap says
// that events before these are missing.
type CacheReported struct {
	Replica state.ReplicaID
	Changes []CacheChange
	Gap     bool
}

// CacheChange is one prefix that entered or left a cache.
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

// Action is what a Home wants done.
type Action interface {
	action()
}

// Send is a message to a daemon, possibly to this one.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Learned notes that a new home of a pool began to grant. Silent counts the
// members that had not reported by then.
type GrantsRecovered struct {
	Pool       PoolID
	Duration   time.Duration
	Grants     int
	Unreported int
}

// Suspected notes that a replica gets no work until Until.
type Suspected struct {
	Pool    PoolID
	Replica state.ReplicaID
	Until   time.Time
}

// Recovered notes that a suspected replica served a probe.
type Recovered struct {
	Pool    PoolID
	Replica state.ReplicaID
}

func (Send) action()            {}
func (GrantsRecovered) action() {}
func (Suspected) action()       {}
func (Recovered) action()       {}

// Config holds the times and bounds of a Home. Zero fields take the defaults
// of DefaultConfig.
type Config struct {
	// LearnWindow is the longest time a new home waits for reports of grants
	// held elsewhere before it grants anything.
	ReportWindow time.Duration

	// CautiousFor follows LearnWindow while members have not reported: at
	// most half of each replica's slots are granted.
	HalfCapacityPeriod time.Duration

	// SettleAfter is the age past which a grant that its holder does not
	// report is taken to be lost.
	UnreportedGrantTimeout time.Duration

	// SettleFor is how long nothing may have begun on a replica before a
	// request that is apart begins there: longer than a request mostly takes
	// to end a server that it crashes.
	StaggerInterval time.Duration

	// SuspectMin and SuspectMax bound the back-off of a replica that fails
	// calls; it doubles with each failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// SpeedMemory is how long a replica that was seen slow counts as slow
	// without a new sample.
	SpeedSampleTTL time.Duration

	// CacheEntries bounds the prefixes remembered per pool.
	MaxPrefixes int

	// CacheMemory is how long a prefix is believed to be cached without a
	// new sign of it.
	PrefixTTL time.Duration

	// QueuePerClass is used where the document names no bound.
	QueuePerClass int
}

// DefaultConfig returns the settings used where Config has zero fields.
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

// withDefaults fills the zero fields of c.
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

// orDefault returns v, or d where v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
