package route

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is what a Router is told.
type Event interface {
	event()
}

// Tick says that time passed; see Router.NextTick.
type Tick struct{}

// Received is a message from a home, which may be this daemon's own.
type Received struct {
	From state.Member
	Msg  home.Message
}

// ViewChanged lists the live members, this daemon included.
type ViewChanged struct {
	Live []Peer
}

// Peer is one live member. A draining one holds grants but is home of nothing.
type Peer struct {
	Member   state.Member
	Region   state.Region
	Draining bool
}

// Reconnected says that a connection to a peer was lost and messages with it.
type Reconnected struct {
	Peer state.DaemonID
}

// ReplicasChanged gives all replicas of a service, and how many its document
// asks for: the number of pools follows the document, which all daemons share,
// and not the replicas that happen to be up.
type ReplicasChanged struct {
	Service  state.ServiceID
	Capacity int
	Replicas []state.Replica
}

// RegionsChanged tells the region of each failure domain known now. It takes
// effect on a service's pools with its next ReplicasChanged, so that a list that
// grows does not move them twice.
type RegionsChanged struct {
	Regions map[state.FailureDomain]state.Region
}

// ReplicaLeaving says that a replica gets no new work.
type ReplicaLeaving struct {
	Replica state.ReplicaID
}

// ReplicaReturned says that a replica which was leaving serves again.
type ReplicaReturned struct {
	Replica state.ReplicaID
}

// Want asks for a slot.
type AcquireSlot struct {
	ID                home.SlotRequestID
	Service           state.ServiceID
	Class             state.ClassID
	Customer          state.CustomerID
	Deadline          time.Time     // for the first token
	FirstTokenLatency time.Duration // from slot to first token at speed 1; 0 not known
	Cost              uint32        // expected tokens; 0 not known
	Prefixes          []uint64      // hashes of the prompt's prefix blocks, longest first
	Exclude           []state.ReplicaID
	Exclusive         bool
	Staggered         bool // see home.SlotRequest
}

// Done ends a grant.
type ReleaseSlot struct {
	ID         home.SlotRequestID
	Outcome    home.SlotOutcome
	Tokens     uint32        // made in Busy
	DecodeTime time.Duration // from the first token to the last
}

// Passed says that a request that is apart has done what may end its replica.
type ExclusiveEnded struct {
	ID home.SlotRequestID
}

// Cancel ends a Want that was not granted yet.
type CancelAcquire struct {
	ID home.SlotRequestID
}

func (Tick) event()            {}
func (Received) event()        {}
func (ViewChanged) event()     {}
func (Reconnected) event()     {}
func (ReplicasChanged) event() {}
func (ReplicaLeaving) event()  {}
func (ReplicaReturned) event() {}
func (RegionsChanged) event()  {}
func (ExclusiveEnded) event()  {}
func (AcquireSlot) event()     {}
func (ReleaseSlot) event()     {}
func (CancelAcquire) event()   {}

// Action is what a Router wants done.
type Action interface {
	action()
}

// Send is a message to a daemon, possibly to this one.
type Send struct {
	To  state.DaemonID
	Msg home.Message
}

// Granted gives the slot that was wanted.
type Granted struct {
	ID      home.SlotRequestID
	Replica state.ReplicaID
}

// Refused ends a Want without a slot.
type Refused struct {
	ID         home.SlotRequestID
	Reason     state.Reason
	RetryAfter state.RetryAfter
}

// Assigned lists all pools that this daemon is home of from now on.
type PoolsAssigned struct {
	Pools []home.PoolSpec
}

func (Send) action()          {}
func (Granted) action()       {}
func (Refused) action()       {}
func (PoolsAssigned) action() {}

// Config holds the settings of a Router. Zero durations and counts take the
// defaults of DefaultConfig.
type Config struct {
	Self   state.Member
	Region state.Region

	// Regions tells the region of each failure domain known at the start; see
	// RegionsChanged. Replicas of domains
	// that it lacks share one region without a name.
	Regions map[state.FailureDomain]state.Region

	// PoolSize is about how many replicas a pool holds, at most.
	PoolSize int

	// RenewEvery is the time between renewals.
	RenewInterval time.Duration

	// RetryMiss is the wait before a daemon that was not home is asked again.
	NotHomeRetryDelay time.Duration

	// Margin is taken off each budget for the way to the home and the replica.
	TransitMargin time.Duration

	// Grace is how long past a deadline a home may take to refuse.
	RefusalGrace time.Duration

	// SummaryAge is how long a pool's summary is believed.
	SummaryTTL time.Duration

	// MaxPools bounds the pools that one ask tries.
	MaxPools int
}

// DefaultConfig returns the settings used where Config has zero fields.
func DefaultConfig() Config {
	return Config{
		PoolSize:          64,
		RenewInterval:     time.Second,
		NotHomeRetryDelay: 100 * time.Millisecond,
		TransitMargin:     10 * time.Millisecond,
		RefusalGrace:      50 * time.Millisecond,
		SummaryTTL:        5 * time.Second,
		MaxPools:          2,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.PoolSize = orDefault(c.PoolSize, d.PoolSize)
	c.RenewInterval = orDefault(c.RenewInterval, d.RenewInterval)
	c.NotHomeRetryDelay = orDefault(c.NotHomeRetryDelay, d.NotHomeRetryDelay)
	c.TransitMargin = orDefault(c.TransitMargin, d.TransitMargin)
	c.RefusalGrace = orDefault(c.RefusalGrace, d.RefusalGrace)
	c.SummaryTTL = orDefault(c.SummaryTTL, d.SummaryTTL)
	c.MaxPools = orDefault(c.MaxPools, d.MaxPools)
	return c
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
