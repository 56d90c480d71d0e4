package quarantine

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// RunID identifies one run of one daemon. A run is one execution of a content on a
// replica.
type RunID uint64

// Event is an input of a Quarantine.
type Event interface {
	event()
}

// Tick reports that time has passed.
type Tick struct{}

// RunRequested requests to run a content. Call identifies the request in the answer,
// Allow or Refuse.
type RunRequested struct {
	Call        uint64
	Fingerprint Fingerprint
}

// Cancel withdraws a RunRequested that has not been answered.
type Cancel struct {
	Call uint64
}

// RunStarted reports that a run is about to be dispatched to a replica. Lock is
// Allow.Lock.
type RunStarted struct {
	Run         RunID
	Fingerprint Fingerprint
	Replica     state.ReplicaID
	Lock        uint64
}

// RunResult tells how a run ended.
type RunResult uint8

// The values of RunResult.
const (
	// RunCompleted: the answer was complete.
	RunCompleted RunResult = iota + 1
	// RunStopped: the run ended without a complete answer, on a replica that is alive.
	RunStopped
	// RunLost: the result of the run, or the state of the replica, is unknown.
	RunLost
)

// RunEnded reports that a run is over. For a lock under which no run was started, Run
// is 0 and Lock is set.
type RunEnded struct {
	Run    RunID
	Lock   uint64
	Result RunResult
}

// BackendDied reports that a backend server of a replica died.
type BackendDied struct {
	Replica state.ReplicaID
	Domain  state.FailureDomain
}

// ViewChanged carries the membership view.
type ViewChanged struct {
	Live []state.Member
}

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// StoreResult answers the action CallStore.
type StoreResult struct {
	Result store.Result
}

func (Tick) event()         {}
func (RunRequested) event() {}
func (Cancel) event()       {}
func (RunStarted) event()   {}
func (RunEnded) event()     {}
func (BackendDied) event()  {}
func (ViewChanged) event()  {}
func (Received) event()     {}
func (StoreResult) event()  {}

// Action is an instruction of a Quarantine to its caller.
type Action interface {
	action()
}

// Allow permits the run that RunRequested with the same Call requested. Exclusive
// requires a replica that runs nothing else until the run has ended. The run must start
// and end before Until.
type Allow struct {
	Call      uint64
	Exclusive bool
	Lock      uint64 // ID of the lock under which the content runs; 0 unless Exclusive
	Until     time.Time
}

// Refuse rejects the RunRequested with the same Call: the content is quarantined.
type Refuse struct {
	Call  uint64
	Until time.Time // when the quarantine entry expires
}

// DeathPropagated reports that the other daemons know of the death that this daemon
// observed, or that Config.PropagationTimeout has passed. Answers that fail because of
// the death must wait for this action.
type DeathPropagated struct {
	Replica state.ReplicaID
}

// Quarantined reports a new quarantine entry at this daemon.
type Quarantined struct {
	Fingerprint Fingerprint
	Confirmed   bool
}

// Send sends a message to another daemon. The message may be lost.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// CallStore is one call to the table service.
type CallStore struct {
	Call store.Call
}

func (Allow) action()           {}
func (Refuse) action()          {}
func (DeathPropagated) action() {}
func (Quarantined) action()     {}
func (Send) action()            {}
func (CallStore) action()       {}
