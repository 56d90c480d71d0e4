// Package backend is the contract with backend servers that answer whole requests
// by themselves: plain servers, and engines that pass a request along a path.
package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Errors of calls.
var (
	// ErrNotSent: not one byte of the call left this process, so it has not run
	// and won't.
	ErrNotSent = errors.New("not sent")
	// ErrBroken: the call left, and no whole answer to it came back. It may
	// have run.
	ErrIncomplete = errors.New("no whole answer")
)

// Call is one request to one server.
type Call struct {
	Server       state.BackendID // the life that is meant; another one refuses
	Address      string
	RequestID    string
	Method       string
	Target       string // path and query as the caller sent them
	Header       http.Header
	Body         []byte
	Customer     state.CustomerID // "" for callers without a key
	Remaining    time.Duration    // of the caller's deadline; 0 for none
	Path         fleet.Path       // nil for a plain server
	LastEventID  string           // id of the last event that the caller has, or ""
	Rank         int              // 0 is the most urgent, 9 the least
	MaxIdleConns int              // idle connections to the server that may be kept; 0 for as many as suits
}

// Answer is the head of a server's answer. Body must be closed; it ends with
// io.EOF only where the answer is whole.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Signed: the answer bears the server's signature.
	Signed bool
	// NotRun proves that the request has not run and won't.
	NotRun bool
	// Stale: the server is not the life that was meant, or lacks the layers.
	Stale bool
	// Culprit is the address of the hop at fault, or "".
	FaultyHop string
	// Limit is the limit of requests that the server names in this answer.
	Limit fleet.RateLimit
	// LimitUnreadable: the answer names a limit that can't be read, and Limit says nothing.
	LimitUnreadable bool
}

// Order changes what an engine holds.
type Order struct {
	Server  state.BackendID
	Address string
	Layers  fleet.Range
	// Fence is the fencing number of whoever gives the order.
	FencingNumber state.FencingNumber
	// Orders is how many orders the engine must have begun so far.
	OrderCount uint64
}

// OrderResult says what an engine made of an order.
type OrderResult uint8

// The values of OrderResult.
const (
	OrderUnknown   OrderResult = iota // no answer: it may be carried out, also later
	OrderAccepted                     // it is being carried out
	OrderUnchanged                    // the state already holds
	OrderConflict                     // it does not fit the engine's state
	OrderFenced                       // a higher fencing number was seen
	OrderRejected                     // the engine refuses it for good
)

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Result    OrderResult
	StartTime int64 // of the life that answered, as state.Life has it; 0 if it does not say
}

// Report is what an engine says of itself, some hundred milliseconds old.
type Report struct {
	Busy       bool
	OrderCount uint64
	Layers     fleet.Range
	Pace       float64 // over 1 is slow
	Running    int     // requests that it runs as their first server
	KVUsed     int64   // of Room, what no other request can have
	KVCapacity int64   // of memory for requests, in tokens times layers; 0 if it does not say
	StartTime  int64   // of the life that reports, as state.Life has it
}

// Client speaks to backend servers. Its methods may be called by many goroutines.
type Client interface {
	// Send sends a request. Canceling ctx closes its connection, so that the
	// server stops work.
	Send(ctx context.Context, c Call) (*Answer, error)
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, address string) (Report, error)
}
