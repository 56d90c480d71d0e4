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
type View struct {
	Self state.DaemonID
	// Daemons may own permits: they live and do not leave. Their order does not matter.
	Daemons []state.DaemonID
	// Part is the share of all daemons that this one is in contact with, from 0 to 1.
	Part float64
}

// Heard is what a server's answer says of its limit.
type Heard struct {
	Server state.Life
	Limit  fleet.RateLimit
	Sent   time.Time // when the request was sent
}

// Learned is what another daemon has told all.
type Learned struct {
	Told
	At time.Time // when that daemon did, by this daemon's clock
}

// Received is a message of another daemon.
type Received struct {
	From state.DaemonID
	Msg  Message
}

// Tick lets timers run.
type Tick struct{}

func (View) permitsEvent()     {}
func (Heard) permitsEvent()    {}
func (Learned) permitsEvent()  {}
func (Received) permitsEvent() {}
func (Tick) permitsEvent()     {}

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
type Tell struct {
	Told
}

// Changed says that another limit of a server is known here than before.
type Changed struct {
	Told
}

func (Send) permitsAction()    {}
func (Tell) permitsAction()    {}
func (Changed) permitsAction() {}
