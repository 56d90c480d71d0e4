package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// replicas builds the replicas of a document with fixed chains from the
// addresses of the instance list. Chains with a backend server that is not
// listed are left out.
func (p *instancesPart) replicas(doc *service.Document) []state.Replica {
	var replicas []state.Replica
	for _, chain := range doc.Placement.Chains {
		r, ok := p.replica(doc, chain)
		if ok {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

func (p *instancesPart) replica(doc *service.Document, chain service.Chain) (state.Replica, bool) {
	r := state.Replica{
		ID:      state.ReplicaID(string(doc.Service) + "/" + string(chain.ID)),
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
