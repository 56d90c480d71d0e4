package controller

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// CallNumber joins a call to its result.
type CallNumber uint64

// Event is what the machine is stepped with.
type Event interface{ event() }

// Tick says that NextTick has come.
type Tick struct{}

// Lease is the lease machine's status of this service.
type Lease struct{ Status lease.Status }

// Adopt brings the replicas last published, by whoever held the lease.
type Adopt struct{ Table ReplicaTable }

// Desired is the placement in force for a document version. A chain that was
// changed has another ID.
type Desired struct {
	Document state.DocumentVersion
	Chains   []Chain
}

// Backends names the servers that are live and not leaving.
type Backends struct{ List []Backend }

// Answered is a server's answer to an Order, with its state after it.
type OrderResult struct {
	Call   CallNumber
	Status OrderStatus
	State  ServerState
}

// StateRead is a server's answer to a ReadState.
type ReadResult struct {
	Call  CallNumber
	State ServerState
}

// Unanswered says that a call's fate is unknown.
type ResultUnknown struct{ Call CallNumber }

// Observed is a server's state seen by another daemon.
type Observed struct {
	Backend state.BackendID
	State   ServerState
}

// InFlight is a replica's home's count of requests that run there.
type ReplicaRequests struct {
	Replica state.ReplicaID
	Count   int
}

// Running is a server's own count of its requests, queued ones included.
type BackendRequests struct {
	Backend state.BackendID
	Count   int
}

// Published says that the table with Serial is stored, or told to peers while
// the store is down.
type Published struct{ Serial uint64 }

// Weights says how many loads at one time this service may run beyond
// Config.LoadsAlways, until a moment.
type LoadGrant struct {
	Slots int
	Until time.Time
}

// Stop ends ordering before a planned stop. Once Clean is true the lease may be
// released as clean.
type Stop struct{}

func (Tick) event()            {}
func (Lease) event()           {}
func (Adopt) event()           {}
func (Desired) event()         {}
func (Backends) event()        {}
func (OrderResult) event()     {}
func (ReadResult) event()      {}
func (ResultUnknown) event()   {}
func (Observed) event()        {}
func (ReplicaRequests) event() {}
func (BackendRequests) event() {}
func (Published) event()       {}
func (LoadGrant) event()       {}
func (Stop) event()            {}

// Action is what the daemon is to do.
type Action interface{ action() }

// Order asks a server for a change.
type Order struct {
	Call       CallNumber
	Backend    state.BackendID
	Kind       OrderKind
	Fencing    state.FencingNumber
	Assignment Assignment

	// NotAfter is when the order may no longer leave; zero where the server
	// checks Fencing.
	NotAfter time.Time
}

// ReadState asks a server what it holds.
type ReadState struct {
	Call    CallNumber
	Backend state.BackendID
}

// Publish stores the table and tells the peers, unless a newer one is there.
type Publish struct{ Table ReplicaTable }

// AskRunning asks the homes of replicas and the servers themselves for their
// counts of requests.
type QueryRequestCounts struct {
	Replicas []state.ReplicaID
	Backends []state.BackendID
}

// WantWeights says how many loads wait or run beyond Config.LoadsAlways.
type RequestLoadSlots struct{ Slots int }

// NumberRefused says that a server has seen a higher fencing number; it goes to
// the lease machine as lease.Refused.
type FencingRefused struct {
	Backend state.BackendID
	Fencing state.FencingNumber
	Seen    state.FencingNumber
}

func (Order) action()              {}
func (ReadState) action()          {}
func (Publish) action()            {}
func (QueryRequestCounts) action() {}
func (RequestLoadSlots) action()   {}
func (FencingRefused) action()     {}
