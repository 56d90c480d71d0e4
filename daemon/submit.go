package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

var _ caller.Daemon = (*Daemon)(nil)

// Addresses implements caller.Daemon.
func (d *Daemon) Addresses(context.Context, caller.AddressQuery) caller.AddressAnswer {
	var urls []string
	for _, i := range d.view().instances {
		if i.Role == platform.RoleEntry && !i.Leaving {
			urls = append(urls, "http://"+i.Address)
		}
	}
	return caller.AddressAnswer{Addresses: urls, Valid: d.set.AddressAnswerValid.Std()}
}

// Submit implements caller.Daemon.
func (d *Daemon) Submit(_ context.Context, s caller.Submission) (caller.Stream, state.Outcome) {
	spec, reason := d.specify(s)
	if reason != "" {
		return nil, d.refuse(reason)
	}
	d.metrics.Accepted(spec.Service, spec.Class)
	r := newRunner(d, spec)
	d.requests.add(r)
	go r.run()
	return newView(r.answer, s.After), nil
}

// refuse builds the refusal of a request that never came as far as a runner.
func (d *Daemon) refuse(reason state.Reason) state.Outcome {
	d.metrics.Refused(reason)
	return state.Conclude(state.NewDispatches(), reason, 0, 0)
}

// specify checks a submission against its service's document.
func (d *Daemon) specify(s caller.Submission) (request.Spec, state.Reason) {
	v := d.view()
	if v.draining {
		return request.Spec{}, state.ReasonDraining
	}
	doc, ok := v.documents[s.Service]
	if !ok {
		return request.Spec{}, state.ReasonUnknownService
	}
	if _, ok := doc.Document.Customer(s.Customer); !ok {
		return request.Spec{}, state.ReasonUnknownCustomer
	}
	class, ok := doc.Document.Class(s.Class)
	if !ok || class.NeverRepeat && s.Key == "" {
		return request.Spec{}, state.ReasonBadRequest
	}
	return d.specOf(s, doc, class), ""
}

func (d *Daemon) specOf(s caller.Submission, doc *service.Versioned, class service.Class) request.Spec {
	deadline := class.Deadline.Std()
	if s.Deadline > 0 {
		deadline = min(deadline, s.Deadline)
	}
	maxTokens := class.MaxTokens
	if s.MaxTokens > 0 {
		maxTokens = min(maxTokens, s.MaxTokens)
	}
	plain := doc.Document.Kind == service.KindPlain
	if plain {
		maxTokens = 1
	}
	return request.Spec{
		ID:           state.RequestID(string(d.set.ID) + "-" + newLife()),
		Service:      s.Service,
		Customer:     s.Customer,
		Class:        s.Class,
		Key:          s.Key,
		Priority:     class.Priority,
		Plain:        plain,
		NeverRepeat:  class.NeverRepeat,
		Prompt:       s.Prompt,
		Adapter:      s.Adapter,
		MaxTokens:    maxTokens,
		Owner:        d.owner,
		FirstTokenBy: time.Now().Add(deadline),
	}
}

// Attach implements caller.Daemon.
func (d *Daemon) Attach(_ context.Context, id state.RequestID, after int) (caller.Stream, state.Outcome) {
	a := d.requests.answer(id)
	if a == nil {
		return nil, state.Unknown{Reason: state.ReasonUnknownRequest}
	}
	d.metrics.Add(telemetry.ReattachedTotal, 1)
	return newView(a, after), nil
}

// Status implements caller.Daemon.
func (d *Daemon) Status(_ context.Context, id state.RequestID) (caller.Status, bool) {
	a := d.requests.answer(id)
	if a == nil {
		return caller.Status{}, false
	}
	return a.status(), true
}

// Cancel implements caller.Daemon.
func (d *Daemon) Cancel(ctx context.Context, id state.RequestID) (caller.Status, bool) {
	if r := d.requests.runner(id); r != nil {
		r.post(request.Cancel{})
	}
	return d.Status(ctx, id)
}
