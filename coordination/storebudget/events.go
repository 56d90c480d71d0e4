package storebudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// Event is an input of a Budget.
type Event interface {
	event()
}

// Request asks to send a store call. ID is chosen by the caller; Cost is the number of tokens,
// where 0 means 1.
type Request struct {
	ID    uint64
	Class store.Class
	Kind  Kind
	Cost  int
}

// Cancel withdraws a Request that was not granted yet.
type Cancel struct {
	ID uint64
}

// Finished reports how a granted call ended. Throttled means that the store refused it because of
// its rate.
type Finished struct {
	ID        uint64
	Status    store.Status
	Took      time.Duration
	Throttled bool
}

// RolesChanged reports new roles of the daemon, which determine its share.
type RolesChanged struct {
	Roles Roles
}

// Tick lets timers run.
type Tick struct{}

func (Request) event()      {}
func (Cancel) event()       {}
func (Finished) event()     {}
func (RolesChanged) event() {}
func (Tick) event()         {}

// Action is an output of a Budget.
type Action interface {
	action()
}

// Grant permits a call to be sent.
type Grant struct {
	ID uint64
}

// Shed refuses a call that waited too long or found the queue full; it ends with store.NotSent.
type Shed struct {
	ID uint64
}

func (Grant) action() {}
func (Shed) action()  {}

// Usage counts what was granted and refused since the Budget was created, by kind and class, and
// reports the state of the store.
type Usage struct {
	Granted   [numKinds][store.NumClasses]int
	Shed      [numKinds][store.NumClasses]int
	Throttled int     // calls that the store refused or was slow to answer
	Factor    float64 // fraction of this daemon's share that is in use, 1 for all of it
	Down      bool
}
