package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// viewOf is what the control goroutine knows, published whole. It is immutable.
type viewOf struct {
	documents map[state.ServiceID]*service.Versioned
	replicas  map[state.ServiceID][]state.Replica
	instances []platform.Instance
	draining  bool
	isolated  bool
}

// replicasOf builds the replicas of a document with fixed chains from the
// addresses of the instance list. Chains with a backend server that is not
// listed, or is leaving, are left out.
func replicasOf(doc *service.Document, byID map[state.InstanceID]platform.Instance) []state.Replica {
	var replicas []state.Replica
	for _, chain := range doc.Placement.Chains {
		r, ok := replicaOf(doc, chain, byID)
		if ok {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

func replicaOf(doc *service.Document, chain service.Chain, byID map[state.InstanceID]platform.Instance) (state.Replica, bool) {
	r := state.Replica{
		ID:      chain.ID,
		Service: doc.Service,
		Slots:   doc.Capacity.SlotsPerReplica,
		Speed:   1,
	}
	if doc.Model != nil {
		r.Model = doc.Model.Name
		r.Version = doc.Model.Version
	}
	for _, s := range chain.Stages {
		inst, ok := byID[state.InstanceID(s.Backend)]
		if !ok {
			return r, false
		}
		r.Leaving = r.Leaving || inst.Leaving
		r.FailureDomain = inst.Domain
		r.Speed = min(r.Speed, doc.KindSpeed(inst.Kind))
		r.Stages = append(r.Stages, state.Stage{
			Backend: s.Backend,
			Address: inst.Address,
			Layers:  state.LayerRange{First: s.First, End: s.End},
		})
	}
	return r, true
}
