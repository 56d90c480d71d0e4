package controller

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// CallNumber identifies a call in its result.
type CallNumber uint64

// Event is an input of the controller's state machine.
type Event interface{ event() }

// Tick says that the time of NextTick has come.
type Tick struct{}

// Lease is the status of this service's lease.
type Lease struct{ Status lease.Status }

// Adopt passes the replicas last published by any holder of the lease.
type Adopt struct{ Table ReplicaTable }

// Desired is the active placement for a document version. A chain that was
// changed has another ID.
type Desired struct {
	Document state.DocumentVersion
	Chains   []Chain
}

// Backends lists the servers that are live and not leaving.
type Backends struct{ List []Backend }

// OrderResult is a server's answer to an Order, with its state afterwards.
type OrderResult struct {
	Call   CallNumber
	Status OrderStatus
	State  ServerState
}

// ReadResult is a server's answer to a ReadState.
type ReadResult struct {
	Call  CallNumber
	State ServerState
}

// ResultUnknown says that a call had no answer: an order may or may not have
// taken effect.
type ResultUnknown struct{ Call CallNumber }

// Observed is a server's state as another daemon has seen it.
type Observed struct {
	Backend state.BackendID
	State   ServerState
}

// ReplicaRequests is the number of requests that run on a replica, counted by the
// replica's home.
type ReplicaRequests struct {
	Replica state.ReplicaID
	Count   int
}

// BackendRequests is a server's own count of its requests, queued ones included.
type BackendRequests struct {
	Backend state.BackendID
	Count   int
}

// Published says that the table with Serial is stored, or has been sent to the
// peers while the store is down.
type Published struct{ Serial uint64 }

// LoadGrant allows this service to run Slots concurrent loads beyond
// Config.GuaranteedLoads until a given time.
type LoadGrant struct {
	Slots int
	Until time.Time
}

// Stop ends the sending of orders before a planned stop. Once Clean reports true
// the lease may be released as clean.
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

// Action is an output of the state machine, for the daemon to carry out.
type Action interface{ action() }

// Order asks a server for a change.
type Order struct {
	Call       CallNumber
	Backend    state.BackendID
	Kind       OrderKind
	Fencing    state.FencingNumber
	Assignment Assignment

	// NotAfter is the time after which the order must not be sent; zero where the
	// server checks Fencing.
	NotAfter time.Time
}

// ReadState asks a server what it holds.
type ReadState struct {
	Call    CallNumber
	Backend state.BackendID
}

// Publish stores the table and sends it to the peers, unless there is a newer
// one.
type Publish struct{ Table ReplicaTable }

// QueryRequestCounts asks the homes of replicas (the daemons that grant their
// slots) and the servers themselves for their current request counts: how many
// requests hold a grant on a replica, and how many run or are queued at a server.
type QueryRequestCounts struct {
	Replicas []state.ReplicaID
	Backends []state.BackendID
}

// RequestLoadSlots says how many loads wait or run beyond
// Config.GuaranteedLoads.
type RequestLoadSlots struct{ Slots int }

// FencingRefused says that a server has seen a higher fencing number. It is
// passed to the lease state machine as lease.FencingRejected.
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
