package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// minAvoid is how long a server is avoided after one failure: a crashed server leaves the list
	// within four heartbeats, and a busy one has capacity again after a few answers.
	minAvoid = 400 * time.Millisecond
	// maxAvoid bounds this time after several failures in a row, so that a dead server costs no
	// more than one probing request every few seconds.
	maxAvoid = 4 * time.Second
	// forgetAfter is when a server without any new observation is dropped.
	forgetAfter = 30 * time.Second
)

// Tracker holds the observations of one daemon. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*record // by address
	// outdated holds list entries that are ignored, with the expiry of each.
	outdated map[OutdatedNotice]time.Time
	// leaving holds servers that refuse requests, with the expiry of each.
	leaving map[state.BackendIncarnation]time.Time
	// paces holds servers that have reported to be slow.
	paces map[state.BackendIncarnation]reportedPace
	// silent holds servers that answer no probes, as notices say.
	silent map[state.BackendIncarnation]silence
}

// record holds the observations of one server.
type record struct {
	lastAlive  time.Time // when it was last shown to be alive
	gaps       RecentMax // recent gaps between such events
	delay      delay
	refusals   refusals
	failures   int       // consecutive
	avoidUntil time.Time // end of the time in which it is avoided
	lastUsed   time.Time
}

// Stream tracks one answer along its path.
type Stream struct {
	path    fleet.Path
	records []*record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*record), outdated: make(map[OutdatedNotice]time.Time), leaving: make(map[state.BackendIncarnation]time.Time), paces: make(map[state.BackendIncarnation]reportedPace), silent: make(map[state.BackendIncarnation]silence)}
}

func (t *Tracker) record(now time.Time, address string) *record {
	r, ok := t.servers[address]
	if !ok {
		r = &record{}
		t.servers[address] = r
	}
	r.lastUsed = now
	return r
}

// RecordFailure records that a server failed a request, and avoids the server for a while.
func (t *Tracker) RecordFailure(now time.Time, address string) {
	r := t.record(now, address)
	r.failures++
	wait := minAvoid
	for i := 1; i < r.failures && wait < maxAvoid; i++ {
		wait *= 2
	}
	r.avoidUntil = now.Add(min(wait, maxAvoid))
}

// RecordAnswer records a complete answer of a server.
func (t *Tracker) RecordAnswer(now time.Time, address string) {
	r := t.record(now, address)
	r.lastAlive = now
	r.failures = 0
	r.avoidUntil = time.Time{}
}

// Forget drops the observations of an address because another server uses it now.
func (t *Tracker) Forget(address string) { delete(t.servers, address) }

// Avoided returns the addresses that should not be used now.
func (t *Tracker) Avoided(now time.Time) map[string]bool {
	var out map[string]bool
	for address, r := range t.servers {
		if now.Before(r.avoidUntil) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[address] = true
		}
		if now.Sub(r.lastUsed) > forgetAfter {
			delete(t.servers, address)
		}
	}
	return out
}

// Each calls f for each address with observations: whether it should be avoided now, and its share
// of the recent times to the first event of answers, in ms.
func (t *Tracker) Each(now time.Time, f func(address string, avoided bool, delayMS float64)) {
	for address, r := range t.servers {
		if now.Sub(r.lastUsed) > forgetAfter {
			delete(t.servers, address)
			continue
		}
		f(address, now.Before(r.avoidUntil), r.delay.decayed(now))
	}
}

// TrackStream starts to track an answer along a path.
func (t *Tracker) TrackStream(now time.Time, path fleet.Path) *Stream {
	s := &Stream{path: path, records: make([]*record, len(path))}
	for i, h := range path {
		s.records[i] = t.record(now, h.Address)
	}
	return s
}

// RecordProgress records an event of a stream, which shows that every server of its path works.
func (t *Tracker) RecordProgress(now time.Time, s *Stream) {
	for _, r := range s.records {
		r.markAlive(now)
	}
}

// markAlive records that a server works.
func (r *record) markAlive(now time.Time) {
	if gap := now.Sub(r.lastAlive); !r.lastAlive.IsZero() && gap < recentMaxMemory {
		r.gaps.Add(now, gap)
	}
	r.lastAlive = now
	r.lastUsed = now
}

// Suspicion is a hop that has been silent for longer than allowed.
type Suspicion struct {
	Hop     fleet.Hop
	Allowed time.Duration
}

// Suspicions returns the hops of a stream that nothing has shown to be alive for longer than usual:
// twice their longest recent gap, but no less than least and no more than most.
func (t *Tracker) Suspicions(now time.Time, s *Stream, least, most time.Duration) []Suspicion {
	var out []Suspicion
	for i, r := range s.records {
		allowed := min(max(2*r.gaps.Value(now), least), most)
		if now.Sub(r.lastAlive) >= allowed {
			out = append(out, Suspicion{Hop: s.path[i], Allowed: allowed})
		}
	}
	return out
}

// SilentHops returns the hops that Suspicions returns.
func (t *Tracker) SilentHops(now time.Time, s *Stream, least, most time.Duration) []fleet.Hop {
	var out []fleet.Hop
	for _, suspicion := range t.Suspicions(now, s, least, most) {
		out = append(out, suspicion.Hop)
	}
	return out
}

// SinceAlive returns the time since a server was last shown to be alive, or false if it never was.
func (t *Tracker) SinceAlive(now time.Time, address string) (time.Duration, bool) {
	r, ok := t.servers[address]
	if !ok || r.lastAlive.IsZero() {
		return 0, false
	}
	return now.Sub(r.lastAlive), true
}
