package permits

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Event is an input of Limiter.
type Event interface {
	permitsEvent()
}

// Membership describes the participating daemons.
type Membership struct {
	Self state.DaemonID
	// Daemons may own permits: they are alive and not leaving. Their order does not matter.
	Daemons []state.DaemonID
	// Share is the fraction of all daemons that this one is in contact with, from 0 to 1.
	Share float64
}

// LimitObserved reports the limit in a server's answer.
type LimitObserved struct {
	Server state.BackendIncarnation
	Limit  fleet.RateLimit
	Sent   time.Time // when the request was sent
}

// LimitReceived reports a limit that another daemon has announced.
type LimitReceived struct {
	LimitNotice
	At time.Time // when that daemon announced it, by this daemon's clock
}

// MessageReceived delivers a message of another daemon.
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

// Action is an output of Limiter, to be executed by the caller of Step.
type Action interface {
	permitsAction()
}

// Send sends a message to another daemon. Lost messages are tolerated.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Broadcast announces a limit to all live daemons.
type Broadcast struct {
	LimitNotice
}

// LimitChanged reports that the known limit of a server has changed.
type LimitChanged struct {
	LimitNotice
}

func (Send) permitsAction()         {}
func (Broadcast) permitsAction()    {}
func (LimitChanged) permitsAction() {}
