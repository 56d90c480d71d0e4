// Package backend defines the interface to backend servers that answer complete
// requests: plain servers, and engines that forward a request along a path.
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

// Errors of calls to backend servers.
var (
	// ErrNotSent: no byte of the call left this process, so the request has not
	// run and will not run.
	ErrNotSent = errors.New("not sent")
	// ErrRefused: the server's instance has refused the connection, since no process listens
	// there. It is joined with ErrNotSent.
	ErrRefused = errors.New("connection refused")
	// ErrIncomplete: the call was sent, and no complete answer was received. The
	// request may have run.
	ErrIncomplete = errors.New("no complete answer")
	// ErrNoReport: the server has answered a request for its report with something else,
	// which shows that it is alive.
	ErrNoReport = errors.New("answered without a report")
	// ErrWithdrawn: Call.Admit has returned false. It is joined with ErrNotSent.
	ErrWithdrawn = errors.New("withdrawn before it was sent")
)

// Call is a request to one backend server.
type Call struct {
	Server       state.BackendID // the intended incarnation; any other one rejects the call
	Address      string
	RequestID    string
	Method       string
	Target       string // path and query as the caller sent them
	Header       http.Header
	Body         []byte
	Customer     state.CustomerID // "" for callers without a key
	Remaining    time.Duration    // time until the caller's deadline; 0 for none
	Path         fleet.Path       // nil for a plain server
	LastEventID  string           // id of the last event that the caller received, or ""
	Rank         int              // 0 is the most urgent, 9 the least
	MaxIdleConns int              // maximum number of pooled idle connections to the server; 0 for the default
	// Resent is set if the server has been sent this request before. A late copy of its answer to that
	// may still arrive on the connection that carried it.
	Resent bool
	// Admit is called when a connection is ready, immediately before the call is sent; reused is
	// set if the connection has carried a call before. If Admit returns false, nothing is sent and
	// Send returns ErrWithdrawn. nil admits each call.
	Admit func(reused bool) bool
}

// Answer is the header of a server's answer together with its body. Body must be
// closed; it ends with io.EOF only if the answer is complete.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Unframed reports that the body has neither a length nor chunks: it ends with its connection,
	// which also ends if the server does.
	Unframed bool
	// Signed reports whether the answer carries the server's signature.
	Signed bool
	// NotRun proves that the request has not run and will not run.
	NotRun bool
	// Stale reports that the server is not the intended incarnation, or does not
	// hold the layers.
	Stale bool
	// FaultyHop is the address of the hop that failed, or "".
	FaultyHop string
	// Limit is the rate limit that the server states in this answer.
	Limit fleet.RateLimit
	// LimitUnreadable reports that the answer states a limit that can't be parsed;
	// Limit is then undefined.
	LimitUnreadable bool
	// RetryAfter is how long the server wants no further request from this daemon; 0 if
	// it states no time.
	RetryAfter time.Duration
	// Leaving reports that the server states that it is about to stop.
	Leaving bool
	// Unreadable are the names of the statements in this answer that can't be parsed.
	Unreadable []string
	// Unknown are the names of the fields of Header that the protocol does not define.
	Unknown []string
}

// TurnedAway reports whether the server did not accept the request for lack of capacity or
// because it is leaving.
func (a *Answer) TurnedAway() bool {
	return a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
}

// ClaimsNotRun reports whether the answer's status alone tells a caller that its request has not run and will not
// run. A server may use such a status for its own failure; only NotRun proves the claim.
func (a *Answer) ClaimsNotRun() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// StatesRetryAfter reports whether the server turned the request away and wants no further
// one for RetryAfter.
func (a *Answer) StatesRetryAfter() bool { return a.TurnedAway() && a.RetryAfter > 0 }

// Order changes the layers that an engine holds.
type Order struct {
	Server  state.BackendID
	Address string
	Layers  fleet.Range
	// FencingNumber is the fencing number of the sender's lease.
	FencingNumber state.FencingNumber
	// OrderCount is the number of orders that the engine must have accepted so
	// far; the engine rejects the order otherwise.
	OrderCount uint64
}

// OrderResult is the result of an order.
type OrderResult uint8

// The values of OrderResult.
const (
	OrderUnknown   OrderResult = iota // no answer: the order may be carried out, even later
	OrderAccepted                     // the order is being carried out
	OrderUnchanged                    // the engine is already in the requested state
	OrderConflict                     // the order does not match the engine's state
	OrderFenced                       // the engine has seen a higher fencing number
	OrderRejected                     // the engine rejects the order permanently
)

// OrderAnswer is an engine's answer to an order.
type OrderAnswer struct {
	Result    OrderResult
	StartTime int64 // start time of the incarnation that answered, as in state.BackendIncarnation.Born; 0 if unknown
}

// Report is an engine's report of its own state. It is a few hundred milliseconds
// old.
type Report struct {
	Busy       bool   // an order is being carried out
	OrderCount uint64 // orders accepted so far
	Layers     fleet.Range
	Pace       float64 // relative duration of a step; above 1 is slow
	Running    int     // running requests for which the engine is the first hop
	KVUsed     int64   // part of KVCapacity that is reserved for running requests
	KVCapacity int64   // KV-cache capacity in tokens times layers; 0 if unknown
	StartTime  int64   // start time of the reporting incarnation, as in state.BackendIncarnation.Born
}

// Client calls backend servers. It is safe for concurrent use.
type Client interface {
	// Send sends a request. Canceling ctx closes the connection, which makes the
	// server stop its work.
	Send(ctx context.Context, c Call) (*Answer, error)
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, address string) (Report, error)
	// Connect establishes a new connection to a server and closes it. It shows whether the server
	// is reached, which a call on an open connection may not.
	Connect(ctx context.Context, address string) error
}
