package gateway

import (
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Request is a caller's request with its complete body.
type Request struct {
	ID              state.RequestID
	Host            string
	Path            string // without the query
	Method          string
	Target          string // path and query as sent
	Header          http.Header
	Body            []byte
	Unread          bool          // there was no memory for the body: the request can't run
	Excess          bool          // the daemon serves as many requests as it has descriptors for: the request can't run
	Key             string        // the caller's API key, or ""
	CallerTimeout   time.Duration // how long the caller waits, from Arrived on; 0 if not stated
	PromptTokens    int
	MaxAnswerTokens int
	LengthHint      int // the caller's estimate of the answer's tokens; 0 if not stated
	// PromptParts are the ids of the parts of the prompt that other requests may share, in order.
	PromptParts []string
	LastEventID string // id of the last event that the caller has received, or ""
	Arrived     time.Time
	// CallerLeft reports whether the caller has disconnected, which the context of the request
	// may show later. It is called immediately before the request is sent to a server; nil
	// leaves it to the context.
	CallerLeft func() bool
}

// Reply receives the answer to a request.
type Reply interface {
	// WriteHeader begins the answer with a server's status and header.
	WriteHeader(status int, header http.Header)
	// Write sends and flushes bytes of the body.
	Write(p []byte) error
	// Abort ends an answer that has begun so that the caller can't mistake it for a
	// complete one.
	Abort()
}

// Outcome is how a request ended.
type Outcome uint8

// The values of Outcome.
const (
	// Answered: a server's answer was delivered completely.
	Answered Outcome = iota + 1
	// Refused: the request has not run and will not run.
	Refused
	// Failed: the request can't be answered; it may have run.
	Failed
	// TimedOut: the deadline passed; the request may have run.
	TimedOut
	// Truncated: a part of an answer was delivered, and no more will follow.
	Truncated
	// CallerLeft: the caller disconnected.
	CallerLeft
	// NoRoute: the configuration has no route for the request.
	NoRoute
	// UnknownKey: the configuration has no such API key.
	UnknownKey
)

// Result is an Outcome with the information for the caller.
type Result struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused caller can expect to be served.
	RetryAfter time.Duration
}
