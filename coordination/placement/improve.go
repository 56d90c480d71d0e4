package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Improve rebuilds at most moves chains whose bottleneck under in.Links is more
// than ratio times what free servers and their own would give, the worst first.
// All other chains stay. The bottlenecks of the result are those under in.Links.
func Rebalance(old Layout, in Input, ratio float64, moves int) Layout {
	s := newSite(in)
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
		if svc, ok := s.services[chains[i].Service]; ok && s.lost(svc, chains[i]) == 0 {
			chains[i].Bottleneck = s.bottleneck(svc, chains[i].Stages)
		}
	}
	slices.SortStableFunc(chains, func(a, b Chain) int { return cmp.Compare(b.Bottleneck, a.Bottleneck) })
	for _, c := range chains {
		svc, ok := s.services[c.Service]
		if !ok || moves == 0 || s.lost(svc, c) > 0 {
			l.Chains = append(l.Chains, c)
			continue
		}
		if s.rebuild(&l, svc, c, ratio) {
			moves--
		}
	}
	return l
}

// rebuild replaces c if that pays, or keeps it.
func (s *site) rebuild(l *Layout, svc *Service, c Chain, ratio float64) bool {
	for _, st := range c.Stages {
		s.release(s.servers[st.Backend])
	}
	s.sortFree()
	trial := Layout{}
	if s.form(&trial, svc) {
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

// Hysteresis decides when a better layout is worth moving weights for. A link
// that flaps must not set off loads that outlast the fault and then again loads
// back. Its zero value has not seen anything yet.
type Hysteresis struct {
	Ratio       float64       // how many times worse the present layout must be
	MinDuration time.Duration // for how long without a break
	Cooldown    time.Duration // least time between two moves

	since time.Time
	last  time.Time
}

// Observe takes in the bottleneck of the present layout under the links as last
// measured and that of the best known one, and reports whether to move now.
func (h *Hysteresis) Observe(now time.Time, current, best float64) bool {
	if current <= best*h.Ratio {
		h.since = time.Time{}
		return false
	}
	if h.since.IsZero() {
		h.since = now
	}
	if now.Sub(h.since) < h.MinDuration {
		return false
	}
	if !h.last.IsZero() && now.Sub(h.last) < h.Cooldown {
		return false
	}
	h.last = now
	h.since = time.Time{}
	return true
}
