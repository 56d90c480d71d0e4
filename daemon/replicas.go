package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// replicas builds the replicas of a document from the addresses in the instance
// list: its fixed chains, or those that the service's controller has published.
// Chains with a backend server that is not listed are omitted.
func (it *instancesTracker) replicas(doc *service.Document) []state.Replica {
	if isAuto(doc) {
		return it.tableReplicas(doc, it.c.controllers.table(doc.Service))
	}
	var replicas []state.Replica
	for _, chain := range doc.Placement.Chains {
		r, ok := it.fixedReplica(doc, chain)
		if ok {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// fixedReplicaID returns the site-wide ID of a document's chain.
func fixedReplicaID(id state.ServiceID, chain state.ReplicaID) state.ReplicaID {
	return state.ReplicaID(string(id) + "/" + string(chain))
}

func (it *instancesTracker) fixedReplica(doc *service.Document, chain service.Chain) (state.Replica, bool) {
	r := state.Replica{
		ID:      fixedReplicaID(doc.Service, chain.ID),
		Service: doc.Service,
		Slots:   doc.Capacity.SlotsPerReplica,
		Speed:   1,
	}
	if doc.Model != nil {
		r.Model = doc.Model.Name
		r.Version = doc.Model.Version
	}
	for _, s := range chain.Stages {
		inst, ok := it.byID[state.InstanceID(s.Backend)]
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

// tableReplicas builds the replicas of a published table.
func (it *instancesTracker) tableReplicas(doc *service.Document, t controller.ReplicaTable) []state.Replica {
	var replicas []state.Replica
	for _, r := range t.Replicas {
		if replica, ok := it.tableReplica(doc, r); ok {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

func (it *instancesTracker) tableReplica(doc *service.Document, pub controller.Replica) (state.Replica, bool) {
	r := state.Replica{
		ID:      pub.Chain.ID,
		Service: doc.Service,
		Slots:   doc.Capacity.SlotsPerReplica,
		Speed:   1,
		Leaving: pub.Leaving,
	}
	for _, s := range pub.Chain.Stages {
		inst, ok := it.byID[state.InstanceID(s.Backend)]
		if !ok {
			return r, false
		}
		r.Model, r.Version = s.Assignment.Model, s.Assignment.Version
		r.Leaving = r.Leaving || inst.Leaving
		r.FailureDomain = inst.Domain
		r.Speed = min(r.Speed, doc.KindSpeed(inst.Kind))
		r.Stages = append(r.Stages, state.Stage{Backend: s.Backend, Address: inst.Address, Layers: s.Assignment.Layers})
	}
	return r, true
}
