// Package caller is the contract between the HTTP front and the daemon behind
// it: what callers and operators can ask, and the values they get.
package caller

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// AddressQuery asks which daemons to use.
type AddressQuery struct {
	Service  state.ServiceID
	Customer state.CustomerID
	Domain   state.FailureDomain // the caller's own, if it knows it
	Caller   string              // tells callers of one customer apart, such as their IP
}

// AddressAnswer orders daemons for one caller.
type AddressAnswer struct {
	Addresses []string      // base URLs, best first
	TTL       time.Duration // how long the answer holds
}

// Submission is one request of a caller.
type Submission struct {
	Service        state.ServiceID
	Customer       state.CustomerID
	Class          state.ClassID
	IdempotencyKey state.IdempotencyKey // needed where the class is never to be repeated
	Deadline       time.Duration        // to the first token; 0 takes the class's

	// Prompt is the model's input, or the body for a plain service.
	Prompt    string
	Adapter   string
	MaxTokens int // 0 takes the class's

	// After is the index of the last token that the caller has, -1 for none.
	After int
}

// Token is one piece of an answer. A plain service's answer is one Token.
type Token struct {
	Index int
	Value int64
	Text  string
}

// Item is the next thing of a stream: a token, or the outcome that ends it.
type Item struct {
	Token   *Token
	Outcome state.Outcome // set exactly when Token is nil
}

// Stream is one caller's view of one answer. Next may be called by one
// goroutine at a time. Close lets go of the view, not of the request.
type Stream interface {
	ID() state.RequestID
	// Next waits for the next item in order; after an Outcome it is not called
	// again. The error is only ever that of ctx; no item is lost with it, and
	// Next may be called again with another ctx.
	Next(ctx context.Context) (Item, error)
	Close()
}

// Phase is where a request stands.
type Phase string

// The values of Phase.
const (
	PhaseQueued  Phase = "queued"
	PhaseRunning Phase = "running"
	PhaseEnded   Phase = "ended"
)

// Status is what is known of one request.
type Status struct {
	Request state.RequestID
	Phase   Phase
	Tokens  int
	Outcome state.Outcome // set in PhaseEnded
}

// Edit is one operator's change of a document.
type Edit struct {
	Base   state.DocumentVersion // the version that the edit is based on; 0 creates
	EditID string
	Text   []byte // the document as JSON
}

// EditStatus is what became of an edit.
type EditStatus string

// The values of EditStatus.
const (
	EditAccepted EditStatus = "accepted" // committed in the table service
	EditConflict EditStatus = "conflict" // another edit came first; Current has it
	EditInvalid  EditStatus = "invalid"  // Faults say why
	EditUnknown  EditStatus = "unknown"  // the store's answer was lost; repeat with the same EditID
	// EditUnavailable: the store could not be reached; not committed, and never will be.
	EditUnavailable EditStatus = "unavailable"
)

// EditResult answers an Edit.
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

// MemberStatus is one daemon as another sees it.
type MemberStatus struct {
	Member    state.Member                              `json:"member"`
	Address   string                                    `json:"address"`            // host:port for peers
	BaseURL   string                                    `json:"base_url,omitempty"` // for callers and operators
	State     string                                    `json:"state"`              // alive, suspect, dead, leaving
	Documents map[state.ServiceID]state.DocumentVersion `json:"documents,omitempty"`
}

// Daemon is what the front asks of the daemon behind it. Every method may be
// called by many goroutines at once.
//
// An Outcome returned in place of a Stream ends the request at once: Refused
// has proof that it was not run, Unknown does not.
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
	// Drain starts a graceful stop; it returns at once.
	Drain(ctx context.Context)
}
