package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// slowConnect is how long a connection to a server may take before something is wrong with
// the server or the path to it: a round trip takes 1 to 40 ms.
const slowConnect = 150 * time.Millisecond

// watchConnect checks whether this daemon is cut off if the call of the current attempt has no
// connection after slowConnect, and cancels the call once it turns out to be, also by the check
// of another request. ctx is that of the call. The caller stops the timer and ends ctx once the
// call has ended.
func (r *requestHandler) watchConnect(ctx context.Context, cancel context.CancelFunc) *time.Timer {
	r.connected.Store(false)
	svc, server, address := r.service.ID, r.path[0].Server, r.address
	return time.AfterFunc(slowConnect, func() {
		if r.connected.Load() {
			return
		}
		r.g.log.Emit(telemetry.EventConnectSlow, telemetry.Request(r.req.ID), telemetry.Service(svc),
			telemetry.Backend(server.ID), telemetry.Address(address))
		r.g.reach.connectFailed(svc, address)
		select {
		case <-r.g.reach.whenCutOff(svc):
		case <-ctx.Done():
		}
		if !r.connected.Load() {
			cancel()
		}
	})
}

// admit is called when the connection for the current attempt is ready. It reports whether the
// request may be sent to the server.
func (r *requestHandler) admit(server state.BackendIncarnation, address string, reused bool) bool {
	r.connected.Store(true)
	r.heldBack = false
	if !reused {
		r.g.reach.connected(r.service.ID)
	}
	now := time.Now()
	if r.callerLeft() || !r.g.shared.isWanted(now, server) || !r.mayRunNow(now) {
		return false
	}
	if allowed, _ := r.stopAllows(now); !allowed {
		return false
	}
	r.markSent()
	r.markSentTo(address)
	r.timeAnswer(now)
	return true
}

// mayGoElsewhere reports whether the caller may have the request, or the rest of its answer, from
// another daemon.
func (r *requestHandler) mayGoElsewhere() bool {
	return !r.headSent || r.route.Repeat == fleet.Resumable
}

// cutOffResult is the result of a request that other daemons can serve and this one can't.
func (r *requestHandler) cutOffResult() Result {
	r.g.reach.countRefused()
	if r.retrier.NeverRan() && !r.headSent {
		return refusedResult(relay.ReasonCutOff, admission.CutOff)
	}
	return r.failedResult(relay.ReasonCutOff)
}
