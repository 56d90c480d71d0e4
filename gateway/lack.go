package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// askPatience is how long a request waits for the owner of a server's permits to answer before
// it goes elsewhere: some round trips.
const askPatience = 25 * time.Millisecond

// lack is one attempt's want of a permit for the server that suits it best.
type lack struct {
	server state.Life // zero for none
	since  time.Time
	ask    bool // the owner is to be asked at once
	stuck  bool // no other server can take the request
	joined bool // the request waits for a permit
	before int  // requests that waited before it
}

// elsewhere reports whether a request goes to another server: the owner has answered and gave
// nothing, or takes too long.
func (l *lack) elsewhere(now time.Time, p *permits.Permits) bool {
	return l.joined || now.Sub(l.since) >= askPatience || p.Answered(l.server, l.since)
}

// step is when the request looks again.
func (l *lack) step() time.Duration {
	if l.server != (state.Life{}) && !l.joined {
		return askStep
	}
	return holdStep
}

// lacks reports whether no request is to be sent to a server now, and notes that this one would
// have been.
func (b *book) lacks(now time.Time, server state.Life, l *lack) bool {
	if !b.permits.Lacks(now, server) {
		return false
	}
	again := l.server == server
	if !again && !l.joined {
		l.server, l.since = server, now
	}
	l.ask = b.permits.Want(now, server, again) || l.ask
	return true
}

// spendPermit takes the permit for a request that is sent to a server, if it names a limit.
func (b *book) spendPermit(now time.Time, server state.Life, l *lack) {
	ok, ask := b.permits.Take(now, server)
	if !ok {
		panic("gateway: a request without the permit that was there")
	}
	l.ask = ask || l.ask
}

// joinPermits has a request wait for a permit that no other server can take.
func (b *book) joinPermits(l *lack) {
	if !l.stuck || l.joined {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l.joined, l.before = true, b.permits.Join(l.server)
	l.ask = b.permits.Want(time.Now(), l.server, true) || l.ask
}

// expectPermit is how long a request takes to get a permit; false where that is not known.
func (b *book) expectPermit(l *lack) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.Expect(time.Now(), l.server, l.before)
}

// leavePermits ends an attempt's wait for a permit.
func (g *Gateway) leavePermits(l *lack) {
	if !l.joined {
		return
	}
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	g.book.permits.Leave(l.server)
}

// hopeless reports whether a request that only servers with a limit can take won't get a permit
// while it may wait.
func (r *run) hopeless(until time.Time) bool {
	if !r.lack.joined || r.headed {
		return false
	}
	permit, known := r.g.book.expectPermit(&r.lack)
	return known && admission.Limited{Permit: permit}.Hopeless(time.Until(until))
}

// reasonLimited refuses requests that only servers with a limit could take.
const reasonLimited = "server_limit"

// refusedLimited is the result of a request for which there was no permit.
func (r *run) refusedLimited() Result {
	r.g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedRefused)
	permit, _ := r.g.book.expectPermit(&r.lack)
	return Result{Outcome: Refused, Reason: reasonLimited, RetryAfter: admission.Limited{Permit: permit}.RetryAfter()}
}
