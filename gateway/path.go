package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// attemptPath sends the request along a path of engines.
func (r *run) attemptPath(ctx context.Context) (relay.Outcome, Result) {
	want := pathing.Request{Domain: r.g.set().Domain, PromptTokens: r.req.PromptTokens, MaxTokens: r.req.MaxAnswerTokens}
	if on, exhausted := r.relay.Exhausted(); exhausted {
		want.FirstHops = on
	}
	var path fleet.Path
	found := r.hold(ctx, func() (ok bool) {
		if r.view.filling && !r.headed || !r.forgive(time.Now()) {
			return false
		}
		path, ok = r.g.book.choose(time.Now(), r.view, r.service, want, r.avoid, &r.permit)
		return ok
	})
	if !found {
		return r.noServer(admission.Uncovered)
	}
	defer r.g.book.release(path, want.ExpectedTokens())
	if !path.Whole(r.service.Engine.Layers) {
		panic("gateway: a path that does not run each layer once")
	}
	r.at = path[0].Address
	r.logSent(path.String())
	call := r.call(path[0].Server.ID, path[0].Address)
	call.Path = path
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watchFirst(cancel)
	sent := time.Now()
	answer, err := r.g.backends.Send(ctx, call)
	stopTimer(watch)
	if err != nil {
		return r.sendFailed(ctx, err, path[0].Server, path[0].Address), Result{}
	}
	defer func() { _ = answer.Body.Close() }()
	r.g.heardLimit(path[0].Server, answer, sent)
	if !answer.NotRun {
		// A refusal comes at once: taken for an answer that has begun, it would have
		// those that refuse look like the fastest.
		r.g.book.tookFirst(time.Now(), r.service.ID, time.Since(sent))
		r.g.book.began(time.Now(), path, time.Since(sent))
	}
	return r.takeStream(cancel, path, answer)
}

// takeStream gives an engine's answer to the caller.
func (r *run) takeStream(cancel context.CancelFunc, path fleet.Path, answer *backend.Answer) (relay.Outcome, Result) {
	if answer.NotRun {
		culprit := answer.Culprit
		if culprit == "" {
			culprit = path[0].Address
		}
		if answer.Stale {
			r.blame(culprit)
			r.outdated(culprit)
		} else {
			r.refusedBy(path, culprit)
		}
		r.turned.Count++
		r.turned.Last = time.Now()
		drain(answer.Body)
		r.g.log.Emit(telemetry.EventPathRefused, telemetry.Request(r.req.ID), telemetry.Address(culprit), telemetry.Count(answer.Status))
		return relay.NotRun, Result{}
	}
	if answer.Status != http.StatusOK || !answer.Signed {
		return r.takeFailure(path, answer)
	}
	s := newStream(r, path, answer, cancel)
	defer s.close()
	return s.pump()
}

// takeFailure handles an engine's own failure.
func (r *run) takeFailure(path fleet.Path, answer *backend.Answer) (relay.Outcome, Result) {
	body, ok := r.readSigned(path[0].Address, answer)
	if !ok {
		return relay.Broken, Result{}
	}
	if answer.Status >= http.StatusInternalServerError {
		r.blame(path[0].Address)
	} else if !r.headed {
		return 0, r.pass(answer, body)
	}
	r.own = &ownFailure{answer: answer, body: body}
	return relay.Errored, Result{}
}
