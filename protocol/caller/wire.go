package caller

import (
	"net/http"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Paths of the caller interface.
const (
	PathAddresses = "/v1/addresses"
	PathRequests  = "/v1/requests"
	PathEvents    = "/events" // after a request's path
)

// Headers of the caller interface.
const (
	// RequestHeader carries the request's id on every answer about a request.
	RequestHeader = "Hibiscuswick-Request"
	// KeyHeader carries the caller's own name for a piece of work.
	KeyHeader = "Idempotency-Key"
	// LastEventHeader carries the index of the last token that the caller has.
	LastEventHeader = "Last-Event-ID"
	// PreferHeader with PreferProcessing asks for a sign of life while a request
	// waits for its first token: informational answers 102 with RequestHeader, at
	// once and every few seconds. Clients that don't ask get none, since some
	// take the first status line that comes for the answer's.
	PreferHeader     = "Prefer"
	PreferProcessing = "processing"
)

// Names of a stream's events. A token's event id is its index, so that a
// standard client that reconnects sends it back as Last-Event-ID. The other
// events have no id and leave the client's as it is.
const (
	EventAccepted = "accepted"
	EventToken    = "token"
	EventEnd      = "end"
)

// AcceptedEvent is the data of a stream's first event.
type AcceptedEvent struct {
	Request state.RequestID `json:"request"`
}

// TokenEvent is the data of a token's event.
type TokenEvent struct {
	Index int    `json:"index"`
	Value int64  `json:"value"`
	Text  string `json:"text"`
}

// Ending names the kinds of state.Outcome.
type Ending string

// The values of Ending.
const (
	EndCompleted Ending = "completed"
	EndRefused   Ending = "refused"
	EndFailed    Ending = "failed"
	EndUnknown   Ending = "unknown"
)

// EndEvent is the data of a stream's last event.
type EndEvent struct {
	Outcome    Ending           `json:"outcome"`
	Tokens     int              `json:"tokens"`
	Reason     state.Reason     `json:"reason,omitempty"`
	Execution  state.Execution  `json:"execution,omitempty"`
	RetryAfter state.RetryAfter `json:"retry_after,omitempty"` // seconds
}

// EndOf describes o.
func NewEndEvent(o state.Outcome) EndEvent {
	switch o := o.(type) {
	case state.Completed:
		return EndEvent{Outcome: EndCompleted, Tokens: o.Tokens}
	case state.Refused:
		return EndEvent{
			Outcome: EndRefused, Reason: o.Reason, RetryAfter: o.RetryAfter,
			Execution: state.ExecutionNotRun,
		}
	case state.Failed:
		return EndEvent{Outcome: EndFailed, Tokens: o.Tokens, Reason: o.Reason, Execution: state.ExecutionStarted}
	case state.Unknown:
		return EndEvent{Outcome: EndUnknown, Reason: o.Reason, Execution: state.ExecutionUnknown}
	default:
		// A stream that ends with nothing said: nothing may be concluded.
		return EndEvent{Outcome: EndUnknown, Reason: state.ReasonInternal, Execution: state.ExecutionUnknown}
	}
}

// AddressesBody answers GET PathAddresses.
type AddressesBody struct {
	Addresses []string         `json:"addresses" doc:"Base URLs, best first"`
	ValidFor  service.Duration `json:"valid_for" doc:"How long the answer holds, such as 5s"`
}

// SubmitBody is the body of POST PathRequests.
type SubmitBody struct {
	Service   string           `json:"service" minLength:"1" maxLength:"256"`
	Customer  string           `json:"customer" minLength:"1" maxLength:"256"`
	Class     string           `json:"class" minLength:"1" maxLength:"256"`
	Prompt    string           `json:"prompt" doc:"The model's input, or the body for a plain service"`
	Adapter   string           `json:"adapter,omitempty" maxLength:"256"`
	MaxTokens int              `json:"max_tokens,omitempty" minimum:"0" doc:"0 takes the class's"`
	Deadline  service.Duration `json:"deadline,omitempty" doc:"To the first token, such as 500ms; absent takes the class's"`
}

// StatusBody answers what is asked about one request.
type StatusBody struct {
	Request state.RequestID `json:"request"`
	Phase   Phase           `json:"phase"`
	Tokens  int             `json:"tokens"`
	End     *EndEvent       `json:"end,omitempty" doc:"Present once the request ended"`
}

// Problem is an RFC 9457 problem document, the body of every answer that is no
// success. It is an error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	// Reason is one of state.Reasons.
	Reason state.Reason `json:"reason,omitempty"`
	// Execution is what is known of the request's execution; absent where the
	// problem is not about a request to a service.
	Execution state.Execution `json:"execution,omitempty"`
	// Request is the request's id where it got one.
	Request state.RequestID `json:"request,omitempty"`
	// RetryAfter, in seconds, is when a repeat may be of use; 0 says nothing. It
	// is in the header Retry-After as well.
	RetryAfter state.RetryAfter `json:"retry_after,omitempty"`

	// Faults lists what is wrong with the input, each by its path.
	Faults []string `json:"faults,omitempty"`
	// Current is the document that an edit lost against.
	Current *service.Versioned `json:"current,omitempty"`
}

func (p *Problem) Error() string {
	if p.Detail != "" {
		return p.Detail
	}
	return p.Title
}

// GetStatus is the HTTP status.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType is that of RFC 9457.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders gives what a problem says in headers.
func (p *Problem) GetHeaders() http.Header {
	h := http.Header{}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatUint(uint64(p.RetryAfter), 10))
	}
	if p.Request != "" {
		h.Set(RequestHeader, string(p.Request))
	}
	return h
}
