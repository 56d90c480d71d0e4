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

	// Reconcile is the longest time between two reads of a server's state.
	ReconcileInterval time.Duration
	// ReadsPerSecond bounds the reads that Reconcile makes.
	ReadsPerSecond int
	// TakeoverPerSecond takes its place for the first Takeover of a reign, when
	// every server must be read, and be told the number if it checks that.
	TakeoverReadsPerSecond int
	TakeoverPeriod         time.Duration
	// LongestOrder is how long after its sending an order may take effect,
	// network and server working as they should.
	MaxOrderDelay time.Duration
	// ReadFresh is how old a state may be when an order is based on it.
	MaxStateAge time.Duration
	// CallTimeout is when a call without an answer counts as unanswered.
	CallTimeout time.Duration
	// LoadPoll is the time between reads of a server that is loading.
	LoadPollInterval time.Duration
	// Retry is the pause after an order that failed.
	RetryDelay time.Duration
	// Spread is the longest time from Published until no daemon sends new work
	// to a leaving replica.
	PropagationDelay time.Duration
	// ReportLag is how far a report of running requests is behind.
	ReportLag time.Duration
	// StepEvery is the time between Ticks while the machine may act.
	TickInterval time.Duration
	// AskEvery is the time between questions for counts of running requests while
	// a chain drains.
	CountQueryInterval time.Duration
	// LoadsAlways is how many loads at one time need no weight grant.
	GuaranteedLoads int
}

// DefaultConfig returns the settings that docs/design/leases-and-orders.md works
// out.
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

// Holding is what a server is to hold, or holds.
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

// sameWeights leaves the role out, which changes without a load.
func (h Assignment) sameWeights(o Assignment) bool {
	return h.Model == o.Model && h.Version == o.Version && h.Layers == o.Layers &&
		slices.Equal(h.Adapters, o.Adapters)
}

func (h Assignment) equal(o Assignment) bool {
	return h.Role == o.Role && h.sameWeights(o)
}

// ServerState is what a server says that it holds.
type ServerState struct {
	Service state.ServiceID
	Loaded  Assignment
	Fencing state.FencingNumber // the highest seen; 0 where numbers are ignored
	Loading bool
}

// Chain is one replica as it is to be.
type Chain struct {
	ID     state.ReplicaID `msgpack:"id" json:"id"`
	Stages []Stage         `msgpack:"stages" json:"stages"`
}

// Stage is one server's part of a chain.
type Stage struct {
	Backend    state.BackendID `msgpack:"backend" json:"backend"`
	Assignment Assignment      `msgpack:"holding" json:"holding"`
}

// Backend is one live backend server that the service may use.
type Backend struct {
	ID            state.BackendID
	ChecksFencing bool
}

// OrderKind says what an order changes.
type OrderKind string

// The values of OrderKind.
const (
	OrderLoad    OrderKind = "load"     // hold Holding
	OrderUnload  OrderKind = "unload"   // hold nothing
	OrderSetRole OrderKind = "set_role" // change the role alone
)

// OrderStatus is what a server says of an order.
type OrderStatus string

// The values of OrderStatus.
const (
	StatusApplied OrderStatus = "applied"
	StatusStale   OrderStatus = "stale" // a higher fencing number was seen
	StatusRefused OrderStatus = "refused"
)

// Replica is one published chain.
type Replica struct {
	Chain   Chain `msgpack:"chain" json:"chain"`
	Leaving bool  `msgpack:"leaving" json:"leaving"` // runs what it has and gets nothing new
}

// Table is what all daemons need to know of a service's replicas. Of two tables
// the one with the higher (Fencing, Serial) holds.
type ReplicaTable struct {
	Service  state.ServiceID       `msgpack:"service" json:"service"`
	Document state.DocumentVersion `msgpack:"document" json:"document"`
	Fencing  state.FencingNumber   `msgpack:"fencing" json:"fencing"`
	Serial   uint64                `msgpack:"serial" json:"serial"`
	Replicas []Replica             `msgpack:"replicas" json:"replicas"`
}

// Newer reports whether t takes the place of o.
func (t ReplicaTable) Newer(o ReplicaTable) bool {
	if t.Fencing != o.Fencing {
		return t.Fencing > o.Fencing
	}
	return t.Serial > o.Serial
}

// phase is how far a chain is.
type phase int

const (
	preparing phase = iota
	ready
	leaving
)

type chain struct {
	Chain
	wanted bool // of the placement in force
	phase  phase

	toldLeaving time.Time // when a table that says so was published
	idleAt      time.Time // when its home last reported no request; zero after any other report
}

type server struct {
	id     state.BackendID
	checks bool
	target Assignment

	state    ServerState
	readAt   time.Time // when state was taken in; zero: not in this reign
	call     CallNumber
	callAt   time.Time
	ordering bool // the last call was an order
	loads    bool // it was a load
	doubt    bool // a load was not answered; the server may be loading
	notUntil time.Time
	idleAt   time.Time // when it last reported no request
}

// rights is what the lease allows.
type rights struct {
	standing lease.State
	reign    state.Nonce
	fencing  state.FencingNumber
	base     state.FencingNumber // fencing at the start of the reign
	until    time.Time
	began    time.Time // of the reign
	waitOut  time.Time // servers that ignore numbers are not ordered before
}
