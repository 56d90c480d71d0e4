package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// askTimeout is how long a request waits for the owner of a server's permits to answer
	// before it goes elsewhere: some round trips.
	askTimeout = 25 * time.Millisecond
	// wantsMost is how many servers' permits one request asks for, one after the other.
	wantsMost = 4
)

// permitRequest is what one attempt asks of permits.
type permitRequest struct {
	wants  []want     // of the servers that suit it, the best one first
	ask    bool       // an owner is to be asked at once
	stuck  bool       // no server can take the request without a permit
	joined state.Life // the server for whose permit the request waits; zero for none
	before int        // requests that waited for it before
}

// want is a server for which a request has no permit.
type want struct {
	server state.Life
	since  time.Time
}

// elsewhere reports whether a request passes a server over: the owner of its permits has
// answered and gave none, or takes too long.
func (q *permitRequest) elsewhere(now time.Time, server state.Life, p *permits.Limiter) bool {
	i := q.index(server)
	if i < 0 || q.waits() {
		return true
	}
	since := q.wants[i].since
	return now.Sub(since) >= askTimeout || p.AnsweredSince(server, since)
}

// waits reports whether the request waits for a permit.
func (q *permitRequest) waits() bool { return q.joined != state.Life{} }

// full reports whether the request asks for no further server's permits.
func (q *permitRequest) full() bool { return len(q.wants) >= wantsMost }

func (q *permitRequest) index(server state.Life) int {
	return slices.IndexFunc(q.wants, func(w want) bool { return w.server == server })
}

// step is when the request looks again.
func (q *permitRequest) step() time.Duration {
	if len(q.wants) > 0 && !q.waits() {
		return askStep
	}
	return holdStep
}

// needsPermit reports whether no request is to be sent to a server now, and notes that this one
// would have been.
func (b *book) needsPermit(now time.Time, server state.Life, q *permitRequest) bool {
	if !b.permits.Unavailable(now, server) {
		return false
	}
	again := q.index(server) >= 0
	if !again {
		if q.full() {
			return true
		}
		q.wants = append(q.wants, want{server: server, since: now})
	}
	q.ask = b.permits.RecordDemand(now, server, again) || q.ask
	return true
}

// spendPermit takes the permit for a request that is sent to a server, if it names a limit.
func (b *book) spendPermit(now time.Time, server state.Life, q *permitRequest) {
	ok, ask := b.permits.Take(now, server)
	if !ok {
		panic("gateway: a request without the permit that was there")
	}
	q.ask = ask || q.ask
}

// joinPermits has a request that no server can take wait for the permit that is likely to come
// first.
func (b *book) joinPermits(q *permitRequest) {
	if !q.stuck || q.waits() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	least := slices.MinFunc(q.wants, func(x, y want) int {
		return cmp.Compare(b.permits.ExpectedWait(now, x.server), b.permits.ExpectedWait(now, y.server))
	})
	q.joined = least.server
	q.before = b.permits.Enqueue(q.joined)
	q.ask = b.permits.RecordDemand(now, q.joined, true) || q.ask
}

// expectPermit is how long a request that waits takes to get a permit.
func (b *book) expectPermit(q *permitRequest) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.ExpectedWaitBehind(time.Now(), q.joined, q.before)
}

// leavePermits ends an attempt's wait for a permit.
func (g *Gateway) leavePermits(q *permitRequest) {
	if !q.waits() {
		return
	}
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	g.book.permits.Dequeue(q.joined)
}

// permitTooLate reports whether a request that only servers with a limit can take won't get a
// permit while it may wait.
func (r *run) permitTooLate(until time.Time) bool {
	if !r.permit.waits() || r.headed {
		return false
	}
	return admission.RateLimited{PermitWait: r.g.book.expectPermit(&r.permit)}.PermitTooLate(time.Until(until))
}

// refusedLimited is the result of a request for which there was no permit.
func (r *run) refusedLimited() Result {
	r.g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedRefused)
	limited := admission.RateLimited{PermitWait: r.g.book.expectPermit(&r.permit)}
	return Result{Outcome: Refused, Reason: string(relay.ReasonLimited), RetryAfter: limited.RetryAfter()}
}
