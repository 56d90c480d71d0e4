package storebudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// Event is what a Budget is told.
type Event interface {
	event()
}

// Want asks to send a store call. ID is the caller's own number; Cost counts
// against the rate, 0 taken as 1.
type Request struct {
	ID    uint64
	Class store.Class
	Kind  Kind
	Cost  int
}

// Withdraw takes back a Want that was not granted yet.
type Cancel struct {
	ID uint64
}

// Finished tells how a granted call ended. Throttled is the store's own
// refusal for rate.
type Finished struct {
	ID        uint64
	Status    store.Status
	Took      time.Duration
	Throttled bool
}

// RolesChanged tells the daemon's share anew.
type RolesChanged struct {
	Roles Roles
}

// Tick lets time pass.
type Tick struct{}

func (Request) event()      {}
func (Cancel) event()       {}
func (Finished) event()     {}
func (RolesChanged) event() {}
func (Tick) event()         {}

// Action is what a Budget decides.
type Action interface {
	action()
}

// Grant permits a call to be sent.
type Grant struct {
	ID uint64
}

// Shed refuses a call that waited too long or found no room; it is answered
// store.NotSent.
type Shed struct {
	ID uint64
}

func (Grant) action() {}
func (Shed) action()  {}

// Usage is what was granted and refused since the Budget was made, by kind and
// class, and how the store is doing.
type Usage struct {
	Granted   [kinds][store.NumClasses]int
	Shed      [kinds][store.NumClasses]int
	Throttled int     // calls that the store refused or was slow to answer
	Factor    float64 // of this daemon's share now in use, 1 for all
	Down      bool
}
