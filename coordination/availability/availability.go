package availability

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Use is how a request uses a server.
type Use uint8

// The values of Use.
const (
	// Direct means that this daemon sends the request to the server.
	Direct Use = iota
	// Relayed means that another server forwards the request to it. A server that wants no relayed
	// requests wants no direct ones either.
	Relayed
)

const (
	// spreadShare is the part of a stated time by which a daemon waits longer at most, so that
	// daemons that were turned away at the same moment do not return at the same moment.
	spreadShare = 0.1
	// maxSpread limits this additional time.
	maxSpread = 500 * time.Millisecond
	// unlistedTTL is how long the statements of a server outlast its entry in the list. While the
	// store is unavailable, entries of live servers may expire and return.
	unlistedTTL = 10 * time.Minute
)

// Tracker holds the statements of the servers of one daemon. Its size and the time of each method
// depend on the servers that have made a statement, not on all servers or requests. It is not safe
// for concurrent use.
type Tracker struct {
	random  *rand.Rand
	servers map[state.BackendIncarnation]*record
}

// record holds the statements of one incarnation of a server.
type record struct {
	until         time.Time // when the server accepts requests again; zero if it has always done so
	directUntil   time.Time // the same for requests that this daemon sends to it
	leaving       bool
	slowStart     slowStart
	unlistedSince time.Time // zero while the server is listed
}

// NewTracker returns an empty tracker.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{random: random, servers: make(map[state.BackendIncarnation]*record)}
}

// RecordRetryAfter records that a server wants no requests of a use for some time. If use is
// Direct, other servers may still forward requests to it. An earlier statement that reaches further
// stays in force.
func (t *Tracker) RecordRetryAfter(now time.Time, server state.BackendIncarnation, use Use, wait time.Duration) {
	r := t.record(server)
	spread := time.Duration(t.random.Float64() * float64(min(time.Duration(spreadShare*float64(wait)), maxSpread)))
	until := now.Add(wait + spread)
	r.directUntil = later(r.directUntil, until)
	if use == Relayed {
		r.until = later(r.until, until)
	}
	r.slowStart.restart(r.directUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordLeaving records that a server is leaving. It returns false if that was known.
func (t *Tracker) RecordLeaving(server state.BackendIncarnation) bool {
	r := t.record(server)
	known := r.leaving
	r.leaving = true
	return !known
}

func (t *Tracker) record(server state.BackendIncarnation) *record {
	r, ok := t.servers[server]
	if !ok {
		r = &record{}
		t.servers[server] = r
	}
	return r
}

// Wanted reports whether a server accepts requests as far as it has stated.
func (t *Tracker) Wanted(now time.Time, server state.BackendIncarnation) bool {
	r, ok := t.servers[server]
	return !ok || r.wanted(now, Direct)
}

// Accepts reports whether a server may be assigned a request now.
func (t *Tracker) Accepts(now time.Time, server state.BackendIncarnation) bool {
	r, ok := t.servers[server]
	return !ok || r.accepts(now, Direct)
}

// AvailableAt returns when a server may be assigned a request again: not before now, and false if
// it is leaving.
func (t *Tracker) AvailableAt(now time.Time, server state.BackendIncarnation, use Use) (time.Time, bool) {
	r, ok := t.servers[server]
	if !ok {
		return now, true
	}
	return later(now, r.waitsUntil(use)), !r.leaving
}

// Leaving reports whether a server has stated that it is leaving.
func (t *Tracker) Leaving(server state.BackendIncarnation) bool {
	r, ok := t.servers[server]
	return ok && r.leaving
}

// EachUnavailable calls f for each server that must not get requests from this daemon now, with
// whether other servers may still forward requests to it.
func (t *Tracker) EachUnavailable(now time.Time, f func(server state.BackendIncarnation, relayed bool)) {
	for server, r := range t.servers {
		if !r.accepts(now, Direct) {
			f(server, r.accepts(now, Relayed))
		}
	}
}

// Prune drops the statements of servers that have not been listed for unlistedTTL.
func (t *Tracker) Prune(now time.Time, listed func(state.BackendIncarnation) bool) {
	for server, r := range t.servers {
		switch {
		case listed(server):
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		case now.Sub(r.unlistedSince) >= unlistedTTL:
			delete(t.servers, server)
		}
	}
}

func (r *record) waitsUntil(use Use) time.Time {
	if use == Relayed {
		return r.until
	}
	return r.directUntil
}

func (r *record) wanted(now time.Time, use Use) bool {
	return !r.leaving && !now.Before(r.waitsUntil(use))
}

// accepts reports whether the server may be assigned a request. Only requests that this daemon sends
// to it count for the slow start.
func (r *record) accepts(now time.Time, use Use) bool {
	return r.wanted(now, use) && (use == Relayed || !r.slowStart.full(now))
}
