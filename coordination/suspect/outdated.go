package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// outdatedFor is how long an entry that a server has contradicted is not gone by. A
// server that has started again under another name leaves the list within three of
// its heartbeats; whatever is still listed then may be true again.
const outdatedFor = 5 * time.Second

// Outdated is an entry of the list that its server has contradicted: another life is
// at its address, or it does not hold these layers. Daemons tell each other.
type OutdatedNotice struct {
	Server state.Life  `msgpack:"server"`
	Layers fleet.Range `msgpack:"layers"`
}

// Contradicted notes such an entry. It returns false if that was known.
func (b *Tracker) MarkOutdated(now time.Time, o OutdatedNotice) bool {
	for old, until := range b.outdated {
		if !now.Before(until) {
			delete(b.outdated, old)
		}
	}
	if _, known := b.outdated[o]; known {
		return false
	}
	b.outdated[o] = now.Add(outdatedFor)
	return true
}

// Outdated reports whether a server's entry, as it is listed, has been contradicted.
func (b *Tracker) IsOutdated(now time.Time, s *fleet.Server) bool {
	until, ok := b.outdated[OutdatedNotice{Server: s.Life(), Layers: s.Layers}]
	return ok && now.Before(until)
}

// EachOutdated calls f for each entry that is not to be gone by.
func (b *Tracker) EachOutdated(now time.Time, f func(OutdatedNotice)) {
	for o, until := range b.outdated {
		if now.Before(until) {
			f(o)
		}
	}
}
