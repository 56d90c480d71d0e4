package crashes

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// WithholdTime is how long a run that is unlikely to have ended its server is kept back. By then a
	// run that was starting there is known, if there was one.
	WithholdTime = 500 * time.Millisecond
	// unlikelyBurst and unlikelyRate are the unlikely runs that all daemons together tell all others at
	// once, and per second: as many as gossip carries beside everything else. A daemon has its share.
	unlikelyBurst = 32
	unlikelyRate  = 4
)

// Audience says which daemons are told of a run on a server that ended.
type Audience uint8

// The values of Audience.
const (
	// Nobody is told of a run that does not count any longer.
	Nobody Audience = iota
	// All daemons are told.
	All
	// Owner is the daemon that owns the content: it counts the ends of the content, and tells all
	// daemons once the content is refused.
	Owner
	// Undecided means that it is decided after WithholdTime.
	Undecided
)

// Teller decides whom a daemon tells at once of runs on servers that ended. Hundreds of runs on most
// daemons of a site end with one engine, more than gossip carries; few of them were starting, and one of
// these has most likely ended it. It is not safe for concurrent use.
type Teller struct {
	spent float64 // of this daemon's share of unlikelyBurst
	at    time.Time
}

// Audience returns All or Undecided for a run on a server that has ended now. likely is set if no
// other run is a better explanation of the end, and daemons is the number of daemons of the site.
func (t *Teller) Audience(now time.Time, daemons int, likely bool) Audience {
	if likely {
		return All
	}
	share := 1 / float64(max(daemons, 1))
	t.spent = max(t.spent-max(now.Sub(t.at).Seconds(), 0)*unlikelyRate*share, 0)
	t.at = now
	if t.spent+1 > unlikelyBurst*share {
		return Undecided
	}
	t.spent++
	return All
}

// Audience returns who is to be told of a run that was kept back for WithholdTime.
func (t *Tracker) Audience(server state.BackendIncarnation, fp Fingerprint) Audience {
	c, ok := t.contents[fp]
	if !ok {
		return Nobody
	}
	phase, counts := c.ends[server]
	switch {
	case !counts:
		return Nobody
	case t.isExplained(server, phase):
		return Owner
	default:
		return All
	}
}

// isExplained reports whether another run was starting on a server that ended, and the given one was
// not. Such runs are known to few daemons.
func (t *Tracker) isExplained(server state.BackendIncarnation, phase Phase) bool {
	e, ok := t.ends[server]
	return ok && e.starting && phase != Starting
}

// OwnerNotices returns the messages that tell the owner of a content of its ends, and of a run that
// explains them better.
func (t *Tracker) OwnerNotices(now time.Time, fp Fingerprint) []EndNotice {
	c, ok := t.contents[fp]
	if !ok {
		return nil
	}
	runs := make(map[state.BackendIncarnation][]Run, len(c.ends))
	for s, phase := range c.ends {
		runs[s] = []Run{{Content: fp, Phase: phase}}
		if t.isExplained(s, phase) {
			runs[s] = append(runs[s], Run{Content: t.ends[s].startedBy, Phase: Starting})
		}
	}
	return t.noticesOfRuns(now, runs)
}

// NewlyBlocked returns the messages that tell all daemons of a content which the owner finds to be
// refused, once.
func (t *Tracker) NewlyBlocked(now time.Time, fp Fingerprint) []EndNotice {
	c, ok := t.contents[fp]
	if !ok || c.toldBlocked || !t.Judge(now, fp).Blocked {
		return nil
	}
	c.toldBlocked = true
	return t.NoticesOf(now, fp)
}

// Audience returns who is to be told of a run with parts that was kept back for WithholdTime. Where
// another run was starting its parts are not to blame, and nobody is.
func (t *Parts) Audience(server state.BackendIncarnation) Audience {
	if e, ok := t.ends[server]; !ok || e.starting {
		return Nobody
	}
	return All
}
