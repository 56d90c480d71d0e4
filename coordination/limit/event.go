package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Event is an input of a Limiter.
type Event interface {
	event()
}

// Tick says that time has passed.
type Tick struct{}

// Acquire requests a token for a request. Call identifies it in the answer.
type Acquire struct {
	Call     uint64
	Service  state.ServiceID
	Customer state.CustomerID
}

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Members is the membership view. It affects the choice of owners and announces
// new incarnations; the limits hold whatever it says.
type Members struct {
	Live []state.Member
}

// Limits are the customers in the active document of one service. They replace
// the earlier limits of that service.
type Limits struct {
	Service   state.ServiceID
	Customers []service.Customer
}

// Drain says that this daemon is stopping: it owns and lends nothing more.
type Drain struct{}

func (Tick) event()     {}
func (Acquire) event()  {}
func (Received) event() {}
func (Members) event()  {}
func (Limits) event()   {}
func (Drain) event()    {}

// Action is an output of a Limiter, for the caller to carry out.
type Action interface {
	action()
}

// Send sends a message to another daemon; the message may be lost.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Admit grants the requested token.
type Admit struct {
	Call uint64
}

// Refuse denies the requested token.
type Refuse struct {
	Call   uint64
	Reason RefusalReason

	// RetryAfter is the time until a token may be available; 0 if not known.
	RetryAfter time.Duration
}

func (Send) action()   {}
func (Admit) action()  {}
func (Refuse) action() {}

// RefusalReason is the reason for a Refuse; the constants below are all its
// values. Callers get state.ReasonCustomerLimit for each; each has its own metric.
type RefusalReason string

// The values of RefusalReason.
const (
	ReasonExhausted      RefusalReason = "limit_used_up"  // the limit is exhausted site-wide
	ReasonNoOwner        RefusalReason = "limit_no_owner" // no owner of the key answered in time
	ReasonTooManyPending RefusalReason = "limit_pending"  // too many requests wait for the key's tokens
	ReasonNoLimit        RefusalReason = "limit_unknown"  // the documents have no limit for the key
)
