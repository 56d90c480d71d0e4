package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Times of the membership. Callers keep an answer that names a dead daemon for
// some seconds anyway, so that a death known within a second costs little more.
const (
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 150 * time.Millisecond
	suspicionMin  = 600 * time.Millisecond
	// seedInterval is how often a daemon that is in contact with nobody reads
	// where others may be.
	seedInterval = 2 * time.Second
)

// First kinds of each family of messages between gateways.
const (
	kindMembership peer.Kind = 100
	kindCrashes    peer.Kind = 1200
	kindFollowing  peer.Kind = 1300
	kindOutdated   peer.Kind = 1400
	kindRefusal    peer.Kind = 1500
	kindLeaving    peer.Kind = 1600
)

// newRegistry lists every message between gateways.
func newRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.RegisterMembership(r, kindMembership)
	peer.Register[crashes.Told](r, kindCrashes)
	peer.Register[following.Told](r, kindFollowing)
	peer.Register[suspect.Outdated](r, kindOutdated)
	peer.Register[suspect.Refusal](r, kindRefusal)
	peer.Register[suspect.Leaving](r, kindLeaving)
	return r
}

// presence is a daemon's row in the table of members: where others find it.
type presence struct {
	Peers string `json:"peers"`
}

// membersPart watches the other gateways.
type membersPart struct {
	c        *control
	m        *membership.Membership
	announce bool // the row of this daemon is written
	reading  bool
	nextSeed time.Time

	rows   int       // daemons in the table when it was read last; 0 for never
	most   int       // highest number of live daemons of late
	mostAt time.Time // when that was
}

func newMembersPart(c *control) *membersPart {
	g := c.g
	self := membership.Self{
		Member: g.self,
		Meta: membership.Meta{
			PeerAddress:   g.set().Peers,
			CallerAddress: g.set().Front,
			Domain:        g.set().Domain,
			Region:        g.set().Region,
		},
	}
	m := membership.New(membership.Config{
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
		SuspicionMin:  suspicionMin,
		SuspicionMax:  2 * suspicionMin,
	}, self, rand.New(rand.NewPCG(uint64(g.self.Incarnation), 1)))
	c.view.members = m.View()
	c.view.live = 1
	return &membersPart{c: c, m: m}
}

func (p *membersPart) tick() {
	p.step(membership.Tick{})
	if n := p.sharers(); n != p.c.view.sharers {
		p.c.view.sharers = n
		p.c.changed = true
	}
	if !p.reading && !p.c.now.Before(p.nextSeed) && (!p.announce || p.c.view.live < 2) {
		p.nextSeed = p.c.now.Add(seedInterval)
		p.reading = true
		go p.seed(p.announce)
	}
}

// seed writes this daemon's row, unless it stands, and reads those of the others.
func (p *membersPart) seed(announced bool) {
	g := p.c.g
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	var err error
	if !announced {
		var row []byte
		if row, err = json.Marshal(presence{Peers: g.set().Peers}); err == nil {
			_, err = g.site.Members.Commit(ctx, site.Change{Key: string(g.self.ID), Value: row})
		}
	}
	rows, readErr := g.site.Members.Read(ctx)
	p.c.post(func() { p.seeded(announced || err == nil, rows, readErr) })
}

func (p *membersPart) seeded(announced bool, rows site.Rows, err error) {
	p.reading = false
	p.announce = announced
	if err != nil {
		p.c.g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("members"), telemetry.Cause(err))
		return
	}
	p.rows = len(rows.Rows)
	var seeds membership.Seeds
	for _, r := range rows.Rows {
		var at presence
		if err := json.Unmarshal(r.Value, &at); err == nil && at.Peers != p.c.g.set().Peers {
			seeds.Addresses = append(seeds.Addresses, at.Peers)
		}
	}
	p.step(seeds)
}

func (p *membersPart) step(ev membership.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		p.carryOut(a)
	}
}

func (p *membersPart) carryOut(a membership.Action) {
	g := p.c.g
	switch a := a.(type) {
	case membership.Send:
		_ = g.node.Send(a.Address, a.Msg) // a lost message is a missed probe
	case membership.ViewChanged:
		p.c.view.members = p.m.View()
		p.c.view.live = lo.CountBy(p.c.view.members.Members, membership.Info.Live)
		p.c.changed = true
		p.c.membersChanged()
	case membership.Changed:
		g.log.Emit(memberEvent(a), telemetry.Peer(a.Member.ID), telemetry.Incarnation(a.Member.Incarnation))
	case membership.FactLearned:
		g.learned(p.c.now, a.Fact)
	case membership.Refuted, membership.Late:
		g.log.Emit(telemetry.EventSelfSuspected)
	case membership.Superseded:
		g.log.Emit(telemetry.EventIncarnationSuperseded, telemetry.Incarnation(a.By))
	}
}

// memberEvent is the log event of a member's change.
func memberEvent(a membership.Changed) telemetry.Event {
	switch {
	case a.New && a.To == membership.Alive:
		return telemetry.EventMemberJoined
	case a.To == membership.Suspect:
		return telemetry.EventMemberSuspected
	case a.To == membership.Dead:
		return telemetry.EventMemberDied
	case a.To == membership.Left:
		return telemetry.EventMemberLeft
	default:
		return telemetry.EventMemberRefuted
	}
}

// received takes a message of another gateway.
func (g *Gateway) received(from state.Member, msg any) {
	switch m := msg.(type) {
	case membership.Message:
		g.control.post(func() { g.control.members.step(membership.Received{From: from, Msg: m}) })
	case following.Told:
		g.control.post(func() { g.control.heard(m) })
	}
}

// called refuses calls: gateways make none to each other.
func (g *Gateway) called(context.Context, state.Member, any) (any, error) {
	return nil, errNoCalls
}
