package documents

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input to Step.
type Event interface {
	event()
}

// SubmitEdit is an operator's edit with a validated text. ID identifies it in EditAnswered.
type SubmitEdit struct {
	ID       uint64
	Service  state.ServiceID
	Base     state.DocumentVersion // the version edited; 0 creates the document
	EditID   string                // unique to the edit; a repeat with the same ID is the same edit
	Text     []byte
	Deadline time.Time // for the answer
}

// StoreResult is the result of a CallStore.
type StoreResult struct {
	Result store.Result
}

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Members is the membership view: Live are the other daemons considered alive, Known is the
// number of daemons that the platform lists, including this one. It is sent about once a
// second.
type Members struct {
	Live  []state.Member
	Known int
}

// Tick advances time.
type Tick struct{}

func (SubmitEdit) event()  {}
func (StoreResult) event() {}
func (Received) event()    {}
func (Members) event()     {}
func (Tick) event()        {}

// Action is an output of Step for the caller to perform.
type Action interface {
	action()
}

// CallStore requests one store call.
type CallStore struct {
	Call store.Call
}

// Send sends a message to another daemon. It may be lost.
type Send struct {
	To  state.Member
	Msg Message
}

// Applied reports the new active document of a service. Versions of a service only increase.
type Applied struct {
	Doc Doc
}

// ReadyChanged reports that the daemon has the current documents and may serve.
type ReadyChanged struct{}

// IsolatedChanged reports that the daemon can no longer know whether its documents are current,
// or can again.
type IsolatedChanged struct {
	Isolated bool
}

// EditStatus is the outcome of an edit.
type EditStatus uint8

// The values of EditStatus.
const (
	// EditAccepted: committed as Version.
	EditAccepted EditStatus = iota + 1
	// EditConflict: another edit was committed first; this call did not commit and never will.
	// Current is the current document. A repeat of an edit that was accepted before the latest
	// 32 edits has this result as well.
	EditConflict
	// EditUnavailable: the store could not be reached; the edit did not commit and never will.
	EditUnavailable
	// EditUnknown: the store's answer was lost. A repeat with the same EditID determines the
	// outcome.
	EditUnknown
)

// EditAnswered answers a SubmitEdit.
type EditAnswered struct {
	ID      uint64
	Status  EditStatus
	Version state.DocumentVersion
	Current Doc // set for EditConflict
}

func (CallStore) action()       {}
func (Send) action()            {}
func (Applied) action()         {}
func (ReadyChanged) action()    {}
func (IsolatedChanged) action() {}
func (EditAnswered) action()    {}
