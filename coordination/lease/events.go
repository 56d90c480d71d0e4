package lease

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// CallNumber joins a store call to its result.
type CallID uint64

// Event is what the machine is stepped with.
type Event interface{ event() }

// Tick says that NextTick has come.
type Tick struct{}

// Services names the services whose leases this daemon may hold.
type Services struct{ IDs []state.ServiceID }

// Members names the daemons that may hold leases: live and not draining. Whether
// it is right bears on who tries first only, never on safety.
type Members struct{ Live []state.DaemonID }

// Drain says that this daemon is stopping: it takes no lease any more.
type Drain struct{}

// Release hands a lease on. Holds is false from this step on. Clean says that no
// order is under way, so that a successor need not wait one out.
type Release struct {
	Service state.ServiceID
	Clean   bool
}

// Refused says that a backend server refused a fencing number as old. While this
// daemon holds the lease the higher number is another service's, which had the
// server before: the holder raises its own above it. Once the lease has lapsed it
// may be a successor's: the daemon gives the lease up.
type FencingRejected struct {
	Service state.ServiceID
	Fencing state.FencingNumber // the number that was refused
	Seen    state.FencingNumber // the higher one
}

// ReadDone answers a Read with the rows asked for, in any order.
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

// Unanswered says that a call's fate is unknown.
type Unanswered struct{ Call CallID }

// Received is a message of another daemon.
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

// Message is what daemons tell each other about leases.
type Message interface{ message() }

// HandOn says that a lease was released, so that the receiver reads the row at
// once instead of at its next poll. It proves nothing.
type Handoff struct {
	Service state.ServiceID `msgpack:"service"`
}

func (Handoff) message() {}

// Action is what the daemon is to do.
type Action interface{ action() }

// Read asks for the rows of some services, in one call.
type Read struct {
	Call     CallID
	Services []state.ServiceID
}

// Commit asks for one transaction of conditional writes.
type Commit struct {
	Call   CallID
	Writes []Write
}

// Send carries a message to one daemon.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Status tells what this daemon may do for a service from now on. It is emitted
// on each change, renewals included.
type Status struct {
	Service state.ServiceID
	State   State
	TermID  state.Nonce // changes with each takeover, not with a raised number
	Fencing state.FencingNumber
	Until   time.Time // Holds is false from then on; only with Held and Lapsed
	Clean   bool      // no order of an earlier holder can be under way
}

func (Read) action()   {}
func (Commit) action() {}
func (Send) action()   {}
func (Status) action() {}

// Standing is a daemon's right to order the backend servers of a service.
type State int

// The values of Standing.
const (
	// None: another daemon may hold the lease; order nothing.
	None State = iota
	// Lapsed: the lease ran out, and no successor is known. Only backend
	// servers that check fencing numbers may be ordered.
	Lapsed
	// Held: no other daemon holds the lease.
	Held
)

// String names the standing.
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
