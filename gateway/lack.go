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
	// askPatience is how long a request waits for the owner of a server's permits to answer
	// before it goes elsewhere: some round trips.
	askPatience = 25 * time.Millisecond
	// wantsMost is how many servers' permits one request asks for, one after the other.
	wantsMost = 4
)

// lack is one attempt's want of a permit.
type lack struct {
	wants  []want     // of the servers that suit it, the best one first
	ask    bool       // an owner is to be asked at once
	stuck  bool       // no server can take the request without a permit
	joined state.Life // the server for whose permit the request waits; zero for none
	before int        // requests that waited for it before
}

// want is a server that lacks a permit for a request.
type want struct {
	server state.Life
	since  time.Time
}

// elsewhere reports whether a request passes a server over: the owner of its permits has
// answered and gave none, or takes too long.
func (l *lack) elsewhere(now time.Time, server state.Life, p *permits.Permits) bool {
	i := l.index(server)
	if i < 0 || l.waits() {
		return true
	}
	since := l.wants[i].since
	return now.Sub(since) >= askPatience || p.Answered(server, since)
}

// waits reports whether the request waits for a permit.
func (l *lack) waits() bool { return l.joined != state.Life{} }

// full reports whether the request asks for no further server's permits.
func (l *lack) full() bool { return len(l.wants) >= wantsMost }

func (l *lack) index(server state.Life) int {
	return slices.IndexFunc(l.wants, func(w want) bool { return w.server == server })
}

// step is when the request looks again.
func (l *lack) step() time.Duration {
	if len(l.wants) > 0 && !l.waits() {
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
	again := l.index(server) >= 0
	if !again {
		if l.full() {
			return true
		}
		l.wants = append(l.wants, want{server: server, since: now})
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

// joinPermits has a request that no server can take wait for the permit that is likely to come
// first.
func (b *book) joinPermits(l *lack) {
	if !l.stuck || l.waits() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	least := slices.MinFunc(l.wants, func(x, y want) int {
		return cmp.Compare(b.permits.Expect(now, x.server), b.permits.Expect(now, y.server))
	})
	l.joined = least.server
	l.before = b.permits.Join(l.joined)
	l.ask = b.permits.Want(now, l.joined, true) || l.ask
}

// expectPermit is how long a request that waits takes to get a permit.
func (b *book) expectPermit(l *lack) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.ExpectAfter(time.Now(), l.joined, l.before)
}

// leavePermits ends an attempt's wait for a permit.
func (g *Gateway) leavePermits(l *lack) {
	if !l.waits() {
		return
	}
	g.book.mu.Lock()
	defer g.book.mu.Unlock()
	g.book.permits.Leave(l.joined)
}

// hopeless reports whether a request that only servers with a limit can take won't get a permit
// while it may wait.
func (r *run) hopeless(until time.Time) bool {
	if !r.lack.waits() || r.headed {
		return false
	}
	return admission.Limited{Permit: r.g.book.expectPermit(&r.lack)}.Hopeless(time.Until(until))
}

// refusedLimited is the result of a request for which there was no permit.
func (r *run) refusedLimited() Result {
	r.g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedRefused)
	limited := admission.Limited{Permit: r.g.book.expectPermit(&r.lack)}
	return Result{Outcome: Refused, Reason: string(relay.ReasonLimited), RetryAfter: limited.RetryAfter()}
}
