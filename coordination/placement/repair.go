package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// brokenChain is a chain that has lost servers.
type brokenChain struct {
	service    *Service
	chain      Chain
	lostLayers int
}

// Repair returns a layout for in with few changes from old. Complete chains stay
// as they are. In broken ones the surviving stages stay, and each gap is filled by
// a spare server, by several, or by the free memory of the neighbors. The
// surviving servers of a chain that can't be repaired become spares. Finally new
// chains are added for missing replicas.
func Repair(old Layout, in Input) Layout {
	s := newSiteIndex(in)
	l := Layout{Missing: make(map[state.ServiceID]int)}
	used := make(map[state.BackendID]bool)
	var broken []brokenChain
	have := make(map[state.ServiceID]int)
	for _, c := range sortByBottleneck(old.Chains) {
		svc, ok := s.services[c.Service]
		if !ok || svc.Model != c.Model || svc.Version != c.Version || have[svc.ID] >= svc.Replicas {
			continue
		}
		lost := s.lostLayers(svc, c)
		if lost == svc.Layers {
			continue
		}
		for _, st := range c.Stages {
			used[st.Backend] = true
		}
		if lost > 0 {
			broken = append(broken, brokenChain{service: svc, chain: c, lostLayers: lost})
			continue
		}
		have[svc.ID]++
		s.add(&l, svc, c.Stages)
	}
	for i := range in.Servers {
		if !used[in.Servers[i].ID] {
			s.release(&in.Servers[i])
		}
	}
	s.sortFree()
	s.repairAll(&l, broken, have)
	s.addMissing(&l)
	return l
}

// sortByBottleneck returns the chains sorted by bottleneck, so that if there are
// too many the slowest are dropped.
func sortByBottleneck(chains []Chain) []Chain {
	out := slices.Clone(chains)
	slices.SortStableFunc(out, func(a, b Chain) int { return cmp.Compare(a.Bottleneck, b.Bottleneck) })
	return out
}

// lostLayers returns the number of c's layers whose server is gone or can no
// longer hold them.
func (s *siteIndex) lostLayers(svc *Service, c Chain) int {
	n := 0
	for _, st := range c.Stages {
		if !s.usable(svc, st) {
			n += st.Layers.Len()
		}
	}
	return n
}

func (s *siteIndex) usable(svc *Service, st Stage) bool {
	sv, ok := s.servers[st.Backend]
	return ok && s.kind(svc, sv).MemoryLayers >= st.Layers.Len()
}

// repairAll fills the gaps of broken chains, those with the fewest lost layers
// first. If one can't be repaired, the chain with the most lost layers is dropped
// and its surviving servers become spares.
func (s *siteIndex) repairAll(l *Layout, chains []brokenChain, have map[state.ServiceID]int) {
	slices.SortStableFunc(chains, func(a, b brokenChain) int { return cmp.Compare(a.lostLayers, b.lostLayers) })
	for len(chains) > 0 {
		b := chains[0]
		if have[b.service.ID] >= b.service.Replicas {
			s.releaseSurvivors(b)
			chains = chains[1:]
			continue
		}
		stages, ok := s.repairChain(b)
		if ok {
			have[b.service.ID]++
			s.add(l, b.service, stages)
			chains = chains[1:]
			continue
		}
		worst := chains[len(chains)-1]
		chains = chains[:len(chains)-1]
		s.releaseSurvivors(worst)
	}
}

// releaseSurvivors makes the surviving servers of a broken chain spares.
func (s *siteIndex) releaseSurvivors(b brokenChain) {
	for _, st := range b.chain.Stages {
		if sv, ok := s.servers[st.Backend]; ok {
			s.release(sv)
		}
	}
	s.sortFree()
}

// repairChain fills every gap of a chain, or returns false and takes no servers.
func (s *siteIndex) repairChain(b brokenChain) ([]Stage, bool) {
	rest := slices.Clone(b.chain.Stages)
	var out []Stage
	var taken []*Server
	for len(rest) > 0 {
		if s.usable(b.service, rest[0]) {
			out = append(out, rest[0])
			rest = rest[1:]
			continue
		}
		gap := rest[0].Layers
		for len(rest) > 0 && !s.usable(b.service, rest[0]) {
			gap.End = rest[0].Layers.End
			rest = rest[1:]
		}
		fill := s.fillGap(b.service, gap, s.adjacentServer(out, rest))
		if fill == nil && !s.extendNeighbors(b.service, out, rest, gap) {
			s.releaseAll(taken)
			return nil, false
		}
		for _, st := range fill {
			sv := s.servers[st.Backend]
			s.take(sv)
			taken = append(taken, sv)
		}
		out = append(out, fill...)
	}
	return out, true
}

