package permits

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Event is what Permits is told.
type Event interface {
	permitsEvent()
}

// View is who takes part.
type Membership struct {
	Self state.DaemonID
	// Daemons may own permits: they live and do not leave. Their order does not matter.
	Daemons []state.DaemonID
	// Part is the share of all daemons that this one is in contact with, from 0 to 1.
	Share float64
}

// Heard is what a server's answer says of its limit.
type LimitObserved struct {
	Server state.Life
	Limit  fleet.RateLimit
	Sent   time.Time // when the request was sent
}

// Learned is what another daemon has told all.
type LimitReceived struct {
	LimitNotice
	At time.Time // when that daemon did, by this daemon's clock
}

// Received is a message of another daemon.
type MessageReceived struct {
	From state.DaemonID
	Msg  Message
}

// Tick lets timers run.
type Tick struct{}

func (Membership) permitsEvent()      {}
func (LimitObserved) permitsEvent()   {}
func (LimitReceived) permitsEvent()   {}
func (MessageReceived) permitsEvent() {}
func (Tick) permitsEvent()            {}

// Action is what the caller of Step is to do.
type Action interface {
	permitsAction()
}

// Send sends a message to another daemon. One that is lost is made up for.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Tell has all live daemons learn a limit.
type Broadcast struct {
	LimitNotice
}

// Changed says that another limit of a server is known here than before.
type LimitChanged struct {
	LimitNotice
}

func (Send) permitsAction()         {}
func (Broadcast) permitsAction()    {}
func (LimitChanged) permitsAction() {}
