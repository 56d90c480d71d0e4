package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// maxHeldBody is how many bytes of an answer are held back until it is complete, so that an
// answer that breaks off can be replaced. Plain answers have a few KB.
const maxHeldBody = 256 << 10

// attemptPlain sends the request to one plain server.
func (r *requestHandler) attemptPlain(ctx context.Context) (relay.Outcome, Result) {
	var server fleet.Server
	found := r.waitFor(ctx, func() (ok bool) {
		return r.chooseWithTurns(ctx, func() bool {
			server, ok = r.g.shared.pickServer(time.Now(), r.view, r.service.ID, r.g.currentSettings().Domain, r.excluded, r.plainSearch())
			return ok
		}, func() { r.releaseServer(server.Incarnation()) })
	})
	if !found {
		return r.notChosenResult(admission.Busy)
	}
	defer r.releaseServer(server.Incarnation())
	defer r.endAssignment(false)
	r.address = server.Address
	r.path = fleet.Path{{Server: server.Incarnation(), Address: server.Address}}
	if !r.verifyServer() {
		return relay.NotSent, Result{}
	}
	r.logSent(string(server.ID))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stopTimer(r.watchConnect(ctx, cancel))
	defer stopTimer(r.watchStop(cancel))
	sent := time.Now()
	r.runStart = sent
	defer stopTimer(r.watchLateAnswer(ctx, cancel))
	answer, err := r.g.backends.Send(ctx, r.newCall(server.Incarnation(), server.Address))
	if err != nil {
		return r.handleSendError(ctx, err), Result{}
	}
	defer func() { _ = answer.Body.Close() }()
	r.recordArrival(server.Address, sent)
	r.g.observeLimit(server.Incarnation(), answer, sent)
	r.observeStatements(server.Incarnation(), server.Incarnation(), answer)
	r.g.shared.recordFirstEvent(time.Now(), r.service.ID, time.Since(sent))
	return r.handlePlainAnswer(server.Address, answer)
}

// releaseServer ends the request's load on a plain server.
func (r *requestHandler) releaseServer(server state.BackendIncarnation) {
	r.g.shared.releaseServer(server)
	r.g.waits.released(r.service.ID)
}

// handlePlainAnswer delivers a plain server's answer to the caller.
func (r *requestHandler) handlePlainAnswer(address string, answer *backend.Answer) (relay.Outcome, Result) {
	if answer.NotRun {
		if !answer.StatesRetryAfter() {
			r.exclude(address)
		}
		if answer.Stale {
			r.reportOutdated(address)
		}
		if !answer.StatesRetryAfter() && !answer.Stale {
			r.serverFailed(answer.Status, relay.NotRun)
		}
		drainBody(answer.Body)
		return relay.NotRun, Result{}
	}
	body, ok := r.readSigned(address, answer)
	if !ok {
		return relay.Broken, Result{}
	}
	if r.isFailure(answer) {
		r.exclude(address)
		r.serverFailed(answer.Status, relay.Errored)
		r.keepFailure(answer, body)
		return relay.Errored, Result{}
	}
	r.serverAnswered()
	result := r.forwardAnswer(answer, body)
	if result.Outcome == Answered {
		r.clearImplication()
	}
	return 0, result
}

// readSigned reads an answer's body, up to maxHeldBody. If the body breaks off or the
// answer is unsigned, it records a failure of the server and returns false.
func (r *requestHandler) readSigned(address string, answer *backend.Answer) ([]byte, bool) {
	if !isUnsigned(answer) {
		body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeldBody))
		if err == nil && (len(body) == maxHeldBody || r.probeUnframed(answer) != probeDead) {
			return body, true
		}
		r.handleBrokenCall(brokenInBody)
	}
	r.recordFailure(address)
	return nil, false
}

// isUnsigned reports whether an answer claims success without the server's signature. Such
// an answer must not be delivered as the server's.
func isUnsigned(a *backend.Answer) bool {
	return a.Status < http.StatusMultipleChoices && !a.Signed
}

// forwardAnswer delivers an answer to the caller: the part that was held back, then the
// rest.
func (r *requestHandler) forwardAnswer(answer *backend.Answer, held []byte) Result {
	r.headSent = true
	r.reply.WriteHeader(answer.Status, answer.Header)
	if err := r.reply.Write(held); err != nil {
		return Result{Outcome: CallerLeft, Reason: "caller_left"}
	}
	if len(held) < maxHeldBody {
		return Result{Outcome: Answered}
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if werr := r.reply.Write(buf[:n]); werr != nil {
				return Result{Outcome: CallerLeft, Reason: "caller_left"}
			}
		}
		if errors.Is(err, io.EOF) && r.probeUnframed(answer) != probeDead {
			return Result{Outcome: Answered}
		}
		if err != nil {
			r.recordFailure(r.address)
			r.handleBrokenCall(brokenInBody)
			return r.failedResult(relay.ReasonBrokenAgain)
		}
	}
}

// maxDrained limits how much of an unused answer is read to keep its connection.
const maxDrained = 4 << 10

// drainBody reads the rest of a short answer.
func drainBody(body io.Reader) {
	// If the answer is longer or broken, only its connection is lost.
	_, _ = io.CopyN(io.Discard, body, maxDrained)
}
