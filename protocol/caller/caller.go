// Package caller defines the interface between the HTTP front and the daemon
// behind it: the operations of callers and operators, and their results.
package caller

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// AddressQuery asks for the daemons that a caller should use.
type AddressQuery struct {
	Service  state.ServiceID
	Customer state.CustomerID
	Domain   state.FailureDomain // the caller's failure domain, if known
	Caller   string              // distinguishes callers of one customer, such as by their IP address
}

// AddressAnswer lists the daemons that a caller should use, in order of preference.
type AddressAnswer struct {
	Addresses []string      // base URLs, best first
	TTL       time.Duration // how long the answer is valid
}

// Submission is one request of a caller.
type Submission struct {
	Service        state.ServiceID
	Customer       state.CustomerID
	Class          state.ClassID
	IdempotencyKey state.IdempotencyKey // required if requests of the class must never run twice
	Deadline       time.Duration        // to the first token; 0 uses the deadline of the class

	// Prompt is the input of the model, or the body for a plain service.
	Prompt    string
	Adapter   string
	MaxTokens int // 0 uses the limit of the class

	// After is the index of the last token that the caller received, -1 for none.
	After int
}

// Token is one token of an answer. The answer of a plain service is one Token.
//
// The fields are written under their own names where daemons send answers to each
// other (package streams).
type Token struct {
	Index int
	Value int64
	Text  string
}

// Item is one element of a stream: a token, or the outcome that ends the stream.
type Item struct {
	Token   *Token
	Outcome state.Outcome // set if and only if Token is nil
}

// Stream is one caller's view of one answer. Next must not be called
// concurrently. Close ends the view but not the request.
type Stream interface {
	ID() state.RequestID
	// Next waits for the next item in order and must not be called after an
	// Outcome. It returns no error but that of ctx; no item is lost in that case,
	// and Next may be called again with another ctx.
	Next(ctx context.Context) (Item, error)
	Close()
}

// Phase is the phase of a request.
type Phase string

// The values of Phase.
const (
	PhaseQueued  Phase = "queued"
	PhaseRunning Phase = "running"
	PhaseEnded   Phase = "ended"
)

// Status is what is known about one request.
type Status struct {
	Request state.RequestID
	Phase   Phase
	Tokens  int
	Outcome state.Outcome // set in PhaseEnded
}

// Edit is an operator's change of a document.
type Edit struct {
	Base   state.DocumentVersion // the version that the edit is based on; 0 creates the document
	EditID string
	Text   []byte // the document as JSON
}

// EditStatus is the result of an edit.
type EditStatus string

// The values of EditStatus.
const (
	EditAccepted EditStatus = "accepted" // committed in the table service
	EditConflict EditStatus = "conflict" // another edit was committed first; Current holds it
	EditInvalid  EditStatus = "invalid"  // Faults holds the reasons
	EditUnknown  EditStatus = "unknown"  // the store's answer was lost; retry with the same EditID
	// EditUnavailable: the store could not be reached; the edit is not committed
	// and will not be.
	EditUnavailable EditStatus = "unavailable"
)

// EditResult is the answer to an Edit.
type EditResult struct {
	Status  EditStatus
	Version state.DocumentVersion
	Current *service.Versioned
	Faults  []string
}

// DaemonStatus is one daemon's view of itself and its peers.
type DaemonStatus struct {
	ID        state.DaemonID                            `json:"id"`
	Draining  bool                                      `json:"draining"`
	Isolated  bool                                      `json:"isolated"`
	Active    int                                       `json:"active_requests"`
	Documents map[state.ServiceID]state.DocumentVersion `json:"documents"`
	Members   []MemberStatus                            `json:"members"`
}

// MemberStatus is one daemon as seen by another one.
type MemberStatus struct {
	Member    state.Member                              `json:"member"`
	Address   string                                    `json:"address"`            // host:port for peers
	BaseURL   string                                    `json:"base_url,omitempty"` // for callers and operators
	State     string                                    `json:"state"`              // alive, suspect, dead, leaving
	Documents map[state.ServiceID]state.DocumentVersion `json:"documents,omitempty"`
}

// Daemon is the daemon behind the HTTP front. All methods are safe for concurrent
// use.
//
// An Outcome that is returned instead of a Stream ends the request immediately:
// Refused carries proof that it was not run, Unknown does not.
type Daemon interface {
	Addresses(ctx context.Context, q AddressQuery) AddressAnswer
	Submit(ctx context.Context, s Submission) (Stream, state.Outcome)
	Attach(ctx context.Context, id state.RequestID, after int) (Stream, state.Outcome)
	Status(ctx context.Context, id state.RequestID) (Status, bool)
	Cancel(ctx context.Context, id state.RequestID) (Status, bool)

	Apply(ctx context.Context, e Edit) EditResult
	Document(ctx context.Context, id state.ServiceID) (service.Versioned, bool)
	Documents(ctx context.Context) []service.Versioned
	DaemonStatus(ctx context.Context) DaemonStatus
	// Drain starts a graceful shutdown and returns immediately.
	Drain(ctx context.Context)
}
