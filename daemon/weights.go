package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// weightsComponent grants shares of the weight store's rate while this daemon
// holds the lease weights.LeaseService.
type weightsComponent struct {
	c         *control
	allocator *weights.Allocator
}

func newWeightsComponent(c *control) *weightsComponent {
	return &weightsComponent{c: c, allocator: weights.NewAllocator(weightsConfig(c.d))}
}

// weightsConfig makes a share expire a little before a lease would. A new
// allocator therefore has to wait about as long as it has waited for the lease.
func weightsConfig(d *Daemon) weights.Config {
	cfg := weights.DefaultConfig(d.config.Leases.SharedLoads)
	cfg.ShareTTL = d.config.Leases.Term.Std() * 9 / 10
	cfg.RenewInterval = cfg.ShareTTL / 3
	return cfg
}

func (w *weightsComponent) setLeaseStatus(st lease.Status) { w.allocator.SetLeaseStatus(w.c.now, st) }

// handleRequest answers a controller's request for a share. A request to a
// daemon that is not the allocator gets no answer; the controller then uses
// only the loads that need no share.
func (w *weightsComponent) handleRequest(from state.Member, q weights.ShareRequest) {
	g, ok := w.allocator.HandleRequest(w.c.now, q)
	if !ok {
		return
	}
	if from == w.c.d.self {
		w.handleGrant(g)
		return
	}
	w.c.d.send(w.c.members.address(from.ID), g)
}

func (w *weightsComponent) handleGrant(g weights.Grant) {
	s, ok := w.c.controllers.byService[g.Service]
	if !ok {
		return
	}
	s.requester.HandleGrant(g)
	slots, until := s.requester.Share()
	s.step(controller.LoadGrant{Slots: slots, Until: until})
}

// requestShare requests a share of the weight store's rate when that is due.
func (s *serviceController) requestShare(now time.Time) {
	if s.status.State != lease.Held {
		return
	}
	slots, _ := s.requester.Share()
	q, due := s.requester.NextRequest(now, min(s.wantedLoads, slots))
	holder, ok := s.c.leases.machine.Holder(weights.LeaseService)
	switch {
	case !due || !ok:
	case holder == s.c.d.self:
		s.c.afterStep(func() { s.c.weights.handleRequest(s.c.d.self, q) })
	default:
		s.c.d.send(s.c.members.address(holder.ID), q)
	}
}
