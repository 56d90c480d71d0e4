package controller

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config is a controller's settings.
type Config struct {
	Service state.ServiceID

	// ReconcileInterval is the longest time between two reads of a server's
	// state.
	ReconcileInterval time.Duration
	// ReadsPerSecond bounds the rate of these reads.
	ReadsPerSecond int
	// TakeoverReadsPerSecond replaces ReadsPerSecond for the first TakeoverPeriod
	// of a term, when every server must be read and every server that checks
	// fencing numbers must receive the new one.
	TakeoverReadsPerSecond int
	TakeoverPeriod         time.Duration
	// MaxOrderDelay is the longest time from sending an order until it takes
	// effect, provided that network and server work normally.
	MaxOrderDelay time.Duration
	// MaxStateAge is the highest age of a state that an order may be based on.
	MaxStateAge time.Duration
	// CallTimeout is the time after which a call without an answer counts as
	// ResultUnknown.
	CallTimeout time.Duration
	// LoadPollInterval is the time between reads of a server that is loading.
	LoadPollInterval time.Duration
	// RetryDelay is the pause after an order that failed.
	RetryDelay time.Duration
	// PropagationDelay is the longest time from Published until no daemon sends
	// new work to a leaving replica.
	PropagationDelay time.Duration
	// ReportLag is the highest age of a reported request count.
	ReportLag time.Duration
	// TickInterval is the time between Ticks while the controller may act.
	TickInterval time.Duration
	// CountQueryInterval is the time between queries for request counts while a
	// chain drains.
	CountQueryInterval time.Duration
	// GuaranteedLoads is how many concurrent loads need no load grant.
	GuaranteedLoads int
}

// DefaultConfig returns the settings that docs/design/leases-and-orders.md
// derives.
func DefaultConfig(service state.ServiceID) Config {
	return Config{
		Service:                service,
		ReconcileInterval:      10 * time.Second,
		ReadsPerSecond:         20,
		TakeoverReadsPerSecond: 100,
		TakeoverPeriod:         30 * time.Second,
		MaxOrderDelay:          10 * time.Second,
		MaxStateAge:            time.Second,
		CallTimeout:            5 * time.Second,
		LoadPollInterval:       time.Second,
		RetryDelay:             2 * time.Second,
		PropagationDelay:       3 * time.Second,
		ReportLag:              2 * time.Second,
		TickInterval:           250 * time.Millisecond,
		CountQueryInterval:     time.Second,
		GuaranteedLoads:        1,
	}
}

// Assignment is the part of a model that a server is to hold, or holds.
type Assignment struct {
	Model    string           `msgpack:"model" json:"model"`
	Version  string           `msgpack:"version" json:"version"`
	Adapters []string         `msgpack:"adapters" json:"adapters"`
	Layers   state.LayerRange `msgpack:"layers" json:"layers"`
	Role     string           `msgpack:"role" json:"role"`
}

// Empty reports whether nothing is held.
func (h Assignment) Empty() bool {
	return h.Model == ""
}

// sameWeights ignores the role, which can change without a load.
func (h Assignment) sameWeights(o Assignment) bool {
	return h.Model == o.Model && h.Version == o.Version && h.Layers == o.Layers &&
		slices.Equal(h.Adapters, o.Adapters)
}

func (h Assignment) equal(o Assignment) bool {
	return h.Role == o.Role && h.sameWeights(o)
}

// ServerState is the state that a server reports.
type ServerState struct {
	Service state.ServiceID
	Loaded  Assignment
	Fencing state.FencingNumber // highest fencing number seen; 0 if the server ignores them
	Loading bool
}

// Chain is the desired form of one replica.
type Chain struct {
	ID     state.ReplicaID `msgpack:"id" json:"id"`
	Stages []Stage         `msgpack:"stages" json:"stages"`
}

// Stage is one server's part of a chain.
type Stage struct {
	Backend    state.BackendID `msgpack:"backend" json:"backend"`
	Assignment Assignment      `msgpack:"holding" json:"holding"`
}

// Backend is a live backend server that the service may use.
type Backend struct {
	ID            state.BackendID
	ChecksFencing bool
}

// OrderKind is the change that an order asks for.
type OrderKind string

// The values of OrderKind.
const (
	OrderLoad    OrderKind = "load"     // hold Order.Assignment
	OrderUnload  OrderKind = "unload"   // hold nothing
	OrderSetRole OrderKind = "set_role" // change only the role
)

// OrderStatus is a server's response to an order.
type OrderStatus string

// The values of OrderStatus.
const (
	StatusApplied OrderStatus = "applied"
	StatusStale   OrderStatus = "stale" // the server has seen a higher fencing number
	StatusRefused OrderStatus = "refused"
)

// Replica is one published chain.
type Replica struct {
	Chain   Chain `msgpack:"chain" json:"chain"`
	Leaving bool  `msgpack:"leaving" json:"leaving"` // finishes its requests and gets no new ones
}

// ReplicaTable is the published state of a service's replicas, for all daemons.
// Of two tables the one with the higher (Fencing, Serial) is valid.
type ReplicaTable struct {
	Service  state.ServiceID       `msgpack:"service" json:"service"`
	Document state.DocumentVersion `msgpack:"document" json:"document"`
	Fencing  state.FencingNumber   `msgpack:"fencing" json:"fencing"`
	Serial   uint64                `msgpack:"serial" json:"serial"`
	Replicas []Replica             `msgpack:"replicas" json:"replicas"`
}

// Newer reports whether t supersedes o.
func (t ReplicaTable) Newer(o ReplicaTable) bool {
	if t.Fencing != o.Fencing {
		return t.Fencing > o.Fencing
	}
	return t.Serial > o.Serial
}

// phase is the state of a chain in its lifecycle.
type phase int

const (
	preparing phase = iota
	ready
	leaving
)

type chain struct {
	Chain
	wanted bool // part of the active placement
	phase  phase

	leavingPublishedAt time.Time // when a table that lists the chain as leaving was published
	idleAt             time.Time // when its home last reported no request; zero after a report of some
}

type server struct {
	id            state.BackendID
	checksFencing bool
	target        Assignment

	state        ServerState
	readAt       time.Time // when state was received; zero if not in this term
	call         CallNumber
	calledAt     time.Time
	callIsOrder  bool      // the last call was an order
	callIsLoad   bool      // the last order was a load
	mayBeLoading bool      // a load has no known result; the server may be loading
	retryAt      time.Time // earliest time of the next order
	idleAt       time.Time // when it last reported no request
}

// leaseRights is what the lease allows the controller to do.
type leaseRights struct {
	leaseState   lease.State
	termID       state.Nonce
	fencing      state.FencingNumber
	termFencing  state.FencingNumber // fencing at the start of the term
	until        time.Time
	termStart    time.Time
	unfencedFrom time.Time // when orders may go to servers that ignore fencing numbers
}
