package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Reasons of telemetry.GatewayLimitedTotal.
const (
	limitedSent    = "sent"
	limitedRefused = "refused"
)

// permitsState keeps the limits that servers name, together with the other daemons. Traffic
// takes permits from sharedState; the resulting actions are performed here.
type permitsState struct {
	c      *control
	tickAt time.Time // when the limiter needs its next tick; zero for never

	share   float64 // the share last passed to the limiter
	members *membership.View
}

// tick passes on changes of the membership and runs the timers that are due.
func (s *permitsState) tick() {
	s.updateMembership()
	if !s.tickAt.IsZero() && !s.c.now.Before(s.tickAt) {
		s.step(permits.Tick{})
	}
}

func (s *permitsState) nextTick() time.Time { return s.tickAt }

// updateMembership passes on changes of the membership.
func (s *permitsState) updateMembership() {
	share := s.liveShare()
	if share == s.share && s.c.view.members == s.members {
		return
	}
	s.share, s.members = share, s.c.view.members
	s.step(permits.Membership{Self: s.c.g.self.ID, Daemons: s.owners(), Share: share})
}

// owners returns the daemons that may issue permits: those that are not leaving, if there
// are any.
func (s *permitsState) owners() []state.DaemonID {
	live := lo.Filter(s.c.view.members.Members, func(i membership.Info, _ int) bool { return i.Live() })
	staying := lo.Filter(live, func(i membership.Info, _ int) bool { return !i.Draining })
	if len(staying) > 0 {
		live = staying
	}
	return lo.Map(live, func(i membership.Info, _ int) state.DaemonID { return i.Member.ID })
}

// liveShare returns the fraction of all daemons that this one sees as live. All daemons are
// those that it has seen recently or that the table lists. It returns 0 if nothing is known
// of others.
func (s *permitsState) liveShare() float64 {
	all := s.c.view.siteSize
	if all == 0 {
		return 0
	}
	return min(1, float64(s.c.view.live)/float64(all))
}

// step passes an event to the limiter and performs the resulting actions.
func (s *permitsState) step(ev permits.Event) {
	actions, changed := s.c.g.shared.stepPermits(s.c.now, ev)
	if changed {
		s.c.g.waits.changed()
	}
	s.perform(actions)
}

func (s *permitsState) perform(actions []permits.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case permits.Send:
			if address, ok := s.c.members.addressOf(a.To); ok {
				_ = s.c.g.node.Send(address, a.Msg) // a lost request is repeated
			}
		case permits.Broadcast:
			s.c.members.broadcast(a.LimitNotice)
		case permits.LimitChanged:
			s.c.g.log.Emit(telemetry.EventBackendLimited, telemetry.Backend(a.Server.ID),
				telemetry.Address(s.c.listing.servers[a.Server.ID].Address), telemetry.Detail(a.Limit.String()))
		}
	}
	s.tickAt = s.c.g.shared.nextPermitsTick(s.c.now)
}

// addressOf returns another daemon's peer address, and false if it is not known.
func (m *membersState) addressOf(id state.DaemonID) (string, bool) {
	for _, i := range m.c.view.members.Members {
		if i.Member.ID == id {
			return i.Meta.PeerAddress, true
		}
	}
	return "", false
}

// observeLimit applies the limit that a server names in an answer to a request. The absence
// of a limit counts only in the server's own answers, since refusals may come from
// elsewhere.
func (g *Gateway) observeLimit(server state.BackendIncarnation, a *backend.Answer, sent time.Time) {
	if a.LimitUnreadable || !a.Limit.Named && (!a.Signed || a.NotRun) {
		return
	}
	event := permits.LimitObserved{Server: server, Limit: a.Limit, Sent: sent}
	actions, changed := g.shared.stepPermits(time.Now(), event)
	if changed {
		g.waits.changed()
	}
	if g.shared.isLimited(server) {
		g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedSent)
	}
	if len(actions) > 0 {
		g.control.post(func() { g.control.permits.perform(actions) })
	}
}

// requestPermits queries the owner of a server's permits if that is due.
func (g *Gateway) requestPermits(q *permitRequest) {
	if !q.queryOwner {
		return
	}
	q.queryOwner = false
	g.control.post(func() { g.control.permits.step(permits.Tick{}) })
}

// stepPermits passes an event to the limiter. changed reports whether requests may get a permit that
// got none before.
func (s *sharedState) stepPermits(now time.Time, ev permits.Event) (actions []permits.Action, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.permits.Changes()
	actions = s.permits.Step(now, ev)
	return actions, s.permits.Changes() != before
}

func (s *sharedState) nextPermitsTick(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.NextTick(now)
}

// isLimited reports whether a server names a limit.
func (s *sharedState) isLimited(server state.BackendIncarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.Limited(server)
}
