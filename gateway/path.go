package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// attemptPath sends the request along a path of engines.
func (r *requestHandler) attemptPath(ctx context.Context) (relay.Outcome, Result) {
	pathReq := r.pathRequest()
	decision := r.newStreamAdmission()
	var path fleet.Path
	found := r.waitFor(ctx, func() (ok bool) {
		if r.view.populating && !r.headSent || !r.mayRetryRejected(time.Now()) {
			return false
		}
		r.search.admission, r.search.avoided = decision, r.avoided
		return r.chooseWithTurns(ctx, func() bool {
			path, ok = r.g.shared.choosePath(time.Now(), r.view, r.service, pathReq, r.excluded, &r.search)
			return ok
		}, func() { r.releasePath(path, pathReq.ExpectedTokens()) })
	})
	if !found {
		return r.notChosenResult(admission.Uncovered)
	}
	defer r.releasePath(path, pathReq.ExpectedTokens())
	defer r.endAssignment(false)
	if !path.Complete(r.service.Engine.Layers) {
		panic("gateway: path does not contain each layer exactly once")
	}
	r.admission = decision
	r.chargeShare(pathReq.ExpectedTokens())
	r.address, r.path = path[0].Address, path
	if !r.verifyPath(ctx) {
		return relay.NotSent, Result{}
	}
	r.logSent(path.String())
	call := r.newCall(path[0].Server, path[0].Address)
	call.Path = path
	r.alternatives = r.newAlternatives(pathReq)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watchFirstEvent(ctx, cancel)
	sent := time.Now()
	r.runStart = sent
	connectTimer := r.watchConnect(ctx, cancel)
	stopWatch := r.watchStop(cancel)
	answer, err := r.g.backends.Send(ctx, call)
	stopTimer(stopWatch)
	stopTimer(connectTimer)
	watch.stop()
	if err != nil {
		return r.handleSendError(ctx, err), Result{}
	}
	defer func() { _ = answer.Body.Close() }()
	r.recordArrival(path[0].Address, sent)
	r.g.observeLimit(path[0].Server, answer, sent)
	r.observeStatements(path[0].Server, blamedServer(path, answer), answer)
	if !answer.NotRun {
		// Refusals are excluded: they arrive at once, and would make the refusing engines
		// look like the fastest ones.
		r.g.shared.recordFirstEvent(time.Now(), r.service.ID, time.Since(sent))
		r.g.shared.recordAnswerStart(time.Now(), path, time.Since(sent))
	}
	return r.handlePathAnswer(cancel, path, answer)
}

// releasePath ends the request's load on a path.
func (r *requestHandler) releasePath(path fleet.Path, tokens float64) {
	r.g.shared.releasePath(path, tokens)
	r.g.waits.released(r.service.ID)
}

// handlePathAnswer delivers an engine's answer to the caller.
func (r *requestHandler) handlePathAnswer(cancel context.CancelFunc, path fleet.Path, answer *backend.Answer) (relay.Outcome, Result) {
	if answer.NotRun {
		culprit := answer.FaultyHop
		if culprit == "" {
			culprit = path[0].Address
		}
		switch {
		case answer.Stale:
			r.recordFailure(culprit)
			r.reportOutdated(culprit)
		case !answer.StatesRetryAfter():
			r.handleRefusal(path, culprit)
		}
		r.rejections.Count++
		r.rejections.Last = time.Now()
		drainBody(answer.Body)
		r.g.log.Emit(telemetry.EventPathRefused, telemetry.Request(r.req.ID), telemetry.Address(culprit), telemetry.Count(answer.Status))
		return relay.NotRun, Result{}
	}
	if answer.Status != http.StatusOK || !answer.Signed {
		return r.handlePathFailure(path, answer)
	}
	s := newStream(r, path, answer, cancel)
	defer s.close()
	return s.forward()
}

// blamedServer returns the server of the path that an answer blames, or the answering one.
func blamedServer(path fleet.Path, answer *backend.Answer) state.BackendIncarnation {
	if hop, ok := hopAt(path, answer.FaultyHop); ok {
		return hop.Server
	}
	return path[0].Server
}

// handlePathFailure handles an error answer of an engine.
func (r *requestHandler) handlePathFailure(path fleet.Path, answer *backend.Answer) (relay.Outcome, Result) {
	body, ok := r.readSigned(path[0].Address, answer)
	if !ok {
		return relay.Broken, Result{}
	}
	if r.isFailure(answer) {
		r.recordFailure(path[0].Address)
	} else if !r.headSent {
		return 0, r.forwardAnswer(answer, body)
	}
	r.keepFailure(answer, body)
	return relay.Errored, Result{}
}
