package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Rebalance rebuilds at most moves chains whose bottleneck under in.LinkCost is
// more than ratio times the one possible with free servers and their own. The
// chains with the largest bottleneck are first. All other chains stay. The
// bottlenecks of the result are those under in.LinkCost.
func Rebalance(old Layout, in Input, ratio float64, moves int) Layout {
	s := newSiteIndex(in)
	l := Layout{Missing: old.Missing}
	used := make(map[state.BackendID]bool)
	for _, c := range old.Chains {
		for _, st := range c.Stages {
			used[st.Backend] = true
		}
	}
	for i := range in.Servers {
		if !used[in.Servers[i].ID] {
			s.release(&in.Servers[i])
		}
	}
	s.sortFree()
	chains := slices.Clone(old.Chains)
	for i := range chains {
		if svc, ok := s.services[chains[i].Service]; ok && s.lostLayers(svc, chains[i]) == 0 {
			chains[i].Bottleneck = s.bottleneck(svc, chains[i].Stages)
		}
	}
	slices.SortStableFunc(chains, func(a, b Chain) int { return cmp.Compare(b.Bottleneck, a.Bottleneck) })
	for _, c := range chains {
		svc, ok := s.services[c.Service]
		if !ok || moves == 0 || s.lostLayers(svc, c) > 0 {
			l.Chains = append(l.Chains, c)
			continue
		}
		if s.rebuildIfBetter(&l, svc, c, ratio) {
			moves--
		}
	}
	return l
}

// rebuildIfBetter replaces c if its bottleneck, the time of its slowest stage, is more
// than ratio times that of a chain built from the free servers and those of c, and
// keeps it otherwise. It reports whether c was replaced.
func (s *siteIndex) rebuildIfBetter(l *Layout, svc *Service, c Chain, ratio float64) bool {
	for _, st := range c.Stages {
		s.release(s.servers[st.Backend])
	}
	s.sortFree()
	trial := Layout{}
	if s.addChain(&trial, svc) {
		if trial.Chains[0].Bottleneck*ratio < c.Bottleneck {
			l.Chains = append(l.Chains, trial.Chains[0])
			return true
		}
		for _, st := range trial.Chains[0].Stages {
			s.release(s.servers[st.Backend])
		}
		s.sortFree()
	}
	for _, st := range c.Stages {
		s.take(s.servers[st.Backend])
	}
	l.Chains = append(l.Chains, c)
	return false
}

// Hysteresis decides when a better layout is worth moving weights. A link that
// flaps must not cause loads that take longer than the fault, and then loads back.
// A new Hysteresis needs only its exported fields set.
type Hysteresis struct {
	Ratio       float64       // factor by which the present bottleneck must be larger
	MinDuration time.Duration // how long that must last without interruption
	Cooldown    time.Duration // minimum time between two moves

	worseSince time.Time
	lastMove   time.Time
}

// Observe takes the bottleneck of the present layout, with the latest measured
// link costs, and that of the best known layout. It reports whether to move now.
func (h *Hysteresis) Observe(now time.Time, current, best float64) bool {
	if current <= best*h.Ratio {
		h.worseSince = time.Time{}
		return false
	}
	if h.worseSince.IsZero() {
		h.worseSince = now
	}
	if now.Sub(h.worseSince) < h.MinDuration {
		return false
	}
	if !h.lastMove.IsZero() && now.Sub(h.lastMove) < h.Cooldown {
		return false
	}
	h.lastMove = now
	h.worseSince = time.Time{}
	return true
}
