package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// applyTimeout bounds one edit; the operator repeats it with the same edit ID.
const applyTimeout = 5 * time.Second

// Apply implements caller.Daemon.
func (d *Daemon) Apply(ctx context.Context, e caller.Edit) caller.EditResult {
	doc, faults := service.Decode(e.Text)
	if len(faults) > 0 {
		d.log.Emit(telemetry.EventDocumentRefused, telemetry.Count(len(faults)))
		return caller.EditResult{Status: caller.EditInvalid, Faults: service.Texts(faults)}
	}
	// The canonical text is committed, so that all daemons compare and patch
	// the same bytes.
	e.Text = doc.Encode()
	answer := make(chan caller.EditResult, 1)
	deadline := time.Now().Add(applyTimeout)
	d.control.post(func() { d.control.documents.submitEdit(e, doc.Service, deadline, answer) })
	select {
	case res := <-answer:
		d.logEdit(doc.Service, e, res)
		return res
	case <-ctx.Done():
	case <-d.kill:
	}
	return caller.EditResult{Status: caller.EditUnknown}
}

func (d *Daemon) logEdit(id state.ServiceID, e caller.Edit, res caller.EditResult) {
	event := telemetry.EventDocumentOutcomeUnknown
	switch res.Status {
	case caller.EditAccepted:
		event = telemetry.EventDocumentAccepted
	case caller.EditConflict:
		event = telemetry.EventDocumentConflict
	case caller.EditInvalid, caller.EditUnavailable:
		event = telemetry.EventDocumentRefused
	case caller.EditUnknown:
	}
	d.log.Emit(event, telemetry.Service(id), telemetry.EditID(e.EditID), telemetry.Version(res.Version))
}

// Document implements caller.Daemon.
func (d *Daemon) Document(_ context.Context, id state.ServiceID) (service.Versioned, bool) {
	v, ok := d.view().documents[id]
	if !ok {
		return service.Versioned{}, false
	}
	return *v, true
}

// Documents implements caller.Daemon.
func (d *Daemon) Documents(context.Context) []service.Versioned {
	return lo.Map(lo.Values(d.view().documents), func(v *service.Versioned, _ int) service.Versioned { return *v })
}

// DaemonStatus implements caller.Daemon.
func (d *Daemon) DaemonStatus(context.Context) caller.DaemonStatus {
	v := d.view()
	s := caller.DaemonStatus{
		ID:        d.config.ID,
		Draining:  v.draining || v.members != nil && v.members.Self.Draining,
		Isolated:  v.refusalReason(time.Now()) == state.ReasonIsolated,
		Active:    d.requests.count(),
		Documents: versions(v),
	}
	if v.members == nil {
		return s
	}
	for _, i := range v.members.Members {
		s.Members = append(s.Members, d.memberStatus(i, v))
	}
	return s
}

func versions(v *view) map[state.ServiceID]state.DocumentVersion {
	return lo.MapValues(v.documents, func(d *service.Versioned, _ state.ServiceID) state.DocumentVersion {
		return d.Version
	})
}

// memberStatus describes a member. Document versions are known only for this
// daemon; the others serve their own at BaseURL.
func (d *Daemon) memberStatus(i membership.Info, v *view) caller.MemberStatus {
	m := caller.MemberStatus{
		Member:  i.Member,
		Address: i.Meta.PeerAddress,
		BaseURL: i.Meta.CallerAddress,
		State:   i.State.String(),
	}
	if i.State == membership.Alive && i.Draining {
		m.State = "leaving"
	}
	if i.Member == d.self {
		m.Documents = versions(v)
	}
	return m
}
