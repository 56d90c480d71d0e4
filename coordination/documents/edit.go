package documents

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// edit is one Apply on its way.
type edit struct {
	SubmitEdit
	current  Record // the row as last read
	revision uint64 // its revision
	known    bool   // current and revision are set
	maySent  bool   // a commit of it may have landed or may land
	backoff  time.Duration
	wakeAt   time.Time // zero while a call is under way
}

func (d *Documents) apply(ev SubmitEdit) {
	e := &edit{SubmitEdit: ev}
	d.edits = append(d.edits, e)
	if held := d.services[ev.Service]; held != nil && held.revision != 0 && held.record.Version == ev.Base {
		// What this daemon holds came from the store, so that the read can
		// be spared: where it is old, the commit conflicts. It never answers
		// an edit by itself, since the operator may know a newer version.
		e.current = held.record
		e.revision = held.revision
		e.known = true
	}
	d.proceed(e)
}

// proceed sends the edit's next call, or answers it from the row.
func (d *Documents) proceed(e *edit) {
	e.wakeAt = time.Time{}
	if !e.known {
		d.get(e.Service, e)
		return
	}
	if m, ok := e.current.mark(e.EditID); ok {
		if m.Sum != xxhash.Sum64(e.Text) {
			d.conflict(e) // the edit id came before with another text
			return
		}
		d.answer(e, EditAnswered{Status: EditAccepted, Version: m.Version})
		return
	}
	if e.current.Version != e.Base {
		d.outdated(e)
		return
	}
	txn, err := e.current.next(e.EditID, e.Text).txn(e.Service, e.revision)
	if err != nil {
		d.answer(e, EditAnswered{Status: EditUnavailable})
		return
	}
	d.call(store.Commit{Txn: txn}, pending{kind: callCommit, service: e.Service, edit: e})
}

// outdated answers an edit whose base is not what stands. A commit of it that
// is still under way is conditioned on a revision that has passed, and can't
// land; one that landed left its mark, unless that was pushed out since.
func (d *Documents) outdated(e *edit) {
	if e.maySent && !e.current.remembers(e.Base+1) {
		d.answer(e, EditAnswered{Status: EditUnknown})
		return
	}
	d.conflict(e)
}

func (d *Documents) conflict(e *edit) {
	d.answer(e, EditAnswered{
		Status:  EditConflict,
		Version: e.current.Version,
		Current: e.current.doc(e.Service),
	})
}

func (d *Documents) committed(e *edit, res store.Result) {
	switch res.Status {
	case store.Done:
		rec := e.current.next(e.EditID, e.Text)
		revision := uint64(0)
		if row, ok := res.Row(); ok {
			revision = row.Revision
		}
		d.heardStore()
		d.adopt(e.Service, rec, revision, d.self)
		d.answer(e, EditAnswered{Status: EditAccepted, Version: rec.Version})
	case store.Conflict:
		d.heardStore()
		e.known = false
		d.proceed(e)
	case store.NotSent:
		d.wait(e)
	case store.Unanswered:
		e.maySent = true
		e.known = false
		d.wait(e)
	}
}

// editRead takes the row that an edit asked for.
func (d *Documents) editRead(e *edit, res store.Result) {
	if res.Status != store.Done {
		d.wait(e)
		return
	}
	e.known = true
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
	d.proceed(e)
}

func (d *Documents) wait(e *edit) {
	e.backoff = min(max(2*e.backoff, d.cfg.MinBackoff), d.cfg.MaxBackoff)
	e.wakeAt = d.now.Add(d.jitter(e.backoff))
}

// tickEdits resumes edits whose back-off is over and answers those whose time
// is up.
func (d *Documents) tickEdits() {
	for _, e := range append([]*edit(nil), d.edits...) {
		switch {
		case !d.now.Before(e.Deadline):
			status := EditUnavailable
			if e.maySent || d.committing(e) {
				status = EditUnknown
			}
			d.answer(e, EditAnswered{Status: status})
		case !e.wakeAt.IsZero() && !d.now.Before(e.wakeAt):
			d.proceed(e)
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
			d.out = append(d.out, a)
			return
		}
	}
}
