package placement

import (
	"cmp"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Plan lays out an empty site.
func Plan(in Input) Layout {
	s := newSite(in)
	for i := range in.Servers {
		s.release(&in.Servers[i])
	}
	s.sortFree()
	l := Layout{Missing: make(map[state.ServiceID]int)}
	s.fill(&l)
	return l
}

// fill forms chains until every service has its replicas or finds no servers.
// The service with the smallest share of its replicas goes first, so that a
// shortage is shared.
func (s *site) fill(l *Layout) {
	have := make(map[state.ServiceID]int)
	for _, c := range l.Chains {
		have[c.Service]++
	}
	stuck := make(map[state.ServiceID]bool)
	for {
		svc := s.neediest(have, stuck)
		if svc == nil {
			break
		}
		if !s.form(l, svc) {
			stuck[svc.ID] = true
			continue
		}
		have[svc.ID]++
	}
	for _, svc := range s.order {
		if n := svc.Replicas - have[svc.ID]; n > 0 {
			l.Missing[svc.ID] = n
		}
	}
}

func (s *site) neediest(have map[state.ServiceID]int, stuck map[state.ServiceID]bool) *Service {
	var best *Service
	for _, svc := range s.order {
		if stuck[svc.ID] || have[svc.ID] >= svc.Replicas {
			continue
		}
		if best == nil || have[svc.ID]*best.Replicas < have[best.ID]*svc.Replicas {
			best = svc
		}
	}
	return best
}

// form makes one more chain. Servers of one kind in one failure domain come
// first, then mixed kinds of one domain, then several domains of one region. No
// chain crosses regions.
func (s *site) form(l *Layout, svc *Service) bool {
	doms := s.byNeed(svc)
	for _, d := range doms {
		if group := s.uniform(svc, d.name); group != nil {
			return s.build(l, svc, group)
		}
	}
	for _, d := range doms {
		if group := s.mixed(svc, s.inDomain(svc, d.name)); group != nil {
			return s.build(l, svc, group)
		}
	}
	tried := make(map[state.Region]bool)
	for _, d := range doms {
		if tried[d.region] {
			continue
		}
		tried[d.region] = true
		if group := s.mixed(svc, s.inRegion(svc, d.region)); group != nil {
			return s.build(l, svc, group)
		}
	}
	return false
}

// byNeed orders the domains by how few chains of the service they hold, so that
// the loss of one takes the smallest part of it.
func (s *site) byNeed(svc *Service) []domain {
	out := slices.Clone(s.domains)
	slices.SortStableFunc(out, func(a, b domain) int {
		return cmp.Compare(s.chains[domainKey{svc.ID, a.name}], s.chains[domainKey{svc.ID, b.name}])
	})
	return out
}

// uniform picks the fewest servers of one kind that hold the whole model: of the
// kinds that can, the one with the smallest bottleneck.
func (s *site) uniform(svc *Service, d state.FailureDomain) []*Server {
	var best []*Server
	var bestTime float64
	transfer := s.links(d, d)
	for _, k := range svc.Kinds {
		if k.Speed <= 0 || k.MemoryLayers <= 0 {
			continue
		}
		need := (svc.Layers + k.MemoryLayers - 1) / k.MemoryLayers
		pool := s.free[poolKey{d, k.Name}]
		if len(pool) < need {
			continue
		}
		perStage := (svc.Layers + need - 1) / need
		t := float64(perStage)/k.Speed + transfer
		if best == nil || t < bestTime {
			best, bestTime = pool[len(pool)-need:], t
		}
	}
	return slices.Clone(best)
}

func (s *site) inDomain(svc *Service, d state.FailureDomain) []*Server {
	var out []*Server
	for _, k := range svc.Kinds {
		if k.Speed > 0 && k.MemoryLayers > 0 {
			out = append(out, s.free[poolKey{d, k.Name}]...)
		}
	}
	s.bySpeed(svc, out)
	return out
}

// inRegion lists the free servers of a region, domain by domain, the domain with
// the most free memory first, so that a chain crosses few links.
func (s *site) inRegion(svc *Service, r state.Region) []*Server {
	type part struct {
		servers []*Server
		memory  int
	}
	var parts []part
	for _, d := range s.domains {
		if d.region != r {
			continue
		}
		p := part{servers: s.inDomain(svc, d.name)}
		for _, sv := range p.servers {
			p.memory += s.kind(svc, sv).MemoryLayers
		}
		parts = append(parts, p)
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.memory, a.memory) })
	var out []*Server
	for _, p := range parts {
		out = append(out, p.servers...)
	}
	return out
}

func (s *site) bySpeed(svc *Service, servers []*Server) {
	slices.SortStableFunc(servers, func(a, b *Server) int {
		return cmp.Compare(s.kind(svc, b).Speed, s.kind(svc, a).Speed)
	})
}

// mixed takes servers from the front of the list until the model fits, or
// returns nil.
func (s *site) mixed(svc *Service, servers []*Server) []*Server {
	memory := 0
	for i, sv := range servers {
		memory += s.kind(svc, sv).MemoryLayers
		if memory >= svc.Layers {
			return servers[:i+1]
		}
	}
	return nil
}

// build splits the model over the group and takes the servers that were used.
func (s *site) build(l *Layout, svc *Service, group []*Server) bool {
	kinds := make([]Kind, len(group))
	for i, sv := range group {
		kinds[i] = s.kind(svc, sv)
	}
	stages, _ := SplitAnyOrder(svc.Layers, kinds, group, s.links)
	if stages == nil {
		return false
	}
	for _, st := range stages {
		s.take(s.servers[st.Backend])
	}
	s.add(l, svc, stages)
	return true
}
