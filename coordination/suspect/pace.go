package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// slowPace is the reported pace from which a server counts as slow.
	slowPace = 1.5
	// paceTTL is how long a reported pace is used: a slow server shows again that it is slow within
	// this time, since its streams stall.
	paceTTL = 3 * time.Second
	// paceChange is the ratio between two paces of a server from which the later one is announced.
	paceChange = 1.5
)

// PaceNotice announces to the other daemons how slow a server reports to be.
type PaceNotice struct {
	Server state.BackendIncarnation `msgpack:"server"`
	// Pace is the duration of its work relative to the usual one of its kind; 1 for a server that is
	// not slow any more.
	Pace float64 `msgpack:"pace"`
}

// reportedPace is a pace with the time of its report. That of a server that is not slow any more is kept as
// well, so that an older notice does not make it slow again.
type reportedPace struct {
	pace float64
	at   time.Time
}

func (p reportedPace) slow(now time.Time) bool {
	return p.pace >= slowPace && now.Before(p.at.Add(paceTTL))
}

// RecordPace records the pace that a server reported at a time. It reports whether other daemons need to know it: the server
// has become slow, is slow still when that was about to be forgotten, or is no longer slow.
func (t *Tracker) RecordPace(now time.Time, n PaceNotice) (changed bool) {
	old := t.paces[n.Server]
	wasSlow := old.slow(now)
	if now.Before(old.at) || n.Pace < slowPace && !wasSlow {
		return false
	}
	changed = !wasSlow || n.Pace > paceChange*old.pace || old.pace > paceChange*n.Pace || now.Sub(old.at) > paceTTL/2
	if changed {
		t.paces[n.Server] = reportedPace{pace: n.Pace, at: now}
	}
	return changed
}

// EachSlow calls f for each server that has reported to be slow.
func (t *Tracker) EachSlow(now time.Time, f func(server state.BackendIncarnation, pace float64)) {
	for server, p := range t.paces {
		if now.Sub(p.at) >= paceTTL {
			delete(t.paces, server)
			continue
		}
		if p.slow(now) {
			f(server, p.pace)
		}
	}
}
