package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	reachInterval = time.Second
	keyHomes      = 5 // daemons that batch claims; docs/design/at-most-once.md
)

// membersPart watches the other daemons and tells the other parts who lives.
type membersPart struct {
	c       *control
	m       *membership.Membership
	self    membership.Self
	view    *membership.View
	reachAt time.Time

	keyHomes []state.DaemonID // that batch claims

	// gone are lives of daemons that could not be reached, until when that
	// counts. The view learns of a death only after some seconds, and a caller
	// who comes back for its answer should not wait for that.
	gone map[state.Member]time.Time
}

// goneFor is how long a daemon that could not be reached counts as gone.
const goneFor = 15 * time.Second

func newMembersPart(c *control) *membersPart {
	d := c.d
	self := membership.Self{
		Member: d.self,
		Meta: membership.Meta{
			PeerAddress:   d.peerAdvertise(),
			CallerAddress: "http://" + d.callerAdvertise(),
			Domain:        d.set.FailureDomain,
			Region:        d.set.Region,
		},
	}
	m := membership.New(membership.Config{
		ProbeInterval: d.set.Peers.ProbeInterval.Std(),
		ProbeTimeout:  d.set.Peers.ProbeTimeout.Std(),
		SuspicionMin:  d.set.Peers.SuspicionTimeout.Std(),
		SuspicionMax:  2 * d.set.Peers.SuspicionTimeout.Std(),
	}, self, c.rng)
	return &membersPart{c: c, m: m, self: self, view: m.View(), gone: make(map[state.Member]time.Time)}
}

func (p *membersPart) nextTick(now time.Time) time.Time {
	if p.reachAt.IsZero() {
		return now
	}
	next := p.m.NextTick()
	if next.IsZero() || p.reachAt.Before(next) {
		return p.reachAt
	}
	return next
}

func (p *membersPart) tick(now time.Time) {
	p.step(membership.Tick{})
	if !now.Before(p.reachAt) {
		p.reachAt = now.Add(reachInterval)
		p.tellReach()
	}
}

func (p *membersPart) step(ev membership.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		p.carryOut(a)
	}
}

func (p *membersPart) carryOut(a membership.Action) {
	log := p.c.d.log
	switch a := a.(type) {
	case membership.Send:
		_ = p.c.d.node.Send(a.Address, a.Msg) // a lost message is a missed probe
	case membership.ViewChanged:
		p.view = p.m.View()
		p.c.later(p.viewChanged)
	case membership.MemberChanged:
		p.logChange(a)
	case membership.DigestChanged:
		p.c.documents.step(documents.Received{From: a.From, Msg: documents.Digest{Hash: a.Digest.DocumentsHash}})
	case membership.FactLearned:
		p.c.backends.learned(a.Fact)
	case membership.Refuted:
		log.Emit(telemetry.EventSelfSuspected)
	case membership.PauseDetected:
		log.Emit(telemetry.EventSelfSuspected, telemetry.Duration(a.Delay), telemetry.Detail("this daemon was paused"))
	case membership.Superseded:
		log.Emit(telemetry.EventIncarnationSuperseded, telemetry.Incarnation(a.By))
		go p.c.d.Kill()
	}
}

func (p *membersPart) logChange(a membership.MemberChanged) {
	event := telemetry.EventMemberRefuted
	switch {
	case a.New && a.To == membership.Alive:
		event = telemetry.EventMemberJoined
	case a.To == membership.Suspect:
		event = telemetry.EventMemberSuspected
	case a.To == membership.Dead:
		event = telemetry.EventMemberDied
	case a.To == membership.Left:
		event = telemetry.EventMemberLeft
	}
	p.c.d.log.Emit(event, telemetry.Peer(a.Member.ID), telemetry.Incarnation(a.Member.Incarnation))
}

// live lists the members that take part, this daemon included.
func (p *membersPart) live() []membership.Info {
	return lo.Filter(p.view.Members, func(i membership.Info, _ int) bool { return i.Live() })
}

func (p *membersPart) liveIDs() []state.DaemonID {
	return lo.Map(p.live(), func(i membership.Info, _ int) state.DaemonID { return i.Member.ID })
}

// isLive reports whether m, in this life, takes part.
func (p *membersPart) isLive(m state.Member) bool {
	info, ok := p.view.Lookup(m.ID)
	return ok && info.Live() && info.Member == m
}

// unreachable notes that a life of a daemon could not be reached. It only
// decides between joining its requests and taking them over, both of which are
// safe.
func (p *membersPart) unreachable(m state.Member) {
	for old, until := range p.gone {
		if p.c.now.After(until) {
			delete(p.gone, old)
		}
	}
	p.gone[m] = p.c.now.Add(goneFor)
}

// owns reports whether a life of a daemon is believed to drive its requests.
func (p *membersPart) owns(m state.Member) bool {
	return p.isLive(m) && !p.c.now.Before(p.gone[m])
}

// address returns where to reach a daemon, or "".
func (p *membersPart) address(id state.DaemonID) string {
	info, ok := p.view.Lookup(id)
	if !ok {
		return ""
	}
	return info.Meta.PeerAddress
}

// viewChanged tells the other parts who lives now.
func (p *membersPart) viewChanged() {
	live := p.live()
	p.c.d.metrics.Set(telemetry.LiveMembers, float64(len(live)))
	p.keyHomes = claims.KeyHomes(p.liveIDs(), keyHomes)
	p.c.slots.route(route.ViewChanged{Live: lo.Map(live, func(i membership.Info, _ int) route.Peer {
		return route.Peer{Member: i.Member, Region: i.Meta.Region, Draining: i.Draining}
	})})
	p.c.limits.membersChanged(live)
	p.c.quarantine.membersChanged(live)
	p.c.leases.membersChanged(live)
	p.c.catalog.membersChanged(live)
	p.c.store.rolesChanged()
	p.c.d.publish(func(v *view) { v.members = p.view })
}

// tellReach tells the documents how much of the fleet is in contact.
func (p *membersPart) tellReach() {
	others := lo.FilterMap(p.live(), func(i membership.Info, _ int) (state.Member, bool) {
		return i.Member, i.Member.ID != p.self.Member.ID
	})
	p.c.documents.step(documents.Members{Live: others, Known: p.view.Connectivity.Known})
}
