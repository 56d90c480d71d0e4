package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
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
	// announceInterval is how often a daemon that others have found tries to write a
	// row that it could not write yet: only daemons that know nobody look for it.
	announceInterval = 10 * time.Second
)

// First kinds of each family of messages between gateways.
const (
	kindMembership peer.Kind = 100
	kindCrashes    peer.Kind = 1200
	kindFollowing  peer.Kind = 1300
	kindOutdated   peer.Kind = 1400
	kindRefusal    peer.Kind = 1500
	kindLeaving    peer.Kind = 1600
	kindRowsAsked  peer.Kind = 1700
	kindRowsGiven  peer.Kind = 1701
	kindPermitsAsk peer.Kind = 1800
	kindPermits    peer.Kind = 1801
	kindLimitTold  peer.Kind = 1802
)

// newRegistry lists every message between gateways.
func newRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.RegisterMembership(r, kindMembership)
	peer.Register[crashes.Implication](r, kindCrashes)
	peer.Register[following.Announcement](r, kindFollowing)
	peer.Register[suspect.OutdatedNotice](r, kindOutdated)
	peer.Register[suspect.RefusalNotice](r, kindRefusal)
	peer.Register[suspect.LeavingNotice](r, kindLeaving)
	peer.Register[rowsAsked](r, kindRowsAsked)
	peer.Register[rowsGiven](r, kindRowsGiven)
	peer.Register[permits.PermitRequest](r, kindPermitsAsk)
	peer.Register[permits.PermitGrant](r, kindPermits)
	peer.Register[permits.LimitNotice](r, kindLimitTold)
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
	lastSeed time.Time // when the table was last read; zero for never

	viewStale bool // c.view.members is to be taken anew

	rows   int       // daemons in the table when it was read last; 0 for never
	most   int       // highest number of live daemons of late
	mostAt time.Time // when that was
}

func newMembersPart(c *control) *membersPart {
	g := c.g
	self := membership.Self{
		Member: g.self,
		Meta: membership.Meta{
			PeerAddress:   g.set().PeerAddress,
			CallerAddress: g.set().CallerAddress,
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
	c.view.live, c.view.near = 1, 1
	return &membersPart{c: c, m: m}
}

func (p *membersPart) tick() {
	p.step(membership.Tick{})
	p.takeView()
	if n := p.sharers(); n != p.c.view.sharers {
		p.c.view.sharers = n
		p.c.changed = true
	}
	if p.seedDue() {
		p.lastSeed = p.c.now
		p.reading = true
		go p.seed(p.announce)
	}
}

// seedDue reports whether the table of members is to be read now. A daemon that others
// have found needs it no more, but for its own row.
func (p *membersPart) seedDue() bool {
	switch {
	case p.reading:
		return false
	case p.lastSeed.IsZero():
		return true
	case p.c.view.live < 2:
		return p.c.now.Sub(p.lastSeed) >= seedInterval
	default:
		return !p.announce && p.c.now.Sub(p.lastSeed) >= announceInterval
	}
}

// seed reads the rows of the other daemons, and writes that of this one unless it
// stands, as it does after a restart: two calls in a daemon's first life and one in each
// later one.
func (p *membersPart) seed(announced bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	table := p.c.g.site.Members
	rows, err := table.Read(ctx)
	if err == nil && !announced {
		announced = p.stands(rows) || p.write(ctx)
		if len(rows.Rows) == 0 { // another first daemon may have written meanwhile
			rows, err = table.Read(ctx)
		}
	}
	p.c.post(func() { p.seeded(announced, rows, err) })
}

// stands reports whether this daemon's row is in the table as it is to be.
func (p *membersPart) stands(rows site.Rows) bool {
	g := p.c.g
	return slices.ContainsFunc(rows.Rows, func(r site.Row) bool {
		var at presence
		return r.Key == string(g.self.ID) && json.Unmarshal(r.Value, &at) == nil && at.Peers == g.set().PeerAddress
	})
}

// write puts this daemon's row into the table.
func (p *membersPart) write(ctx context.Context) bool {
	g := p.c.g
	row, err := json.Marshal(presence{Peers: g.set().PeerAddress})
	if err == nil {
		_, err = g.site.Members.Commit(ctx, site.Change{Key: string(g.self.ID), Value: row})
	}
	if err != nil {
		g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("members"), telemetry.Cause(err))
	}
	return err == nil
}

func (p *membersPart) seeded(announced bool, rows site.Rows, err error) {
	p.reading = false
	p.announce = announced
	if err != nil {
		p.c.g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("members"), telemetry.Cause(err))
		return
	}
	p.rows = len(rows.Rows)
	p.c.view.found = p.rows
	p.c.changed = true
	var seeds membership.Seeds
	for _, r := range rows.Rows {
		var at presence
		if err := json.Unmarshal(r.Value, &at); err == nil && at.Peers != p.c.g.set().PeerAddress {
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
		p.viewStale = true
	case membership.MemberChanged:
		g.log.Emit(memberEvent(a), telemetry.Peer(a.Member.ID), telemetry.Incarnation(a.Member.Incarnation))
	case membership.FactLearned:
		g.learned(p.c.now, a.Fact)
	case membership.Refuted, membership.PauseDetected:
		g.log.Emit(telemetry.EventSelfSuspected)
	case membership.Superseded:
		g.log.Emit(telemetry.EventIncarnationSuperseded, telemetry.Incarnation(a.By))
	}
}

// takeView takes up who takes part, once for all changes that came together.
func (p *membersPart) takeView() {
	if !p.viewStale {
		return
	}
	p.viewStale = false
	domain := p.c.g.set().Domain
	v := &p.c.view
	v.members, v.live, v.near = p.m.View(), 0, 0
	for _, i := range v.members.Members {
		if !i.Live() {
			continue
		}
		v.live++
		if i.Meta.Domain == domain {
			v.near++
		}
	}
	p.c.changed = true
	p.c.membersChanged()
}

// memberEvent is the log event of a member's change.
func memberEvent(a membership.MemberChanged) telemetry.Event {
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
	case permits.Message:
		g.control.post(func() { g.control.permits.step(permits.MessageReceived{From: from.ID, Msg: m}) })
	case following.Announcement:
		g.control.post(func() { g.control.heard(m) })
	}
}
