package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// documentsComponent holds the active service documents of this daemon.
type documentsComponent struct {
	c       *control
	machine *documents.Documents
	active  map[state.ServiceID]*service.Versioned
	waiting map[uint64]chan<- caller.EditResult
	lastID  uint64
}

func newDocumentsComponent(c *control) *documentsComponent {
	cfg := documents.DefaultConfig()
	cfg.PollInterval = c.d.config.Store.DigestInterval.Std()
	cfg.IsolateAfter = c.d.config.IsolationBound.Std()
	return &documentsComponent{
		c:       c,
		machine: documents.New(cfg, c.rng, c.d.self, c.now),
		active:  make(map[state.ServiceID]*service.Versioned),
		waiting: make(map[uint64]chan<- caller.EditResult),
	}
}

func (dc *documentsComponent) nextTick(time.Time) time.Time { return dc.machine.NextTick() }
func (dc *documentsComponent) tick(time.Time)               { dc.step(documents.Tick{}) }

func (dc *documentsComponent) step(ev documents.Event) {
	for _, a := range dc.machine.Step(dc.c.now, ev) {
		dc.carryOut(a)
	}
	fresh := dc.machine.FreshUntil()
	dc.c.d.publish(func(v *view) { v.freshUntil = fresh })
}

func (dc *documentsComponent) carryOut(a documents.Action) {
	switch a := a.(type) {
	case documents.CallStore:
		dc.c.store.do(a.Call, func(res store.Result) { dc.step(documents.StoreResult{Result: res}) })
	case documents.Send:
		dc.c.d.send(dc.c.members.address(a.To.ID), a.Msg)
	case documents.Applied:
		dc.applyDocument(a.Doc)
	case documents.EditAnswered:
		dc.answerEdit(a)
	case documents.IsolatedChanged:
		dc.setIsolated(a.Isolated)
	case documents.ReadyChanged:
		dc.c.d.publish(func(v *view) { v.ready = true })
	}
}

// applyDocument makes a document active. The text was checked before it was
// committed; one that can't be decoded was written by a later release and is
// ignored.
func (dc *documentsComponent) applyDocument(doc documents.Doc) {
	decoded, faults := service.Decode(doc.Text)
	if len(faults) > 0 {
		dc.c.d.log.Emit(telemetry.EventDocumentUnreadable, telemetry.Service(doc.Service),
			telemetry.Version(doc.Version), telemetry.Detail(faults[0].String()))
		return
	}
	v := &service.Versioned{Version: doc.Version, EditID: doc.EditID, Document: decoded}
	prev := dc.active[doc.Service]
	dc.active[doc.Service] = v
	dc.c.d.recorder.Document(doc.Service, doc.Version)
	dc.c.d.metrics.Add(telemetry.DocumentsAppliedTotal, 1)
	dc.c.d.metrics.SetService(telemetry.DocumentVersion, doc.Service, float64(doc.Version))
	dc.c.d.log.Emit(telemetry.EventDocumentApplied, telemetry.Service(doc.Service), telemetry.Version(doc.Version))
	dc.c.members.step(membership.SetDigest{Digest: membership.Digest{DocumentsHash: dc.machine.Digest().Hash}})
	dc.c.slots.stepHomes(home.DocumentChanged{Document: &v.Document})
	dc.c.controllers.documentChanged(prev, v)
	dc.c.slots.documentChanged(v)
	dc.c.limits.documentChanged(&v.Document)
	dc.c.d.publish(func(w *view) {
		w.documents = copyWith(w.documents, doc.Service, v)
	})
}

func (dc *documentsComponent) setIsolated(on bool) {
	event := telemetry.EventIsolationEnded
	if on {
		event = telemetry.EventIsolationBegan
	}
	dc.c.d.log.Emit(event)
	dc.c.d.metrics.SetFlag(telemetry.Isolated, on)
	dc.c.d.publish(func(v *view) { v.isolated = on })
}

// submitEdit starts one edit. Its result is sent on answer, which must be
// buffered.
func (dc *documentsComponent) submitEdit(e caller.Edit, id state.ServiceID, deadline time.Time, answer chan<- caller.EditResult) {
	dc.lastID++
	dc.waiting[dc.lastID] = answer
	dc.step(documents.SubmitEdit{
		ID: dc.lastID, Service: id, Base: e.Base, EditID: e.EditID, Text: e.Text, Deadline: deadline,
	})
}

var editStatuses = map[documents.EditStatus]caller.EditStatus{
	documents.EditAccepted:    caller.EditAccepted,
	documents.EditConflict:    caller.EditConflict,
	documents.EditUnavailable: caller.EditUnavailable,
	documents.EditUnknown:     caller.EditUnknown,
}

func (dc *documentsComponent) answerEdit(a documents.EditAnswered) {
	answer, ok := dc.waiting[a.ID]
	if !ok {
		return
	}
	delete(dc.waiting, a.ID)
	res := caller.EditResult{Status: editStatuses[a.Status], Version: a.Version}
	if a.Status == documents.EditConflict {
		if doc, faults := service.Decode(a.Current.Text); len(faults) == 0 {
			res.Current = &service.Versioned{Version: a.Current.Version, EditID: a.Current.EditID, Document: doc}
		}
	}
	answer <- res
}
