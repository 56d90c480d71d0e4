package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

var _ caller.Daemon = (*Daemon)(nil)

// Submit implements caller.Daemon.
func (d *Daemon) Submit(ctx context.Context, s caller.Submission) (caller.Stream, state.Outcome) {
	spec, reason := d.buildSpec(s)
	if reason != "" {
		return nil, d.refuse(reason)
	}
	if spec.NeverRepeat {
		if k, ok := d.requests.repeated(spec); ok {
			return d.joinAnswer(k, spec, s.After)
		}
	}
	if refused := d.admit(ctx, s); refused != nil {
		return nil, refused
	}
	d.metrics.Accepted(spec.Service, spec.Class)
	r := newRunner(d, spec, newAnswer(spec.ID))
	d.start(r)
	return newView(r.answer, s.After), nil
}

// start registers a runner as live and runs it.
func (d *Daemon) start(r *runner) {
	d.requests.add(r)
	go r.run()
}

// joinAnswer answers a repeat of a key with the existing answer.
func (d *Daemon) joinAnswer(k keyedAnswer, spec request.Spec, after int) (caller.Stream, state.Outcome) {
	if k.contentDigest != digestContent(spec) {
		return nil, d.refuse(state.ReasonKeyReused)
	}
	d.metrics.Add(telemetry.JoinedRepeatsTotal, 1)
	return newView(k.answer, after), nil
}

// refuse builds the refusal of a request for which no runner was started.
func (d *Daemon) refuse(reason state.Reason) state.Outcome {
	d.metrics.Refused(reason)
	return state.Conclude(state.NewDispatches(), reason, 0, 0)
}

// buildSpec checks a submission against its service's document and builds its
// spec.
func (d *Daemon) buildSpec(s caller.Submission) (request.Spec, state.Reason) {
	v := d.view()
	if reason := v.refusalReason(time.Now()); reason != "" {
		return request.Spec{}, reason
	}
	doc, ok := v.documents[s.Service]
	if !ok {
		return request.Spec{}, state.ReasonUnknownService
	}
	if _, ok := doc.Document.Customer(s.Customer); !ok {
		return request.Spec{}, state.ReasonUnknownCustomer
	}
	class, ok := doc.Document.Class(s.Class)
	if !ok || class.NeverRepeat && s.IdempotencyKey == "" {
		return request.Spec{}, state.ReasonBadRequest
	}
	return d.newSpec(s, doc, class), ""
}

func (d *Daemon) newSpec(s caller.Submission, doc *service.Versioned, class service.Class) request.Spec {
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
		ID:                 state.RequestID(string(d.config.ID) + "-" + randomID()),
		Service:            s.Service,
		Customer:           s.Customer,
		Class:              s.Class,
		Key:                s.IdempotencyKey,
		Priority:           class.Priority,
		Plain:              plain,
		NeverRepeat:        class.NeverRepeat,
		Prompt:             s.Prompt,
		Adapter:            s.Adapter,
		MaxTokens:          maxTokens,
		Owner:              d.ownerNumber,
		FirstTokenDeadline: time.Now().Add(deadline),
	}
}

// digestContent returns a digest of what defines a request's work. It detects a
// key that is reused for other work.
func digestContent(spec request.Spec) string {
	h := xxhash.New()
	for _, part := range []string{string(spec.Class), spec.Adapter, strconv.Itoa(spec.MaxTokens), spec.Prompt} {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(part)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Attach implements caller.Daemon.
func (d *Daemon) Attach(ctx context.Context, id state.RequestID, after int) (caller.Stream, state.Outcome) {
	d.metrics.Add(telemetry.ReattachedTotal, 1)
	if a := d.requests.answer(id); a != nil {
		return newView(a, after), nil
	}
	rec, ok := d.lookup(ctx, id)
	if !ok {
		return nil, state.Unknown{Reason: state.ReasonUnknownRequest}
	}
	a := newAnswer(id)
	if existing := d.requests.attach(a); existing != a {
		return newView(existing, after), nil // another caller attached concurrently
	}
	go d.resume(a, rec)
	return newView(a, after), nil
}

// takeOver continues a request whose owner is gone. A never-repeat request is
// submitted as a repeat of its key, so that its claim row decides.
func (d *Daemon) takeOver(a *answer, rec streams.Record) {
	spec, reason := d.buildSpec(caller.Submission{
		Service: rec.Service, Customer: rec.Customer, Class: rec.Class, IdempotencyKey: rec.Key,
		Prompt: rec.Prompt, Adapter: rec.Adapter, MaxTokens: rec.MaxTokens, Deadline: rec.Deadline,
	})
	if reason != "" {
		a.end(state.Unknown{Reason: reason})
		return
	}
	spec.ID = rec.Request
	if !spec.NeverRepeat {
		spec.Takeover = &request.Takeover{Replica: rec.Replica, Attempt: rec.Attempt, Epoch: rec.Epoch}
	}
	d.start(newRunner(d, spec, a))
}

// Status implements caller.Daemon.
func (d *Daemon) Status(ctx context.Context, id state.RequestID) (caller.Status, bool) {
	if a := d.requests.answer(id); a != nil {
		return a.status(), true
	}
	rec, ok := d.lookup(ctx, id)
	if !ok {
		return caller.Status{}, false
	}
	s := caller.Status{Request: id, Phase: caller.PhaseRunning}
	if rec.Answer != nil {
		s.Phase = caller.PhaseEnded
		s.Tokens = len(rec.Answer.Tokens)
		s.Outcome = rec.Answer.Outcome.State()
	}
	return s, true
}

// Cancel implements caller.Daemon.
func (d *Daemon) Cancel(ctx context.Context, id state.RequestID) (caller.Status, bool) {
	if r := d.requests.runner(id); r != nil {
		r.post(request.Cancel{})
		return d.Status(ctx, id)
	}
	if rec, ok := d.lookup(ctx, id); ok && rec.Answer == nil {
		d.cancelAtOwner(ctx, rec)
	}
	return d.Status(ctx, id)
}

func (d *Daemon) cancelAtOwner(ctx context.Context, rec streams.Record) {
	v := d.view()
	if v.members == nil {
		return
	}
	if info, ok := v.members.Lookup(rec.Owner.ID); ok {
		// If it is unanswered, the status that follows tells the request's
		// phase.
		_, _ = d.node.Call(ctx, info.Meta.PeerAddress, streams.CancelRequest{Request: rec.Request})
	}
}
