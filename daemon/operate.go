package daemon

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Apply implements caller.Daemon.
func (d *Daemon) Apply(ctx context.Context, e caller.Edit) caller.EditResult {
	doc, faults := service.Decode(e.Text)
	if len(faults) > 0 {
		return caller.EditResult{Status: caller.EditInvalid, Faults: lo.Map(faults, func(f service.Fault, _ int) string { return f.String() })}
	}
	v := service.Versioned{Version: e.Base + 1, EditID: e.EditID, Document: doc}
	value, err := json.Marshal(v)
	if err != nil {
		return caller.EditResult{Status: caller.EditInvalid, Faults: []string{err.Error()}}
	}
	key := string(doc.Service)
	_, err = d.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Table: documentsTable, Key: key, Revision: uint64(e.Base)}},
		Writes:     []platform.Write{{Table: documentsTable, Key: key, Value: value}},
	})
	switch {
	case err == nil:
		return caller.EditResult{Status: caller.EditAccepted, Version: v.Version}
	case errors.Is(err, platform.ErrConflict):
		current, _ := d.Document(ctx, doc.Service)
		return caller.EditResult{Status: caller.EditConflict, Version: current.Version, Current: &current}
	}
	return caller.EditResult{Status: caller.EditUnknown}
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
	active, _ := d.requests.active()
	return caller.DaemonStatus{
		ID:       d.set.ID,
		Draining: v.draining,
		Isolated: v.isolated,
		Active:   active,
		Documents: lo.MapValues(v.documents, func(v *service.Versioned, _ state.ServiceID) state.DocumentVersion {
			return v.Version
		}),
	}
}

// Drain implements caller.Daemon.
func (d *Daemon) Drain(ctx context.Context) {
	d.drainOnce.Do(func() {
		close(d.drain)
		d.refresh(ctx)
	})
}
