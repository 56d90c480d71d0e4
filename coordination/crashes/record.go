package crashes

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxRecorded bounds the contents of a record: with the servers that ended under them it takes 4 KB.
const maxRecorded = 64

// Record is what a daemon keeps in a table of the contents that ended servers as they began to run
// there, for the processes after it. Times are readings of the table's clock.
type Record struct {
	Ends  []RecordedEnd     `json:"ends"`
	Parts []RecordedPartEnd `json:"parts,omitempty"`
}

// RecordedEnd is the end of one server under fresh runs of some contents.
type RecordedEnd struct {
	Server   state.BackendID `json:"server"`
	Born     int64           `json:"born,omitempty"` // in Unix ms, see state.BackendIncarnation
	At       time.Duration   `json:"at"`
	Contents []Fingerprint   `json:"contents"`
}

// Keep includes a content in this daemon's records.
func (t *Tracker) Keep(fp Fingerprint) {
	if c, ok := t.contents[fp]; ok && c.freshCount() > 0 {
		c.kept, t.unrecorded = true, true
	}
}

// SetUnrecorded makes a new record necessary, because the last one is lost.
func (t *Tracker) SetUnrecorded() {
	t.unrecorded = t.unrecorded || len(t.keptContents(time.Time{})) > 0
}

// NeedsRecord reports whether a record has to be written.
func (t *Tracker) NeedsRecord() bool { return t.unrecorded }

// NewRecord returns the record to be written. tableNow is the time of the table's clock, or later.
func (t *Tracker) NewRecord(now time.Time, tableNow time.Duration) Record {
	t.unrecorded = false
	contents := make(map[state.BackendIncarnation][]Fingerprint)
	for _, fp := range t.keptContents(now) {
		for s, phase := range t.contents[fp].ends {
			if phase.IsFresh() {
				contents[s] = append(contents[s], fp)
			}
		}
	}
	var r Record
	for s, fps := range contents {
		if e, ok := t.ends[s]; ok {
			r.Ends = append(r.Ends, RecordedEnd{Server: s.ID, Born: s.Born, At: tableNow - now.Sub(e.at), Contents: fps})
		}
	}
	return r
}

// keptContents returns the contents for a record: those with the most fresh runs, the newest first.
func (t *Tracker) keptContents(now time.Time) []Fingerprint {
	var out []Fingerprint
	for fp, c := range t.contents {
		if c.kept && c.freshCount() > 0 && now.Sub(c.at) < ImplicationTTL {
			out = append(out, fp)
		}
	}
	slices.SortFunc(out, func(x, y Fingerprint) int {
		cx, cy := t.contents[x], t.contents[y]
		return cmp.Or(cmp.Compare(cy.freshCount(), cx.freshCount()), cy.at.Compare(cx.at), cmp.Compare(x, y))
	})
	return out[:min(len(out), maxRecorded)]
}

// Restore applies a record that was written before the time tableNow of the table's clock. own is set
// if it is a former record of this daemon, which is to be kept.
func (t *Tracker) Restore(now time.Time, tableNow time.Duration, r Record, own bool) {
	for _, e := range r.Ends {
		at := now.Add(-min(max(tableNow-e.At, 0), ImplicationTTL))
		for _, fp := range e.Contents[:min(len(e.Contents), maxRecorded)] {
			t.Implicate(at, state.BackendIncarnation{ID: e.Server, Born: e.Born}, Run{Content: fp, Phase: Fresh})
			if c, ok := t.contents[fp]; ok && own {
				c.kept = true
			}
		}
	}
}
