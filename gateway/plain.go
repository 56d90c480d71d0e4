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
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// holdBody is how much of an answer is held back until it is whole, so that one
// that breaks off can be replaced: plain answers are some KB.
const holdBody = 256 << 10

// attemptPlain sends the request to one plain server.
func (r *run) attemptPlain(ctx context.Context) (relay.Outcome, Result) {
	var server fleet.Server
	found := r.hold(ctx, func() (ok bool) {
		server, ok = r.g.book.pick(time.Now(), r.view, r.service.ID, r.g.set().Domain, r.avoid, &r.permit)
		return ok
	})
	if !found {
		return r.noServer(admission.Busy)
	}
	defer r.g.book.releaseServer(server.Life())
	r.at = server.Address
	r.logSent(string(server.ID))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stopTimer(r.watchFirst(cancel))
	sent := time.Now()
	answer, err := r.g.backends.Send(ctx, r.call(server.ID, server.Address))
	if err != nil {
		return r.sendFailed(ctx, err, server.Life(), server.Address), Result{}
	}
	defer func() { _ = answer.Body.Close() }()
	r.g.heardLimit(server.Life(), answer, sent)
	r.g.book.tookFirst(time.Now(), r.service.ID, time.Since(sent))
	return r.takePlain(server.Address, answer)
}

// takePlain gives a plain server's answer to the caller.
func (r *run) takePlain(address string, answer *backend.Answer) (relay.Outcome, Result) {
	if answer.NotRun {
		r.avoidFrom(address)
		if answer.Stale {
			r.outdated(address)
		}
		drain(answer.Body)
		return relay.NotRun, Result{}
	}
	body, ok := r.readSigned(address, answer)
	if !ok {
		return relay.Broken, Result{}
	}
	if answer.Status >= http.StatusInternalServerError {
		r.avoidFrom(address)
		r.own = &ownFailure{answer: answer, body: body}
		return relay.Errored, Result{}
	}
	r.g.book.answered(time.Now(), address)
	r.cleared()
	return 0, r.pass(answer, body)
}

// readSigned reads an answer's body, the first part of it where it is long. It blames
// the server and returns false where that breaks off, or where nobody signed it.
func (r *run) readSigned(address string, answer *backend.Answer) ([]byte, bool) {
	if !unsigned(answer) {
		body, err := io.ReadAll(io.LimitReader(answer.Body, holdBody))
		if err == nil {
			return body, true
		}
	}
	r.blame(address)
	return nil, false
}

// unsigned reports whether an answer claims success without the server's
// signature; a caller must not take it for the server's.
func unsigned(a *backend.Answer) bool {
	return a.Status < http.StatusMultipleChoices && !a.Signed
}

// ownFailure is a failure that a server answered with, for the case that no other
// server does better.
type ownFailure struct {
	answer *backend.Answer
	body   []byte
}

// pass gives an answer to the caller: what was held of it, and then the rest.
func (r *run) pass(answer *backend.Answer, held []byte) Result {
	r.headed = true
	r.reply.WriteHeader(answer.Status, answer.Header)
	if err := r.reply.Write(held); err != nil {
		return Result{Outcome: CallerLeft, Reason: "caller_left"}
	}
	if len(held) < holdBody {
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
		if errors.Is(err, io.EOF) {
			return Result{Outcome: Answered}
		}
		if err != nil {
			return r.failed(relay.ReasonBrokenAgain)
		}
	}
}

// maxDrained bounds what is read of an answer that nobody wants, to keep its
// connection.
const maxDrained = 4 << 10

// drain reads the rest of a short answer.
func drain(body io.Reader) {
	// An answer that is longer or broken costs its connection, no more.
	_, _ = io.CopyN(io.Discard, body, maxDrained)
}
