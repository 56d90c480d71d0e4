package lease

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// CallID matches a store call with its result.
type CallID uint64

// Event is an input to Step.
type Event interface{ event() }

// Tick is needed at NextTick.
type Tick struct{}

// Services lists the services whose leases this daemon may hold.
type Services struct{ IDs []state.ServiceID }

// Members lists the daemons that may hold leases: live and not draining. Errors in the list
// affect only which daemon tries first, never safety.
type Members struct{ Live []state.DaemonID }

// Drain reports that this daemon is stopping: it takes no further leases.
type Drain struct{}

// Release hands a lease off. Holds is false from this step on. Clean means that no order is in
// flight, so that the successor need not wait until one has expired.
type Release struct {
	Service state.ServiceID
	Clean   bool
}

// FencingRejected reports that a backend server rejected a fencing number as outdated. While
// this daemon holds the lease, the higher fencing number belongs to another service that used
// the server before, and the holder raises its own above it. Once the lease has lapsed, it may
// belong to a successor, and the daemon gives up the lease.
type FencingRejected struct {
	Service state.ServiceID
	Fencing state.FencingNumber // the rejected fencing number
	Seen    state.FencingNumber // the higher fencing number that the server has accepted
}

// ReadDone answers a Read with the requested rows, in any order.
type ReadDone struct {
	Call CallID
	Rows []StoredRow
}

// Committed answers a Commit that took effect, with the written rows.
type Committed struct {
	Call CallID
	Rows []StoredRow
}

// Conflicted answers a Commit that wrote nothing.
type Conflicted struct{ Call CallID }

// Unanswered reports that the outcome of a call is unknown.
type Unanswered struct{ Call CallID }

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

func (Tick) event()            {}
func (Services) event()        {}
func (Members) event()         {}
func (Drain) event()           {}
func (Release) event()         {}
func (FencingRejected) event() {}
func (ReadDone) event()        {}
func (Committed) event()       {}
func (Conflicted) event()      {}
func (Unanswered) event()      {}
func (Received) event()        {}

// Message is a message between daemons about leases.
type Message interface{ message() }

// Handoff reports that a lease was released, so that the receiver reads the row immediately
// instead of at its next poll. It proves nothing about the row.
type Handoff struct {
	Service state.ServiceID `msgpack:"service"`
}

func (Handoff) message() {}

// Action is an output of Step for the daemon to perform.
type Action interface{ action() }

// Read requests the rows of some services in one call.
type Read struct {
	Call     CallID
	Services []state.ServiceID
}

// Commit requests one transaction of conditional writes.
type Commit struct {
	Call   CallID
	Writes []Write
}

// Send sends a message to one daemon.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Status describes what this daemon may do for a service from now on. It is emitted on each
// change, including renewals.
type Status struct {
	Service state.ServiceID
	State   State
	TermID  state.Nonce // of the term; raising the fencing number does not change it
	Fencing state.FencingNumber
	Until   time.Time // Holds is false from then on; set for Held and Lapsed only
	Clean   bool      // no order of an earlier holder can be in flight
}

func (Read) action()   {}
func (Commit) action() {}
func (Send) action()   {}
func (Status) action() {}

// State is a daemon's right to send orders to the backend servers of a service.
type State int

// The values of State.
const (
	// None: another daemon may hold the lease; no orders may be sent.
	None State = iota
	// Lapsed: the lease has expired, and no successor is known. Orders may be sent only to
	// backend servers that check fencing numbers.
	Lapsed
	// Held: no other daemon holds the lease.
	Held
)

// String returns the lease state in lower case.
func (s State) String() string {
	switch s {
	case Held:
		return "held"
	case Lapsed:
		return "lapsed"
	default:
		return "none"
	}
}
