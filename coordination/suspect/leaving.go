package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// leavingFor is how long a server that leaves, and is not listed so, is avoided. It
	// does not come back, and the list says so once the store can be reached again.
	leavingFor = 10 * time.Second
	// refusalsMost is how many refusals in a row show that a server is leaving: one may
	// be of a hop behind it, or by chance. They are counted over all daemons, since each
	// of many sends too little to one server.
	refusalsMost = 2
	// refusalsApart is the time between two that count: what is sent at once is
	// refused for the same reason.
	refusalsApart = 300 * time.Millisecond
)

// Leaving is a server that refuses requests although it has room for them: it is about
// to end, or gives its layers up. Daemons tell each other.
type LeavingNotice struct {
	Server state.Life `msgpack:"server"`
}

// Refusal is one request that a server refused although it has room for it. Daemons tell
// each other of the first one.
type RefusalNotice struct {
	Address string `msgpack:"address"`
}

// refusals are those of a server in a row.
type refusals struct {
	count int
	last  time.Time
}

// Refused notes that a server refused a request, here or at another daemon.
func (b *Tracker) RecordRefusal(now time.Time, address string) {
	r := &b.record(now, address).refusals
	if r.count == 0 || now.Sub(r.last) >= refusalsApart {
		r.count++
		r.last = now
	}
}

// RefusesAll reports whether a server has refused requests time and again, with no
// answer across it in between.
func (b *Tracker) RefusesRepeatedly(address string) bool {
	r, ok := b.servers[address]
	return ok && r.refusals.count >= refusalsMost
}

// Leaves notes that a server is leaving. It returns false if that was known.
func (b *Tracker) MarkLeaving(now time.Time, l LeavingNotice) bool {
	for old, until := range b.leaving {
		if !now.Before(until) {
			delete(b.leaving, old)
		}
	}
	if _, known := b.leaving[l.Server]; known {
		return false
	}
	b.leaving[l.Server] = now.Add(leavingFor)
	return true
}

// IsLeaving reports whether a server is better not used, since it is leaving.
func (b *Tracker) IsLeaving(now time.Time, server state.Life) bool {
	return now.Before(b.leaving[server])
}

// EachLeaving calls f for each server that is better not used, since it is leaving.
func (b *Tracker) EachLeaving(now time.Time, f func(state.Life)) {
	for server, until := range b.leaving {
		if now.Before(until) {
			f(server)
		}
	}
}
