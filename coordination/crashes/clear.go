package crashes

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Clear drops the implications of a content because a complete answer to it was received here. It
// returns the number of servers that they name.
func (t *Tracker) Clear(at time.Time, fp Fingerprint) int {
	t.answered.set(fp, at)
	return t.ClearedElsewhere(at, fp)
}

// ClearedElsewhere is Clear for an answer that another daemon received.
func (t *Tracker) ClearedElsewhere(at time.Time, fp Fingerprint) int {
	c, ok := t.contents[fp]
	if !ok {
		return 0
	}
	if at.After(c.clearedAt) {
		c.clearedAt = at
	}
	if len(c.ends) == 0 {
		return 0
	}
	n := len(c.ends)
	c.toldBlocked = false
	t.unrecorded = t.unrecorded || c.kept && n >= soleThreshold
	t.countRepeated(c, -1)
	t.unlink(fp, c)
	c.ends = make(map[state.BackendIncarnation]Phase)
	return n
}

// unlink removes a content from the ends that name it.
func (t *Tracker) unlink(fp Fingerprint, c *content) {
	for s := range c.ends {
		if e, ok := t.ends[s]; ok {
			delete(e.contents, fp)
		}
	}
}

// addStale adds a content to those that other daemons are to be told of as cleared if it was answered here
// since the end that they count.
func (t *Tracker) addStale(at time.Time, fp Fingerprint, c *content) {
	if len(c.ends) == 0 && !at.After(t.answered.get(fp)) && len(t.stale) < maxNoticeContents && !slices.Contains(t.stale, fp) {
		t.stale = append(t.stale, fp)
	}
}

// TakeStale returns the contents that other daemons are to be told of as cleared. A content of which an
// end since its answer is known by now is left out: the notice would clear that end as well.
func (t *Tracker) TakeStale() []Fingerprint {
	out := slices.DeleteFunc(t.stale, func(fp Fingerprint) bool {
		c, ok := t.contents[fp]
		return ok && len(c.ends) > 0
	})
	t.stale = nil
	return out
}
