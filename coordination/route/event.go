package route

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input of a Router.
type Event interface {
	event()
}

// Tick reports that time has passed; see Router.NextTick.
type Tick struct{}

// Received is a message from a home, possibly this daemon's own.
type Received struct {
	From state.Member
	Msg  home.Message
}

// ViewChanged lists the live members, including this daemon.
type ViewChanged struct {
	Live []Peer
}

// Peer is one live member. A draining member may hold grants but is home of no pool.
type Peer struct {
	Member   state.Member
	Region   state.Region
	Draining bool
}

// Reconnected reports that a connection to a peer was lost together with messages.
type Reconnected struct {
	Peer state.DaemonID
}

// ReplicasChanged carries all replicas of a service and the capacity that its document
// requires. The number of pools follows the document, which all daemons share, and not
// the replicas that are currently up.
type ReplicasChanged struct {
	Service  state.ServiceID
	Capacity int
	Replicas []state.Replica
}

// RegionsChanged carries the region of each known failure domain. It takes effect on a
// service's pools with the next ReplicasChanged, so that a growing list does not move
// them twice.
type RegionsChanged struct {
	Regions map[state.FailureDomain]state.Region
}

// ReplicaLeaving reports that a replica gets no new work.
type ReplicaLeaving struct {
	Replica state.ReplicaID
}

// ReplicaReturned reports that a replica that was leaving serves again.
type ReplicaReturned struct {
	Replica state.ReplicaID
}

// AcquireSlot requests a slot.
type AcquireSlot struct {
	ID                home.SlotRequestID
	Service           state.ServiceID
	Class             state.ClassID
	Customer          state.CustomerID
	Deadline          time.Time     // for the first token or, if Begun, for the slot
	FirstTokenLatency time.Duration // from slot to first token at speed 1; 0 if unknown
	Cost              uint32        // expected tokens; 0 if unknown
	Prefixes          []uint64      // hashes of the prompt's prefix blocks, longest first
	Exclude           []state.ReplicaID
	Exclusive         bool
	Staggered         bool // see home.SlotRequest
	Begun             bool // see home.SlotRequest
}

// ReleaseSlot ends a grant.
type ReleaseSlot struct {
	ID         home.SlotRequestID
	Outcome    home.SlotOutcome
	Tokens     uint32        // generated in DecodeTime
	DecodeTime time.Duration // from the first token to the last
}

// ExclusiveEnded reports that a staggered request is past the point at which it may
// crash its replica, or that a probe has its first token.
type ExclusiveEnded struct {
	ID home.SlotRequestID
}

// CancelAcquire ends an AcquireSlot that has not been granted.
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

// Action is an instruction of a Router to its caller.
type Action interface {
	action()
}

// Send sends a message to a daemon, possibly to this one.
type Send struct {
	To  state.DaemonID
	Msg home.Message
}

// Granted delivers the requested slot.
type Granted struct {
	ID      home.SlotRequestID
	Replica state.ReplicaID
	Probe   bool // ExclusiveEnded is due at the first token
}

// Refused ends an AcquireSlot without a slot.
type Refused struct {
	ID         home.SlotRequestID
	Reason     state.Reason
	RetryAfter state.RetryAfter
}

// PoolsAssigned lists all pools that this daemon is home of from now on.
type PoolsAssigned struct {
	Pools []home.PoolSpec
}

func (Send) action()          {}
func (Granted) action()       {}
func (Refused) action()       {}
func (PoolsAssigned) action() {}

// Config holds the settings of a Router. Durations and counts that are zero take the
// defaults of DefaultConfig.
type Config struct {
	Self   state.Member
	Region state.Region

	// Regions is the region of each failure domain known at the start; see
	// RegionsChanged. Replicas of domains that it lacks share one unnamed region.
	Regions map[state.FailureDomain]state.Region

	// PoolSize is the approximate maximum number of replicas in a pool.
	PoolSize int

	// RenewInterval is the time between renewals.
	RenewInterval time.Duration

	// NotHomeRetryDelay is the delay before a daemon that was not the home is asked
	// again.
	NotHomeRetryDelay time.Duration

	// TransitMargin is subtracted from each budget for the latency to the home and the
	// replica.
	TransitMargin time.Duration

	// RefusalGrace is how long after a deadline the refusal of a home is awaited.
	RefusalGrace time.Duration

	// SummaryTTL is how long a pool's summary is used.
	SummaryTTL time.Duration

	// MaxPools bounds the number of pools that one request tries.
	MaxPools int
}

// DefaultConfig returns the defaults for zero fields of Config.
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
