package shares

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input of Machine.
type Event interface {
	sharesEvent()
}

// Membership describes the daemons of the site.
type Membership struct {
	// Daemons may own nodes: they are alive and not leaving. Their order does not matter.
	Daemons []state.DaemonID
}

// Received delivers another daemon's message.
type Received struct {
	From state.Member
	Msg  Message
}

// NoticeReceived delivers a notice that was issued at a time by this daemon's clock.
type NoticeReceived struct {
	ContentionNotice
	At time.Time
}

// Tick lets timers run.
type Tick struct{}

func (Membership) sharesEvent()     {}
func (Received) sharesEvent()       {}
func (NoticeReceived) sharesEvent() {}
func (Tick) sharesEvent()           {}

// Action is an output of Machine, to be executed by the caller of Step.
type Action interface {
	sharesAction()
}

// Send sends a message to another daemon. Lost messages are tolerated.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Broadcast sends a notice to all live daemons.
type Broadcast struct {
	ContentionNotice
}

// StandingChanged reports that a customer of this daemon exceeds its share, or no longer does.
type StandingChanged struct {
	Service  state.ServiceID
	Customer Customer
	Over     bool
	Excess   float64
}

func (Send) sharesAction()            {}
func (Broadcast) sharesAction()       {}
func (StandingChanged) sharesAction() {}
