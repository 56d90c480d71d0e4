package quarantine

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// RunID numbers one run of one daemon.
type RunID uint64

// Event is what a Quarantine is told.
type Event interface {
	event()
}

// Tick tells that time has passed.
type Tick struct{}

// Ask wants to run a content; Call names it in the answer, Allow or Refuse.
type RunRequested struct {
	Call        uint64
	Fingerprint Fingerprint
}

// Cancel takes back an Ask that was not answered yet.
type Cancel struct {
	Call uint64
}

// Began tells that a run is about to be dispatched to a replica. Turn is
// Allow.Turn.
type RunStarted struct {
	Run         RunID
	Fingerprint Fingerprint
	Replica     state.ReplicaID
	Lock        uint64
}

// How is how a run ended.
type RunResult uint8

// The values of How.
const (
	// RunCompleted: the answer was whole.
	RunCompleted RunResult = iota + 1
	// RunStopped: it ended without a whole answer, on a replica that lives.
	RunStopped
	// RunLost: it can't be told what became of it or of the replica.
	RunLost
)

// Ended tells that a run is over. For a turn that never began a run, Run is 0
// and Turn is set.
type RunEnded struct {
	Run    RunID
	Lock   uint64
	Result RunResult
}

// Died tells that a backend server of a replica died.
type BackendDied struct {
	Replica state.ReplicaID
	Domain  state.FailureDomain
}

// Members is the membership view.
type ViewChanged struct {
	Live []state.Member
}

// Received is a message of another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Stored answers an action Store.
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

// Action is what the caller is to do.
type Action interface {
	action()
}

// Allow permits one run. Alone demands a replica that runs nothing else until
// the run has ended; the run is to begin and end before Until.
type Allow struct {
	Call      uint64
	Exclusive bool
	Lock      uint64 // 0 unless Alone
	Until     time.Time
}

// Refuse says that the content is quarantined.
type Refuse struct {
	Call  uint64
	Until time.Time // of the conviction
}

// Spread says that the other daemons know of what this one saw die, or that
// Config.SpreadWait has passed. Answers that fail because of it wait for this.
type DeathPropagated struct {
	Replica state.ReplicaID
}

// Convicted reports a new conviction by this daemon.
type Quarantined struct {
	Fingerprint Fingerprint
	Confirmed   bool
}

// Send carries a message to another daemon; it may be lost.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Store is one call to the table service.
type CallStore struct {
	Call store.Call
}

func (Allow) action()           {}
func (Refuse) action()          {}
func (DeathPropagated) action() {}
func (Quarantined) action()     {}
func (Send) action()            {}
func (CallStore) action()       {}
