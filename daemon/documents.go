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

// documentsPart keeps the service documents in force here.
type documentsPart struct {
	c       *control
	m       *documents.Documents
	inForce map[state.ServiceID]*service.Versioned
	waiting map[uint64]chan<- caller.EditResult
	last    uint64
}

func newDocumentsPart(c *control) *documentsPart {
	cfg := documents.DefaultConfig()
	cfg.PollInterval = c.d.set.Store.DigestInterval.Std()
	cfg.IsolateAfter = c.d.set.IsolationBound.Std()
	return &documentsPart{
		c:       c,
		m:       documents.New(cfg, c.rng, c.d.self, c.now),
		inForce: make(map[state.ServiceID]*service.Versioned),
		waiting: make(map[uint64]chan<- caller.EditResult),
	}
}

func (p *documentsPart) nextTick(time.Time) time.Time { return p.m.NextTick() }
func (p *documentsPart) tick(time.Time)               { p.step(documents.Tick{}) }

func (p *documentsPart) step(ev documents.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		p.carryOut(a)
	}
	fresh := p.m.FreshUntil()
	p.c.d.publish(func(v *view) { v.freshUntil = fresh })
}

func (p *documentsPart) carryOut(a documents.Action) {
	switch a := a.(type) {
	case documents.CallStore:
		p.c.store.do(a.Call, func(res store.Result) { p.step(documents.StoreResult{Result: res}) })
	case documents.Send:
		p.c.d.send(p.c.members.address(a.To.ID), a.Msg)
	case documents.Applied:
		p.adopt(a.Doc)
	case documents.EditAnswered:
		p.answer(a)
	case documents.IsolatedChanged:
		p.isolated(a.Isolated)
	case documents.ReadyChanged:
		p.c.d.publish(func(v *view) { v.ready = true })
	}
}

// adopt puts a document into force. The text was checked before it was
// committed; one that can't be read is a later release's, and is left alone.
func (p *documentsPart) adopt(doc documents.Doc) {
	decoded, faults := service.Decode(doc.Text)
	if len(faults) > 0 {
		p.c.d.log.Emit(telemetry.EventDocumentUnreadable, telemetry.Service(doc.Service),
			telemetry.Version(doc.Version), telemetry.Detail(faults[0].String()))
		return
	}
	v := &service.Versioned{Version: doc.Version, EditID: doc.EditID, Document: decoded}
	was := p.inForce[doc.Service]
	p.inForce[doc.Service] = v
	p.c.d.recorder.Document(doc.Service, doc.Version)
	p.c.d.metrics.Add(telemetry.DocumentsAppliedTotal, 1)
	p.c.d.metrics.SetService(telemetry.DocumentVersion, doc.Service, float64(doc.Version))
	p.c.d.log.Emit(telemetry.EventDocumentApplied, telemetry.Service(doc.Service), telemetry.Version(doc.Version))
	p.c.members.step(membership.SetDigest{Digest: membership.Digest{DocumentsHash: p.m.Digest().Hash}})
	p.c.slots.home(home.DocumentChanged{Document: &v.Document})
	p.c.controllers.documentChanged(was, v)
	p.c.slots.documentChanged(v)
	p.c.limits.documentChanged(&v.Document)
	p.c.d.publish(func(w *view) {
		w.documents = copyWith(w.documents, doc.Service, v)
	})
}

func (p *documentsPart) isolated(on bool) {
	event := telemetry.EventIsolationEnded
	if on {
		event = telemetry.EventIsolationBegan
	}
	p.c.d.log.Emit(event)
	p.c.d.metrics.SetFlag(telemetry.Isolated, on)
	p.c.d.publish(func(v *view) { v.isolated = on })
}

// apply begins one edit; its result comes on answer, which has room for it.
func (p *documentsPart) apply(e caller.Edit, id state.ServiceID, deadline time.Time, answer chan<- caller.EditResult) {
	p.last++
	p.waiting[p.last] = answer
	p.step(documents.SubmitEdit{
		ID: p.last, Service: id, Base: e.Base, EditID: e.EditID, Text: e.Text, Deadline: deadline,
	})
}

var editStatuses = map[documents.EditStatus]caller.EditStatus{
	documents.EditAccepted:    caller.EditAccepted,
	documents.EditConflict:    caller.EditConflict,
	documents.EditUnavailable: caller.EditUnavailable,
	documents.EditUnknown:     caller.EditUnknown,
}

func (p *documentsPart) answer(a documents.EditAnswered) {
	answer, ok := p.waiting[a.ID]
	if !ok {
		return
	}
	delete(p.waiting, a.ID)
	res := caller.EditResult{Status: editStatuses[a.Status], Version: a.Version}
	if a.Status == documents.EditConflict {
		if doc, faults := service.Decode(a.Current.Text); len(faults) == 0 {
			res.Current = &service.Versioned{Version: a.Current.Version, EditID: a.Current.EditID, Document: doc}
		}
	}
	answer <- res
}
