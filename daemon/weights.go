package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// weightsPart grants shares of the weight store's rate while this daemon holds
// the lease of weights.Service.
type weightsPart struct {
	c *control
	m *weights.Allocator
}

func newWeightsPart(c *control) *weightsPart {
	return &weightsPart{c: c, m: weights.NewAllocator(weightsConfig(c.d))}
}

// weightsConfig makes a share last a little less than a lease, so that a new
// allocator has to wait about as long as it waited for the lease.
func weightsConfig(d *Daemon) weights.Config {
	cfg := weights.DefaultConfig(d.set.Leases.SharedLoads)
	cfg.ShareTTL = d.set.Leases.Term.Std() * 9 / 10
	cfg.RenewInterval = cfg.ShareTTL / 3
	return cfg
}

func (p *weightsPart) lease(st lease.Status) { p.m.SetLeaseStatus(p.c.now, st) }

// asked answers a controller's daemon; one that asks the wrong daemon gets no
// answer and falls back to the loads that need no share.
func (p *weightsPart) asked(from state.Member, q weights.ShareRequest) {
	g, ok := p.m.HandleRequest(p.c.now, q)
	if !ok {
		return
	}
	if from == p.c.d.self {
		p.granted(g)
		return
	}
	p.c.d.send(p.c.members.address(from.ID), g)
}

func (p *weightsPart) granted(g weights.Grant) {
	s, ok := p.c.controllers.byService[g.Service]
	if !ok {
		return
	}
	s.asker.HandleGrant(g)
	slots, until := s.asker.Share()
	s.step(controller.LoadGrant{Slots: slots, Until: until})
}

// share asks for a share of the weight store's rate when that is due.
func (s *serviceController) share(now time.Time) {
	if s.status.State != lease.Held {
		return
	}
	slots, _ := s.asker.Share()
	q, due := s.asker.NextRequest(now, min(s.wanted, slots))
	holder, ok := s.c.leases.m.Holder(weights.LeaseService)
	switch {
	case !due || !ok:
	case holder == s.c.d.self:
		s.c.later(func() { s.c.weights.asked(s.c.d.self, q) })
	default:
		s.c.d.send(s.c.members.address(holder.ID), q)
	}
}
