package daemon

import (
	"context"
	"encoding/json"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const documentsTable = "documents"

// refresh reads the instance list and the documents and publishes a new view.
// What can't be read stays as it was.
func (d *Daemon) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.set.Store.Timeout.Std())
	defer cancel()
	next := *d.view()
	select {
	case <-d.drain:
		next.draining = true
	default:
	}
	if list, err := d.instances.List(ctx); err == nil {
		next.instances = list
	} else {
		d.log.Emit(telemetry.EventInstanceListUnavailable, telemetry.Cause(err))
	}
	if rows, err := d.table.Scan(ctx, documentsTable, ""); err == nil {
		next.documents = decodeDocuments(rows)
	} else {
		d.log.Emit(telemetry.EventStoreUnavailable, telemetry.Cause(err))
	}
	byID := lo.KeyBy(next.instances, func(i platform.Instance) state.InstanceID { return i.ID })
	next.replicas = lo.MapValues(next.documents, func(v *service.Versioned, _ state.ServiceID) []state.Replica {
		return replicasOf(&v.Document, byID)
	})
	d.current.Store(&next)
}

func decodeDocuments(rows []platform.Row) map[state.ServiceID]*service.Versioned {
	docs := make(map[state.ServiceID]*service.Versioned, len(rows))
	for _, row := range rows {
		var v service.Versioned
		if json.Unmarshal(row.Value, &v) == nil {
			docs[v.Document.Service] = &v
		}
	}
	return docs
}
