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

// permitsPart keeps the limits that servers name, with the other daemons. Traffic takes permits
// from the book; what is to be done about them is done here.
type permitsPart struct {
	c    *control
	next time.Time // when the book wants a tick; zero for not

	part    float64 // that the book has last got
	members *membership.View
}

// tick takes up who takes part, and runs what is due.
func (p *permitsPart) tick() {
	p.look()
	if !p.next.IsZero() && !p.c.now.Before(p.next) {
		p.step(permits.Tick{})
	}
}

func (p *permitsPart) nextTick() time.Time { return p.next }

// look takes up who takes part.
func (p *permitsPart) look() {
	part := p.partSeen()
	if part == p.part && p.c.view.members == p.members {
		return
	}
	p.part, p.members = part, p.c.view.members
	p.step(permits.Membership{Self: p.c.g.self.ID, Daemons: p.owners(), Share: part})
}

// owners are the daemons that may issue permits: those that do not leave, if there are any.
func (p *permitsPart) owners() []state.DaemonID {
	live := lo.Filter(p.c.view.members.Members, func(i membership.Info, _ int) bool { return i.Live() })
	steady := lo.Filter(live, func(i membership.Info, _ int) bool { return !i.Draining })
	if len(steady) > 0 {
		live = steady
	}
	return lo.Map(live, func(i membership.Info, _ int) state.DaemonID { return i.Member.ID })
}

// partSeen is the share of all daemons that this one sees, by those that it has seen of late or
// that the table lists; 0 where nothing is known of others.
func (p *permitsPart) partSeen() float64 {
	all := p.c.view.sharers.Daemons
	if all == 0 {
		return 0
	}
	return min(1, float64(p.c.view.live)/float64(all))
}

// step has the book take an event, and does what follows.
func (p *permitsPart) step(ev permits.Event) {
	p.carryOut(p.c.g.book.stepPermits(p.c.now, ev))
}

func (p *permitsPart) carryOut(actions []permits.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case permits.Send:
			if address, ok := p.c.members.addressOf(a.To); ok {
				_ = p.c.g.node.Send(address, a.Msg) // a lost question is asked again
			}
		case permits.Broadcast:
			p.c.members.notify(a.LimitNotice)
		case permits.LimitChanged:
			p.c.g.log.Emit(telemetry.EventBackendLimited, telemetry.Backend(a.Server.ID),
				telemetry.Address(p.c.listing.servers[a.Server.ID].Address), telemetry.Detail(a.Limit.String()))
		}
	}
	p.next = p.c.g.book.nextPermits(p.c.now)
}

// addressOf is where another daemon listens; false where it is not known.
func (p *membersPart) addressOf(id state.DaemonID) (string, bool) {
	for _, i := range p.c.view.members.Members {
		if i.Member.ID == id {
			return i.Meta.PeerAddress, true
		}
	}
	return "", false
}

// heardLimit takes up the limit that a server names in an answer to a request. Only an answer
// of the server's own says by its silence that there is none: refusals may come from elsewhere.
func (g *Gateway) heardLimit(server state.Life, a *backend.Answer, sent time.Time) {
	if a.LimitUnreadable || !a.Limit.Named && (!a.Signed || a.NotRun) {
		return
	}
	actions, counts := g.book.heardLimit(permits.LimitObserved{Server: server, Limit: a.Limit, Sent: sent})
	if counts {
		g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedSent)
	}
	if len(actions) > 0 {
		g.control.post(func() { g.control.permits.carryOut(actions) })
	}
}

// askPermits has the owner of a server's permits asked, if that is due.
func (g *Gateway) askPermits(q *permitRequest) {
	if !q.ask {
		return
	}
	q.ask = false
	g.control.post(func() { g.control.permits.step(permits.Tick{}) })
}

func (b *book) stepPermits(now time.Time, ev permits.Event) []permits.Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.Step(now, ev)
}

func (b *book) nextPermits(now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.permits.NextTick(now)
}

// heardLimit takes up what an answer says. It also returns whether the server names a limit.
func (b *book) heardLimit(h permits.LimitObserved) ([]permits.Action, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.permits.Step(time.Now(), h)
	return actions, b.permits.Limited(h.Server)
}
