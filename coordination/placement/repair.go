package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// broken is a chain that lost servers, with the gaps that they left.
type broken struct {
	svc  *Service
	old  Chain
	lost int // layers
}

// Repair returns the layout that serves in with the least change from old. Whole
// chains stay as they are. In broken ones the surviving stages stay, and each gap
// goes to a spare server, to several, or to the neighbors' free memory. A chain
// that can't be mended gives its survivors up as spares, and what is still
// missing is formed anew.
func Repair(old Layout, in Input) Layout {
	s := newSite(in)
	l := Layout{Missing: make(map[state.ServiceID]int)}
	used := make(map[state.BackendID]bool)
	var hurt []broken
	have := make(map[state.ServiceID]int)
	for _, c := range keepBest(old.Chains) {
		svc, ok := s.services[c.Service]
		if !ok || svc.Model != c.Model || svc.Version != c.Version || have[svc.ID] >= svc.Replicas {
			continue
		}
		lost := s.lost(svc, c)
		if lost == svc.Layers {
			continue
		}
		for _, st := range c.Stages {
			used[st.Backend] = true
		}
		if lost > 0 {
			hurt = append(hurt, broken{svc: svc, old: c, lost: lost})
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
	s.mend(&l, hurt, have)
	s.fill(&l)
	return l
}

// keepBest orders chains so that of too many the slowest are dropped.
func keepBest(chains []Chain) []Chain {
	out := slices.Clone(chains)
	slices.SortStableFunc(out, func(a, b Chain) int { return cmp.Compare(a.Bottleneck, b.Bottleneck) })
	return out
}

// lost counts the layers of c whose server is gone or can't serve svc any more.
func (s *site) lost(svc *Service, c Chain) int {
	n := 0
	for _, st := range c.Stages {
		if !s.alive(svc, st) {
			n += st.Layers.Len()
		}
	}
	return n
}

func (s *site) alive(svc *Service, st Stage) bool {
	sv, ok := s.servers[st.Backend]
	return ok && s.kind(svc, sv).MemoryLayers >= st.Layers.Len()
}

// mend fills the gaps of broken chains, those with the fewest lost layers first.
// Once one can't be mended, the most broken one is given up for its servers.
func (s *site) mend(l *Layout, hurt []broken, have map[state.ServiceID]int) {
	slices.SortStableFunc(hurt, func(a, b broken) int { return cmp.Compare(a.lost, b.lost) })
	for len(hurt) > 0 {
		b := hurt[0]
		if have[b.svc.ID] >= b.svc.Replicas {
			s.giveUp(b)
			hurt = hurt[1:]
			continue
		}
		stages, ok := s.mendOne(b)
		if ok {
			have[b.svc.ID]++
			s.add(l, b.svc, stages)
			hurt = hurt[1:]
			continue
		}
		worst := hurt[len(hurt)-1]
		hurt = hurt[:len(hurt)-1]
		s.giveUp(worst)
	}
}

// giveUp makes the survivors of a broken chain spare.
func (s *site) giveUp(b broken) {
	for _, st := range b.old.Stages {
		if sv, ok := s.servers[st.Backend]; ok {
			s.release(sv)
		}
	}
	s.sortFree()
}

// mendOne fills every gap or takes nothing.
func (s *site) mendOne(b broken) ([]Stage, bool) {
	rest := slices.Clone(b.old.Stages)
	var out []Stage
	var taken []*Server
	for len(rest) > 0 {
		if s.alive(b.svc, rest[0]) {
			out = append(out, rest[0])
			rest = rest[1:]
			continue
		}
		gap := rest[0].Layers
		for len(rest) > 0 && !s.alive(b.svc, rest[0]) {
			gap.End = rest[0].Layers.End
			rest = rest[1:]
		}
		fill := s.fillGap(b.svc, gap, s.neighbor(out, rest))
		if fill == nil && !s.absorb(b.svc, out, rest, gap) {
			s.untake(taken)
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

// absorb gives a gap to the free memory of the stages beside it, in the shares
// with the smallest bottleneck.
func (s *site) absorb(svc *Service, before, after []Stage, gap state.LayerRange) bool {
	left, right := newSide(s, svc, before, len(before)-1), newSide(s, svc, after, 0)
	best, bestTime := -1, math.Inf(1)
	for n := max(0, gap.Len()-right.room); n <= min(left.room, gap.Len()); n++ {
		if t := max(left.with(n), right.with(gap.Len()-n)); t < bestTime {
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

// side is a stage beside a gap and what more it can hold.
type side struct {
	stage *Stage
	room  int
	speed float64
}

func newSide(s *site, svc *Service, stages []Stage, i int) side {
	if i < 0 || i >= len(stages) {
		return side{}
	}
	k := s.kind(svc, s.servers[stages[i].Backend])
	return side{
		stage: &stages[i],
		room:  k.MemoryLayers - stages[i].Layers.Len(),
		speed: k.Speed,
	}
}

// with is the stage's time with n layers more.
func (s side) with(n int) float64 {
	if s.stage == nil {
		return 0
	}
	return float64(s.stage.Layers.Len()+n) / s.speed
}

func (s *site) untake(taken []*Server) {
	for _, sv := range taken {
		s.release(sv)
	}
	if len(taken) > 0 {
		s.sortFree()
	}
}

// neighbor is a surviving server next to a gap.
func (s *site) neighbor(before, after []Stage) *Server {
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

// fillGap chooses spares for a range: the single one with the shortest stage
// time, transfer from its neighbor included, or else several of one domain.
func (s *site) fillGap(svc *Service, gap state.LayerRange, next *Server) []Stage {
	var best *Server
	bestTime := math.Inf(1)
	for _, d := range s.domains {
		if next != nil && d.region != next.Region {
			continue
		}
		for _, k := range svc.Kinds {
			pool := s.free[poolKey{d.name, k.Name}]
			if len(pool) == 0 || k.Speed <= 0 || k.MemoryLayers < gap.Len() {
				continue
			}
			t := float64(gap.Len()) / k.Speed
			if next != nil {
				t += s.links(next.Domain, d.name)
			}
			if t < bestTime {
				best, bestTime = pool[len(pool)-1], t
			}
		}
	}
	if best != nil {
		return []Stage{{Backend: best.ID, Layers: gap}}
	}
	return s.fillBySeveral(svc, gap, next)
}

func (s *site) fillBySeveral(svc *Service, gap state.LayerRange, next *Server) []Stage {
	part := *svc
	part.Layers = gap.Len()
	var group []*Server
	if next != nil {
		if group = s.mixed(&part, s.inDomain(svc, next.Domain)); group == nil {
			group = s.mixed(&part, s.inRegion(svc, next.Region))
		}
	}
	if group == nil {
		return nil
	}
	kinds := make([]Kind, len(group))
	for i, sv := range group {
		kinds[i] = s.kind(svc, sv)
	}
	stages, _ := SplitAnyOrder(gap.Len(), kinds, group, s.links)
	for i := range stages {
		stages[i].Layers.First += gap.First
		stages[i].Layers.End += gap.First
	}
	return stages
}
