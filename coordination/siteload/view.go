package siteload

import "time"

const (
	// totalsLife is how long totals are used.
	totalsLife = 4 * Interval
	// minIncluded is the share of the live daemons of the engines' failure domain of which totals must
	// include as many reports to be used. Daemons of other domains report only while they use it.
	minIncluded = 0.7
)

// View holds the totals that a daemon has received, with what it had reported itself.
type View struct {
	parts map[Part]Known
}

// Known are the totals of one part.
type Known struct {
	Totals
	// Own is what this daemon had reported, which the totals include.
	Own Loads
	// At is when the report was sent.
	At time.Time
}

// NewView returns a view without totals.
func NewView() *View { return &View{parts: make(map[Part]Known)} }

// Apply records the answer to a report that was sent at a time. An answer to an earlier report than
// the last one is ignored.
func (v *View) Apply(sent time.Time, own Loads, t Totals) {
	if old, ok := v.parts[t.Part]; ok && sent.Before(old.At) {
		return
	}
	v.parts[t.Part] = Known{Totals: t, Own: own, At: sent}
}

// Prune drops totals that have expired.
func (v *View) Prune(now time.Time) {
	for p, k := range v.parts {
		if now.Sub(k.At) > totalsLife {
			delete(v.parts, p)
		}
	}
}

// Of returns the totals of a part with a number of live daemons in its failure domain; false if there
// are none that may be used.
func (v *View) Of(now time.Time, p Part, live int) (Known, bool) {
	k, ok := v.parts[p]
	if !ok {
		return Known{}, false
	}
	if now.Sub(k.At) > totalsLife {
		delete(v.parts, p)
		return Known{}, false
	}
	return k, float64(k.Daemons) >= minIncluded*float64(live)
}
