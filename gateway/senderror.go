package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// handleSendError returns the outcome of an attempt whose call to a server failed. A call
// that was canceled by this daemon or by its caller does not count against the server.
func (r *requestHandler) handleSendError(ctx context.Context, err error) relay.Outcome {
	server, address := r.path[0].Server, r.path[0].Address
	outcome := relay.Broken
	if errors.Is(err, backend.ErrNotSent) {
		outcome = relay.NotSent
	}
	switch {
	case outcome == relay.Broken:
		r.recordUnanswered(address)
	case errors.Is(err, backend.ErrRefused):
		r.g.shared.settleLateCalls(time.Now(), address, r.runStart)
	}
	if ctx.Err() != nil {
		// The last server that may run the request can still answer it: a later one of its path may have been
		// silent, or it answers again.
		if !r.isLastAttempt(address) {
			r.exclude(address)
		}
		return outcome
	}
	if errors.Is(err, backend.ErrWithdrawn) {
		if !r.heldBack {
			r.logWithdrawn(server)
		}
		return outcome
	}
	r.recordFailure(address)
	if isConnectFailure(ctx, err) {
		r.g.reach.connectFailed(r.service.ID, address)
	}
	if outcome == relay.Broken {
		r.handleBrokenCall(brokenBeforeHeader)
	}
	return outcome
}

// recordFailure excludes a server for the rest of this request, and reports its failure so
// that other requests avoid it for a while.
func (r *requestHandler) recordFailure(address string) {
	r.exclude(address)
	r.g.shared.recordFailure(time.Now(), address)
}

func (r *requestHandler) exclude(address string) {
	if r.excluded == nil {
		r.excluded = make(map[string]bool)
	}
	r.excluded[address] = true
}
