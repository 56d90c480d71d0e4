package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Event is what a Limiter is told.
type Event interface {
	event()
}

// Tick tells that time has passed.
type Tick struct{}

// Ask wants one token for a request; Call names it in the answer.
type Acquire struct {
	Call     uint64
	Service  state.ServiceID
	Customer state.CustomerID
}

// Received is a message of another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Members is the membership view. It orders the choice of owners and tells of
// later lives; no limit depends on it.
type Members struct {
	Live []state.Member
}

// Limits are the customers of one service's document in force. They replace
// what was told of the service before.
type Limits struct {
	Service   state.ServiceID
	Customers []service.Customer
}

// Drain tells that this daemon is stopping: it owns and lends nothing more.
type Drain struct{}

func (Tick) event()     {}
func (Acquire) event()  {}
func (Received) event() {}
func (Members) event()  {}
func (Limits) event()   {}
func (Drain) event()    {}

// Action is what the caller is to do.
type Action interface {
	action()
}

// Send carries a message to another daemon; it may be lost.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Admit gives the asked token.
type Admit struct {
	Call uint64
}

// Refuse gives no token.
type Refuse struct {
	Call   uint64
	Reason RefusalReason

	// RetryAfter is when there may be a token; 0 if not known.
	RetryAfter time.Duration
}

func (Send) action()   {}
func (Admit) action()  {}
func (Refuse) action() {}

// Why is the closed list of why there was no token. Callers see
// state.ReasonCustomerLimit for each; each has a counter of its own.
type RefusalReason string

// The values of Why.
const (
	ReasonExhausted      RefusalReason = "limit_used_up"  // the limit is used up site-wide
	ReasonNoOwner        RefusalReason = "limit_no_owner" // no owner of the key answered in time
	ReasonTooManyPending RefusalReason = "limit_pending"  // too many requests wait for the key's tokens
	ReasonNoLimit        RefusalReason = "limit_unknown"  // the documents give no limit for the key
)
