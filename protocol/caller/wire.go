package caller

import (
	"net/http"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Paths of the caller API.
const (
	PathAddresses = "/v1/addresses"
	PathRequests  = "/v1/requests"
	PathEvents    = "/events" // after a request's path
)

// Headers of the caller API.
const (
	// RequestHeader carries the request's id in every response about a request.
	RequestHeader = "Hibiscuswick-Request"
	// KeyHeader carries the idempotency key that the caller chose.
	KeyHeader = "Idempotency-Key"
	// LastEventHeader carries the index of the last token that the caller received.
	LastEventHeader = "Last-Event-ID"
	// PreferHeader with the value PreferProcessing requests informational
	// responses 102 with RequestHeader, immediately and every few seconds, while
	// a request waits for its first token. Other clients get none, since some
	// clients take the first status line for that of the final response.
	PreferHeader     = "Prefer"
	PreferProcessing = "processing"
)

// Names of the events of a stream. The event id of a token is its index, which a
// standard client returns as Last-Event-ID when it reconnects. The other events
// have no id and leave the client's last event id unchanged.
const (
	EventAccepted = "accepted"
	EventToken    = "token"
	EventEnd      = "end"
)

// AcceptedEvent is the data of the first event of a stream.
type AcceptedEvent struct {
	Request state.RequestID `json:"request"`
}

// TokenEvent is the data of a token event.
type TokenEvent struct {
	Index int    `json:"index"`
	Value int64  `json:"value"`
	Text  string `json:"text"`
}

// Ending is the kind of a state.Outcome.
type Ending string

// The values of Ending.
const (
	EndCompleted Ending = "completed"
	EndRefused   Ending = "refused"
	EndFailed    Ending = "failed"
	EndUnknown   Ending = "unknown"
)

// EndEvent is the data of the last event of a stream.
type EndEvent struct {
	Outcome    Ending           `json:"outcome"`
	Tokens     int              `json:"tokens"`
	Reason     state.Reason     `json:"reason,omitempty"`
	Execution  state.Execution  `json:"execution,omitempty"`
	RetryAfter state.RetryAfter `json:"retry_after,omitempty"` // seconds
}

// NewEndEvent returns the last event of a stream that ended with o.
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
		// The stream ended without an outcome, which proves nothing.
		return EndEvent{Outcome: EndUnknown, Reason: state.ReasonInternal, Execution: state.ExecutionUnknown}
	}
}

// AddressesBody is the body of the response to GET PathAddresses.
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

// StatusBody is the body of responses about the status of a request.
type StatusBody struct {
	Request state.RequestID `json:"request"`
	Phase   Phase           `json:"phase"`
	Tokens  int             `json:"tokens"`
	End     *EndEvent       `json:"end,omitempty" doc:"Present once the request ended"`
}

// Problem is an RFC 9457 problem document, the body of every response that
// reports no success. It implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	// Reason is one of state.Reasons.
	Reason state.Reason `json:"reason,omitempty"`
	// Execution is what is known about the request's execution; absent if the
	// problem does not concern a request to a service.
	Execution state.Execution `json:"execution,omitempty"`
	// Request is the request's id if one was assigned.
	Request state.RequestID `json:"request,omitempty"`
	// RetryAfter is the time in seconds after which a retry may succeed; 0 means
	// unknown. It is sent in the header Retry-After as well.
	RetryAfter state.RetryAfter `json:"retry_after,omitempty"`

	// Faults lists the errors in the input, each with its path.
	Faults []string `json:"faults,omitempty"`
	// Current is the document that an edit conflicted with.
	Current *service.Versioned `json:"current,omitempty"`
}

func (p *Problem) Error() string {
	if p.Detail != "" {
		return p.Detail
	}
	return p.Title
}

// GetStatus returns the HTTP status.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the content type defined by RFC 9457.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders returns the headers of the response.
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
