package documents

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// edit is a SubmitEdit in progress.
type edit struct {
	SubmitEdit
	current          Record // the row as last read
	revision         uint64 // revision of that row
	rowRead          bool   // current and revision are set
	mayHaveCommitted bool   // a commit of it may have taken effect or may still do so
	backoff          time.Duration
	retryAt          time.Time // zero while a call is in flight
}

func (d *Documents) submitEdit(ev SubmitEdit) {
	e := &edit{SubmitEdit: ev}
	d.edits = append(d.edits, e)
	if entry := d.active[ev.Service]; entry != nil && entry.revision != 0 && entry.record.Version == ev.Base {
		// The active document came from the store, so no read is needed: if it is outdated, the
		// commit conflicts. It is never used to answer an edit by itself, because the operator
		// may know a newer version.
		e.current = entry.record
		e.revision = entry.revision
		e.rowRead = true
	}
	d.advance(e)
}

// advance sends the edit's next call, or answers it from the row.
func (d *Documents) advance(e *edit) {
	e.retryAt = time.Time{}
	if !e.rowRead {
		d.readRow(e.Service, e)
		return
	}
	if m, ok := e.current.acceptedEdit(e.EditID); ok {
		if m.Sum != xxhash.Sum64(e.Text) {
			d.answerConflict(e) // the edit ID was used before with a different text
			return
		}
		d.answer(e, EditAnswered{Status: EditAccepted, Version: m.Version})
		return
	}
	if e.current.Version != e.Base {
		d.answerOutdated(e)
		return
	}
	txn, err := e.current.next(e.EditID, e.Text).txn(e.Service, e.revision)
	if err != nil {
		d.answer(e, EditAnswered{Status: EditUnavailable})
		return
	}
	d.callStore(store.Commit{Txn: txn}, pendingCall{kind: callCommit, service: e.Service, edit: e})
}

// answerOutdated answers an edit whose base is not the current version. A commit of it that is
// still in flight is conditional on an earlier revision, and can't take effect; one that took
// effect is recorded in the row, unless later edits displaced the record.
func (d *Documents) answerOutdated(e *edit) {
	if e.mayHaveCommitted && !e.current.remembers(e.Base+1) {
		d.answer(e, EditAnswered{Status: EditUnknown})
		return
	}
	d.answerConflict(e)
}

func (d *Documents) answerConflict(e *edit) {
	d.answer(e, EditAnswered{
		Status:  EditConflict,
		Version: e.current.Version,
		Current: e.current.doc(e.Service),
	})
}

func (d *Documents) handleCommit(e *edit, res store.Result) {
	switch res.Status {
	case store.Done:
		rec := e.current.next(e.EditID, e.Text)
		revision := uint64(0)
		if row, ok := res.Row(); ok {
			revision = row.Revision
		}
		d.storeResponded()
		d.applyRecord(e.Service, rec, revision, d.self)
		d.answer(e, EditAnswered{Status: EditAccepted, Version: rec.Version})
	case store.Conflict:
		d.storeResponded()
		e.rowRead = false
		d.advance(e)
	case store.NotSent:
		d.scheduleRetry(e)
	case store.Unanswered:
		e.mayHaveCommitted = true
		e.rowRead = false
		d.scheduleRetry(e)
	}
}

// handleEditRead handles the row that an edit requested.
func (d *Documents) handleEditRead(e *edit, res store.Result) {
	if res.Status != store.Done {
		d.scheduleRetry(e)
		return
	}
	e.rowRead = true
	e.current = Record{}
	e.revision = 0
	if row, ok := res.Row(); ok {
		rec, err := DecodeRow(row)
		if err != nil {
			d.answer(e, EditAnswered{Status: EditUnavailable})
			return
		}
		e.current = rec
		e.revision = row.Revision
	}
	d.advance(e)
}

func (d *Documents) scheduleRetry(e *edit) {
	e.backoff = min(max(2*e.backoff, d.cfg.MinBackoff), d.cfg.MaxBackoff)
	e.retryAt = d.now.Add(d.jitter(e.backoff))
}

// tickEdits resumes edits whose backoff has elapsed and answers those that are past their
// deadline.
func (d *Documents) tickEdits() {
	for _, e := range append([]*edit(nil), d.edits...) {
		switch {
		case !d.now.Before(e.Deadline):
			status := EditUnavailable
			if e.mayHaveCommitted || d.committing(e) {
				status = EditUnknown
			}
			d.answer(e, EditAnswered{Status: status})
		case !e.retryAt.IsZero() && !d.now.Before(e.retryAt):
			d.advance(e)
		}
	}
}

func (d *Documents) committing(e *edit) bool {
	for _, p := range d.calls {
		if p.edit == e && p.kind == callCommit {
			return true
		}
	}
	return false
}

func (d *Documents) answer(e *edit, a EditAnswered) {
	for i, o := range d.edits {
		if o == e {
			d.edits = append(d.edits[:i], d.edits[i+1:]...)
			a.ID = e.ID
			d.actions = append(d.actions, a)
			return
		}
	}
}
