package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// replicas builds the replicas of a document from the addresses of the instance
// list: its fixed chains, or those that the service's controller has published.
// Chains with a backend server that is not listed are left out.
func (p *instancesPart) replicas(doc *service.Document) []state.Replica {
	if isAuto(doc) {
		return p.published(doc, p.c.controllers.table(doc.Service))
	}
	var replicas []state.Replica
	for _, chain := range doc.Placement.Chains {
		r, ok := p.replica(doc, chain)
		if ok {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// fixedID names a chain of a document site-wide.
func fixedID(id state.ServiceID, chain state.ReplicaID) state.ReplicaID {
	return state.ReplicaID(string(id) + "/" + string(chain))
}

func (p *instancesPart) replica(doc *service.Document, chain service.Chain) (state.Replica, bool) {
	r := state.Replica{
		ID:      fixedID(doc.Service, chain.ID),
		Service: doc.Service,
		Slots:   doc.Capacity.SlotsPerReplica,
		Speed:   1,
	}
	if doc.Model != nil {
		r.Model = doc.Model.Name
		r.Version = doc.Model.Version
	}
	for _, s := range chain.Stages {
		inst, ok := p.byID[state.InstanceID(s.Backend)]
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

// published builds the replicas of a table.
func (p *instancesPart) published(doc *service.Document, t controller.ReplicaTable) []state.Replica {
	var replicas []state.Replica
	for _, r := range t.Replicas {
		if replica, ok := p.placed(doc, r); ok {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

func (p *instancesPart) placed(doc *service.Document, pub controller.Replica) (state.Replica, bool) {
	r := state.Replica{
		ID:      pub.Chain.ID,
		Service: doc.Service,
		Slots:   doc.Capacity.SlotsPerReplica,
		Speed:   1,
		Leaving: pub.Leaving,
	}
	for _, s := range pub.Chain.Stages {
		inst, ok := p.byID[state.InstanceID(s.Backend)]
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
