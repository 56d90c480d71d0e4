package front

import (
	"errors"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// problemType is the prefix of a problem's type, which ends with the reason.
const problemType = "urn:hibiscuswick:problem:"

// huma builds its own errors, such as those of validation, through package variables
// and has no other hook for them. All of them become Problems.
func init() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		return inputProblem(status, msg, errs)
	}
	huma.NewErrorWithContext = func(hc huma.Context, status int, msg string, errs ...error) huma.StatusError {
		p := inputProblem(status, msg, errs)
		if hc.Operation().OperationID == submitOperation {
			exchangeOf(hc.Context()).refused.Inc(1)
			p.Execution = refusedExecution(hc.Header(caller.KeyHeader), hc.Header(caller.LastEventHeader))
		}
		return p
	}
}

// refusedExecution returns the execution state of a submission that the front refuses.
// A submission with an idempotency key or a last event ID may repeat one that ran at
// another daemon, which is not known here.
func refusedExecution(key, lastEventID string) state.Execution {
	if key != "" || lastEventID != "" {
		return state.ExecutionUnknown
	}
	return state.NewDispatches().Execution()
}

// inputProblem describes input that huma refused before a handler ran. It does not
// repeat the values of the input, which may be as long as the body.
func inputProblem(status int, msg string, errs []error) *Problem {
	reason := state.ReasonBadRequest
	if status >= http.StatusInternalServerError {
		reason = state.ReasonInternal
	}
	p := newProblem(status, reason, msg)
	for _, err := range errs {
		p.Faults = append(p.Faults, faultText(err))
	}
	return p
}

// faultText returns "path: message" without the value.
func faultText(err error) string {
	var d huma.ErrorDetailer
	if !errors.As(err, &d) {
		return err.Error()
	}
	detail := d.ErrorDetail()
	if detail.Location == "" {
		return detail.Message
	}
	return detail.Location + ": " + detail.Message
}

// newProblem returns a Problem with the fields that every problem has.
func newProblem(status int, reason state.Reason, detail string) *Problem {
	return &Problem{
		Type:   problemType + string(reason),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Reason: reason,
	}
}

// outcomeProblem describes a request that ended before its answer began.
func outcomeProblem(id state.RequestID, o state.Outcome) *Problem {
	end := caller.NewEndEvent(o)
	p := newProblem(statusOf(end.Reason), end.Reason, detailOf(end))
	p.Execution = end.Execution
	p.Request = id
	p.RetryAfter = end.RetryAfter
	return p
}

// detailOf returns a sentence on whether the request ran and may be sent again.
func detailOf(e End) string {
	switch e.Execution {
	case state.ExecutionNotRun:
		return "The request was not run: " + string(e.Reason) + ". It may be sent again."
	case state.ExecutionStarted:
		return "The request began and did not complete: " + string(e.Reason) + "."
	default:
		return "Whether the request ran is not known: " + string(e.Reason) + "."
	}
}

// editProblem describes an edit that was not accepted.
func editProblem(r caller.EditResult) *Problem {
	switch r.Status {
	case caller.EditConflict:
		p := newProblem(http.StatusConflict, "", "Another edit came first. Base the edit on the current version.")
		p.Type = problemType + "edit_conflict"
		p.Current = r.Current
		return p
	case caller.EditInvalid:
		p := newProblem(http.StatusUnprocessableEntity, state.ReasonBadRequest, "The document is not valid.")
		p.Faults = r.Faults
		return p
	default:
		p := newProblem(http.StatusServiceUnavailable, state.ReasonStoreUnavailable,
			"Whether the edit was accepted is not known. Repeat it with the same edit_id.")
		p.Execution = state.ExecutionUnknown
		p.RetryAfter = 1
		return p
	}
}

// statusOf maps a reason to an HTTP status.
func statusOf(r state.Reason) int {
	switch r {
	case state.ReasonBadRequest, state.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case state.ReasonUnknownService, state.ReasonUnknownRequest:
		return http.StatusNotFound
	case state.ReasonUnknownCustomer:
		return http.StatusForbidden
	case state.ReasonCustomerLimit, state.ReasonQueueFull:
		return http.StatusTooManyRequests
	case state.ReasonDeadline:
		return http.StatusGatewayTimeout
	case state.ReasonNoReplica, state.ReasonStoreUnavailable, state.ReasonDraining,
		state.ReasonIsolated, state.ReasonRetriesExhausted:
		return http.StatusServiceUnavailable
	case state.ReasonDuplicate, state.ReasonKeyReused, state.ReasonCanceled:
		return http.StatusConflict
	case state.ReasonBackendFailed:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
