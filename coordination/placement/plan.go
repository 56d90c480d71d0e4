package placement

import (
	"cmp"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Plan lays out an empty site.
func Plan(in Input) Layout {
	s := newSiteIndex(in)
	for i := range in.Servers {
		s.release(&in.Servers[i])
	}
	s.sortFree()
	l := Layout{Missing: make(map[state.ServiceID]int)}
	s.addMissing(&l)
	return l
}

// addMissing adds chains until every service has its replicas or no servers can be
// found. The service with the smallest share of its replicas is next, so that a
// shortage is shared among the services.
func (s *siteIndex) addMissing(l *Layout) {
	have := make(map[state.ServiceID]int)
	for _, c := range l.Chains {
		have[c.Service]++
	}
	exhausted := make(map[state.ServiceID]bool)
	for {
		svc := s.leastProvisioned(have, exhausted)
		if svc == nil {
			break
		}
		if !s.addChain(l, svc) {
			exhausted[svc.ID] = true
			continue
		}
		have[svc.ID]++
	}
	for _, svc := range s.servicesByID {
		if n := svc.Replicas - have[svc.ID]; n > 0 {
			l.Missing[svc.ID] = n
		}
	}
}

func (s *siteIndex) leastProvisioned(have map[state.ServiceID]int, exhausted map[state.ServiceID]bool) *Service {
	var best *Service
	for _, svc := range s.servicesByID {
		if exhausted[svc.ID] || have[svc.ID] >= svc.Replicas {
			continue
		}
		if best == nil || have[svc.ID]*best.Replicas < have[best.ID]*svc.Replicas {
			best = svc
		}
	}
	return best
}

// addChain adds one chain. It first tries servers of one kind in one failure
// domain, then mixed kinds in one domain, then several domains of one region. No
// chain spans several regions.
func (s *siteIndex) addChain(l *Layout, svc *Service) bool {
	doms := s.domainsByStages(svc)
	for _, d := range doms {
		if group := s.sameKindGroup(svc, d.name); group != nil {
			return s.splitAndAdd(l, svc, group)
		}
	}
	for _, d := range doms {
		if group := s.mixedGroup(svc, s.inDomain(svc, d.name)); group != nil {
			return s.splitAndAdd(l, svc, group)
		}
	}
	tried := make(map[state.Region]bool)
	for _, d := range doms {
		if tried[d.region] {
			continue
		}
		tried[d.region] = true
		if group := s.mixedGroup(svc, s.inRegion(svc, d.region)); group != nil {
			return s.splitAndAdd(l, svc, group)
		}
	}
	return false
}

// domainsByStages sorts the domains by the number of the service's stages in them,
// fewest first, so that the loss of a domain affects as little of the service as
// possible.
func (s *siteIndex) domainsByStages(svc *Service) []domain {
	out := slices.Clone(s.domains)
	slices.SortStableFunc(out, func(a, b domain) int {
		return cmp.Compare(s.stagesIn[domainKey{svc.ID, a.name}], s.stagesIn[domainKey{svc.ID, b.name}])
	})
	return out
}

// sameKindGroup returns the fewest servers of one kind that hold the complete
// model, of the kind with the smallest bottleneck, or nil.
func (s *siteIndex) sameKindGroup(svc *Service, d state.FailureDomain) []*Server {
	var best []*Server
	var bestTime float64
	transfer := s.linkCost(d, d)
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

func (s *siteIndex) inDomain(svc *Service, d state.FailureDomain) []*Server {
	var out []*Server
	for _, k := range svc.Kinds {
		if k.Speed > 0 && k.MemoryLayers > 0 {
			out = append(out, s.free[poolKey{d, k.Name}]...)
		}
	}
	s.sortBySpeed(svc, out)
	return out
}

// inRegion returns the free servers of a region, grouped by domain. The domain with
// the most free memory is first, so that a chain uses few inter-domain links.
func (s *siteIndex) inRegion(svc *Service, r state.Region) []*Server {
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

func (s *siteIndex) sortBySpeed(svc *Service, servers []*Server) {
	slices.SortStableFunc(servers, func(a, b *Server) int {
		return cmp.Compare(s.kind(svc, b).Speed, s.kind(svc, a).Speed)
	})
}

// mixedGroup returns the shortest prefix of servers that holds the model, or nil.
func (s *siteIndex) mixedGroup(svc *Service, servers []*Server) []*Server {
	memory := 0
	for i, sv := range servers {
		memory += s.kind(svc, sv).MemoryLayers
		if memory >= svc.Layers {
			return servers[:i+1]
		}
	}
	return nil
}

// splitAndAdd splits the model over the group, takes the servers used and adds the
// chain. It returns false if the model does not fit.
func (s *siteIndex) splitAndAdd(l *Layout, svc *Service, group []*Server) bool {
	kinds := make([]Kind, len(group))
	for i, sv := range group {
		kinds[i] = s.kind(svc, sv)
	}
	stages, _ := SplitAnyOrder(svc.Layers, kinds, group, s.linkCost)
	if stages == nil {
		return false
	}
	for _, st := range stages {
		s.take(s.servers[st.Backend])
	}
	s.add(l, svc, stages)
	return true
}