// extendNeighbors fills a gap with the free memory of the stages next to it, split
// such that the bottleneck is smallest.
func (s *siteIndex) extendNeighbors(svc *Service, before, after []Stage, gap state.LayerRange) bool {
	left, right := newNeighborStage(s, svc, before, len(before)-1), newNeighborStage(s, svc, after, 0)
	best, bestTime := -1, math.Inf(1)
	for n := max(0, gap.Len()-right.freeLayers); n <= min(left.freeLayers, gap.Len()); n++ {
		if t := max(left.timeWith(n), right.timeWith(gap.Len()-n)); t < bestTime {
			best, bestTime = n, t
		}
	}
	if best < 0 {
		return false
	}
	if best > 0 {
		left.stage.Layers.End += best
	}
	if best < gap.Len() {
		right.stage.Layers.First -= gap.Len() - best
	}
	return true
}

// neighborStage is a stage next to a gap, with its remaining capacity. The zero
// value means that there is no such stage.
type neighborStage struct {
	stage      *Stage
	freeLayers int
	speed      float64
}

func newNeighborStage(s *siteIndex, svc *Service, stages []Stage, i int) neighborStage {
	if i < 0 || i >= len(stages) {
		return neighborStage{}
	}
	k := s.kind(svc, s.servers[stages[i].Backend])
	return neighborStage{
		stage:      &stages[i],
		freeLayers: k.MemoryLayers - stages[i].Layers.Len(),
		speed:      k.Speed,
	}
}

// timeWith returns the stage's time with n additional layers.
func (s neighborStage) timeWith(n int) float64 {
	if s.stage == nil {
		return 0
	}
	return float64(s.stage.Layers.Len()+n) / s.speed
}

func (s *siteIndex) releaseAll(taken []*Server) {
	for _, sv := range taken {
		s.release(sv)
	}
	if len(taken) > 0 {
		s.sortFree()
	}
}

// adjacentServer returns a surviving server near a gap, or nil.
func (s *siteIndex) adjacentServer(before, after []Stage) *Server {
	if len(before) > 0 {
		return s.servers[before[len(before)-1].Backend]
	}
	for _, st := range after {
		if sv, ok := s.servers[st.Backend]; ok {
			return sv
		}
	}
	return nil
}

// fillGap chooses spare servers for a range: the single one with the shortest stage
// time, transfer from the adjacent server included, or else several of one domain
// or region.
func (s *siteIndex) fillGap(svc *Service, gap state.LayerRange, adjacent *Server) []Stage {
	var best *Server
	bestTime := math.Inf(1)
	for _, d := range s.domains {
		if adjacent != nil && d.region != adjacent.Region {
			continue
		}
		for _, k := range svc.Kinds {
			pool := s.free[poolKey{d.name, k.Name}]
			if len(pool) == 0 || k.Speed <= 0 || k.MemoryLayers < gap.Len() {
				continue
			}
			t := float64(gap.Len()) / k.Speed
			if adjacent != nil {
				t += s.linkCost(adjacent.Domain, d.name)
			}
			if t < bestTime {
				best, bestTime = pool[len(pool)-1], t
			}
		}
	}
	if best != nil {
		return []Stage{{Backend: best.ID, Layers: gap}}
	}
	return s.fillGapWithSeveral(svc, gap, adjacent)
}

func (s *siteIndex) fillGapWithSeveral(svc *Service, gap state.LayerRange, adjacent *Server) []Stage {
	part := *svc
	part.Layers = gap.Len()
	var group []*Server
	if adjacent != nil {
		if group = s.mixedGroup(&part, s.inDomain(svc, adjacent.Domain)); group == nil {
			group = s.mixedGroup(&part, s.inRegion(svc, adjacent.Region))
		}
	}
	if group == nil {
		return nil
	}
	kinds := make([]Kind, len(group))
	for i, sv := range group {
		kinds[i] = s.kind(svc, sv)
	}
	stages, _ := SplitAnyOrder(gap.Len(), kinds, group, s.linkCost)
	for i := range stages {
		stages[i].Layers.First += gap.First
		stages[i].Layers.End += gap.First
	}
	return stages
}
