package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// outdatedTTL is how long a list entry that its server has contradicted is ignored. A server that
// has restarted under another name leaves the list within three of its heartbeats; an entry that is
// still listed then may be valid again.
const outdatedTTL = 5 * time.Second

// OutdatedNotice announces to the other daemons that a list entry has been contradicted by its
// server: another incarnation runs at its address, or it does not hold these layers.
type OutdatedNotice struct {
	Server state.BackendIncarnation `msgpack:"server"`
	Layers fleet.Range              `msgpack:"layers"`
}

// MarkOutdated records an outdated entry. It returns false if that was known.
func (t *Tracker) MarkOutdated(now time.Time, o OutdatedNotice) bool {
	for old, until := range t.outdated {
		if !now.Before(until) {
			delete(t.outdated, old)
		}
	}
	if _, known := t.outdated[o]; known {
		return false
	}
	t.outdated[o] = now.Add(outdatedTTL)
	return true
}

// IsOutdated reports whether a server's list entry has been contradicted.
func (t *Tracker) IsOutdated(now time.Time, s *fleet.Server) bool {
	until, ok := t.outdated[OutdatedNotice{Server: s.Incarnation(), Layers: s.Layers}]
	return ok && now.Before(until)
}

// EachOutdated calls f for each list entry that is to be ignored.
func (t *Tracker) EachOutdated(now time.Time, f func(OutdatedNotice)) {
	for o, until := range t.outdated {
		if now.Before(until) {
			f(o)
		}
	}
}
