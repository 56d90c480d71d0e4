package gateway

import (
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Request is one caller's request, read whole.
type Request struct {
	ID              state.RequestID
	Host            string
	Path            string // without the query
	Method          string
	Target          string // path and query as sent
	Header          http.Header
	Body            []byte
	Key             string        // the caller's key, or ""
	CallerTimeout   time.Duration // how long the caller waits from Arrived on; 0 for unsaid
	PromptTokens    int           // tokens
	MaxAnswerTokens int           // tokens at most
	LastEventID     string        // id of the last event that the caller has, or ""
	Arrived         time.Time
}

// Reply takes the answer to a request.
type Reply interface {
	// Head begins the answer with a server's status and header.
	WriteHeader(status int, header http.Header)
	// Write sends bytes of the body; they leave at once.
	Write(p []byte) error
	// Cut ends a begun answer so that it can't be taken for a whole one.
	Abort()
}

// Outcome is how a request ended.
type Outcome uint8

// The values of Outcome.
const (
	// Answered: a server's answer was given whole.
	Answered Outcome = iota + 1
	// Refused: it has not run and won't.
	Refused
	// Failed: it can't be answered; it may have run.
	Failed
	// TimedOut: its time ran out; it may have run.
	TimedOut
	// Cut: a part of an answer was given, and no more will come.
	Truncated
	// Gone: the caller left.
	CallerLeft
	// NoRoute: the configuration has no route for it.
	NoRoute
	// BadKey: the configuration has no such key.
	UnknownKey
)

// Result is an Outcome with what the caller is told.
type Result struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused caller may expect to be served.
	RetryAfter time.Duration
}
