package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// avoidFirst is how long a server is avoided after one failure: a crashed
	// server leaves the list within four heartbeats, a busy one has room again
	// within some answers' time.
	avoidFirst = 400 * time.Millisecond
	// avoidMost bounds the time after several failures in a row; a probe with one
	// request each few seconds is all that a dead server costs.
	avoidMost = 4 * time.Second
	// forgetAfter is when a server that nothing was heard of is dropped.
	forgetAfter = 30 * time.Second
)

// Book is what one daemon knows. It is not safe for use by several goroutines.
type Tracker struct {
	servers map[string]*record // by address
	// outdated are entries that are not gone by, and until when.
	outdated map[OutdatedNotice]time.Time
	// leaving are servers that refuse requests, and until when that counts.
	leaving map[state.Life]time.Time
}

// record is what is known of one server.
type record struct {
	alive    time.Time // when it was last shown alive
	quiet    RecentMax // times in which nothing showed it alive
	delay    delay
	refusals refusals
	failures int       // in a row
	avoid    time.Time // until when
	touched  time.Time
}

// Stream follows one answer along its path.
type Stream struct {
	path    fleet.Path
	records []*record
}

// NewBook returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*record), outdated: make(map[OutdatedNotice]time.Time), leaving: make(map[state.Life]time.Time)}
}

func (b *Tracker) record(now time.Time, address string) *record {
	r, ok := b.servers[address]
	if !ok {
		r = &record{}
		b.servers[address] = r
	}
	r.touched = now
	return r
}

// Failed notes that a server failed a request, and has it avoided.
func (b *Tracker) RecordFailure(now time.Time, address string) {
	r := b.record(now, address)
	r.failures++
	wait := avoidFirst
	for i := 1; i < r.failures && wait < avoidMost; i++ {
		wait *= 2
	}
	r.avoid = now.Add(min(wait, avoidMost))
}

// Answered notes a whole answer of a server.
func (b *Tracker) RecordAnswer(now time.Time, address string) {
	r := b.record(now, address)
	r.alive = now
	r.failures = 0
	r.avoid = time.Time{}
}

// Forget drops what is known of the server at an address: another one is there now.
func (b *Tracker) Forget(address string) { delete(b.servers, address) }

// Avoided returns the addresses that are better not used now.
func (b *Tracker) Avoided(now time.Time) map[string]bool {
	var out map[string]bool
	for address, r := range b.servers {
		if now.Before(r.avoid) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[address] = true
		}
		if now.Sub(r.touched) > forgetAfter {
			delete(b.servers, address)
		}
	}
	return out
}

// Each calls f for each address of which something is known: whether it is better not used
// now, and its part of what answers took to begin of late, in ms.
func (b *Tracker) Each(now time.Time, f func(address string, avoided bool, delayMS float64)) {
	for address, r := range b.servers {
		if now.Sub(r.touched) > forgetAfter {
			delete(b.servers, address)
			continue
		}
		f(address, now.Before(r.avoid), r.delay.fade(now))
	}
}

// Follow begins to follow an answer along a path.
func (b *Tracker) TrackStream(now time.Time, path fleet.Path) *Stream {
	s := &Stream{path: path, records: make([]*record, len(path))}
	for i, h := range path {
		s.records[i] = b.record(now, h.Address)
	}
	return s
}

// Progress notes that an event came: every server of the path works.
func (b *Tracker) RecordProgress(now time.Time, s *Stream) {
	for _, r := range s.records {
		r.show(now)
	}
}

// show notes that a server works.
func (r *record) show(now time.Time) {
	if gap := now.Sub(r.alive); !r.alive.IsZero() && gap < usualMemory {
		r.quiet.Add(now, gap)
	}
	r.alive = now
	r.touched = now
}

// Silent returns the hops of a stream that nothing has shown alive for longer than
// is usual for them: twice their longest quiet time of late, but no less than least
// and no more than most.
func (b *Tracker) SilentHops(now time.Time, s *Stream, least, most time.Duration) []fleet.Hop {
	var out []fleet.Hop
	for i, r := range s.records {
		if now.Sub(r.alive) >= min(max(2*r.quiet.Value(now), least), most) {
			out = append(out, s.path[i])
		}
	}
	return out
}
