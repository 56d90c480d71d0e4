package documents

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is what the machine is told.
type Event interface {
	event()
}

// Apply is an operator's edit. Text is checked already. ID is the caller's
// number for the answer.
type SubmitEdit struct {
	ID       uint64
	Service  state.ServiceID
	Base     state.DocumentVersion // the version edited; 0 creates the document
	EditID   string                // unique to the edit; a repeat of it is the same edit
	Text     []byte
	Deadline time.Time // for the answer
}

// Answered is the result of a CallStore.
type StoreResult struct {
	Result store.Result
}

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Reach is the membership view: Live are the other daemons believed alive,
// Known counts all that the platform lists, this one included. It comes about
// once a second.
type Members struct {
	Live  []state.Member
	Known int
}

// Tick lets time pass.
type Tick struct{}

func (SubmitEdit) event()  {}
func (StoreResult) event() {}
func (Received) event()    {}
func (Members) event()     {}
func (Tick) event()        {}

// Action is what the machine asks for.
type Action interface {
	action()
}

// CallStore asks for one store call.
type CallStore struct {
	Call store.Call
}

// Send sends a message to another daemon; it may be lost.
type Send struct {
	To  state.Member
	Msg Message
}

// Adopted puts a document into force at this daemon. The versions of one
// service only grow.
type Applied struct {
	Doc Doc
}

// ReadyChanged reports that the daemon knows the documents and may serve.
type ReadyChanged struct{}

// IsolatedChanged reports that the daemon can no longer know that its
// documents are current, or can again.
type IsolatedChanged struct {
	Isolated bool
}

// EditStatus is what became of an edit.
type EditStatus uint8

// The values of EditStatus.
const (
	// EditAccepted: committed as Version.
	EditAccepted EditStatus = iota + 1
	// EditConflict: another edit came first, and this call did not commit and
	// never will. Current is what stands. An edit with the same id that was
	// accepted long ago, with 32 others since, is answered so as well.
	EditConflict
	// EditUnavailable: the store could not be reached; not committed, and
	// never will be.
	EditUnavailable
	// EditUnknown: the store's answer was lost. A repeat with the same EditID
	// tells.
	EditUnknown
)

// EditAnswered answers an Apply.
type EditAnswered struct {
	ID      uint64
	Status  EditStatus
	Version state.DocumentVersion
	Current Doc // with EditConflict
}

func (CallStore) action()       {}
func (Send) action()            {}
func (Applied) action()         {}
func (ReadyChanged) action()    {}
func (IsolatedChanged) action() {}
func (EditAnswered) action()    {}
