package crashes

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// PartsNotice is the message to other daemons that a server ended under fresh runs with parts of
// prompts.
type PartsNotice struct {
	Server state.BackendIncarnation `msgpack:"s"`
	Runs   []PartRun                `msgpack:"r"`
	AgeMS  int64                    `msgpack:"a,omitempty"` // since the server ended, in ms; 0 for just now
}

// Age is the time since the server ended.
func (n PartsNotice) Age() time.Duration { return EndNotice{AgeMS: n.AgeMS}.Age() }

// PartsNotices returns the messages that tell of runs on a server that ended.
func PartsNotices(server state.BackendIncarnation, runs []PartRun) []PartsNotice {
	var out []PartsNotice
	size := maxNoticeContents // of the last notice
	for _, run := range runs {
		n := 1 + len(run.Parts) + len(run.Tried)
		if size+n > maxNoticeContents {
			out, size = append(out, PartsNotice{Server: server}), 0
		}
		last := &out[len(out)-1]
		last.Runs = append(last.Runs, run)
		size += n
	}
	return out
}

// SuspectNotices returns the messages that tell a daemon which knows nothing of the suspected parts.
func (t *Parts) SuspectNotices(now time.Time) []PartsNotice { return t.notices(now, t.suspectRuns) }

// NoticesOf returns the messages that tell of the ends under one part.
func (t *Parts) NoticesOf(now time.Time, part Fingerprint) []PartsNotice {
	return t.notices(now, func(e *partEnd) []PartRun { return e.runsWith(part) })
}

func (t *Parts) notices(now time.Time, runsOf func(*partEnd) []PartRun) []PartsNotice {
	var out []PartsNotice
	for s, e := range t.ends {
		for _, notice := range PartsNotices(s, runsOf(e)) {
			notice.AgeMS = max(now.Sub(e.at), 0).Milliseconds()
			out = append(out, notice)
		}
	}
	return out
}

// suspectRuns returns the runs with suspected parts on a server that ended.
func (t *Parts) suspectRuns(e *partEnd) []PartRun {
	if !t.decided {
		t.decide()
	}
	var out []PartRun
	for part := range t.suspects {
		out = append(out, e.runsWith(part)...)
	}
	return out
}

// runsWith returns the runs with a part.
func (e *partEnd) runsWith(part Fingerprint) []PartRun {
	runs, ok := e.parts[part]
	if !ok {
		return nil
	}
	var out []PartRun
	for _, content := range runs.contents {
		run := PartRun{Content: content, Parts: []Fingerprint{part}, Starting: runs.starting}
		if runs.tried == content {
			run.Tried = run.Parts
		}
		out = append(out, run)
	}
	return out
}

// RecordedPartEnd is the part of a Record for one server that ended under suspected parts.
type RecordedPartEnd struct {
	Server state.BackendID `json:"server"`
	Born   int64           `json:"born,omitempty"` // in Unix ms, see state.BackendIncarnation
	At     time.Duration   `json:"at"`
	Runs   []PartRun       `json:"runs"`
}

// maxRecordedPartEnds bounds the ends of a record: with their runs they take about 8 KB.
const maxRecordedPartEnds = 16

// NeedsRecord reports whether a record has to be written.
func (t *Parts) NeedsRecord() bool {
	if !t.recordDue {
		return false
	}
	n := 0
	for _, e := range t.ends {
		if e.own {
			n += len(t.suspectRuns(e))
		}
	}
	t.recordDue = n != t.recorded
	return t.recordDue
}

// NewRecord returns the ends to be recorded: those that this daemon has seen under suspected parts, the
// newest first. tableNow is the time of the table's clock, or later.
func (t *Parts) NewRecord(now time.Time, tableNow time.Duration) []RecordedPartEnd {
	t.recordDue, t.recorded = false, 0
	var out []RecordedPartEnd
	for s, e := range t.ends {
		runs := t.suspectRuns(e)
		if !e.own || len(runs) == 0 {
			continue
		}
		t.recorded += len(runs)
		out = append(out, RecordedPartEnd{Server: s.ID, Born: s.Born, At: tableNow - now.Sub(e.at), Runs: runs})
	}
	slices.SortFunc(out, func(x, y RecordedPartEnd) int { return cmp.Compare(y.At, x.At) })
	return out[:min(len(out), maxRecordedPartEnds)]
}

// SetUnrecorded makes a new record necessary, because the last one is lost.
func (t *Parts) SetUnrecorded() { t.recordDue, t.recorded = true, 0 }

// Restore applies recorded ends, as Tracker.Restore does.
func (t *Parts) Restore(now time.Time, tableNow time.Duration, ends []RecordedPartEnd, own bool) {
	for _, e := range ends[:min(len(ends), maxRecordedPartEnds)] {
		at := now.Add(-min(max(tableNow-e.At, 0), ImplicationTTL))
		t.Ended(at, state.BackendIncarnation{ID: e.Server, Born: e.Born}, own, e.Runs...)
	}
}
