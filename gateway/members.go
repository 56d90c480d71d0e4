package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Timing of the membership. Callers use a cached answer with the address of a dead daemon
// for a few seconds anyway, so that detecting a death within a second costs little more.
const (
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 150 * time.Millisecond
	suspicionMin  = 600 * time.Millisecond
	// seedInterval is how often a daemon without contact to any other reads the table of
	// members.
	seedInterval = 2 * time.Second
	// rowRetryInterval is how often a daemon that others have discovered retries a failed
	// write of its row: only daemons that know nobody read it.
	rowRetryInterval = 10 * time.Second
)

// Kinds of the messages between gateways; the first one of each family.
const (
	kindMembership    peer.Kind = 100
	kindCrashes       peer.Kind = 1200
	kindCrashEnd      peer.Kind = 1201
	kindCrashClear    peer.Kind = 1202
	kindTurnRequest   peer.Kind = 1203
	kindTurnResponse  peer.Kind = 1204
	kindTurnRelease   peer.Kind = 1205
	kindPartsEnd      peer.Kind = 1206
	kindFollowing     peer.Kind = 1301 // 1300: revisions without an epoch
	kindOutdated      peer.Kind = 1400
	kindRefusal       peer.Kind = 1500
	kindLeaving       peer.Kind = 1600
	kindRowsRequest   peer.Kind = 1702 // 1700 and 1701: revisions without an epoch
	kindRowsResponse  peer.Kind = 1703
	kindPermitRequest peer.Kind = 1800
	kindPermitGrant   peer.Kind = 1801
	kindLimitNotice   peer.Kind = 1802
	kindReachNotice   peer.Kind = 1900
	kindReachRequest  peer.Kind = 1901
	kindReachResponse peer.Kind = 1902
	kindPace          peer.Kind = 1601
	kindEjection      peer.Kind = 1602
	kindSilent        peer.Kind = 1603
	kindLoadReport    peer.Kind = 2100
	kindLoadTotals    peer.Kind = 2101
	kindShareReport   peer.Kind = 2000
	kindShareTable    peer.Kind = 2001
	kindContention    peer.Kind = 2002
	kindLifeRequest   peer.Kind = 2200
	kindLifeResponse  peer.Kind = 2201
)

// newRegistry registers every message between gateways.
func newRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.RegisterMembership(r, kindMembership)
	peer.Register[crashes.Implication](r, kindCrashes)
	peer.Register[crashes.EndNotice](r, kindCrashEnd)
	peer.Register[crashes.ClearNotice](r, kindCrashClear)
	peer.Register[crashes.TurnRequest](r, kindTurnRequest)
	peer.Register[crashes.TurnResponse](r, kindTurnResponse)
	peer.Register[crashes.TurnRelease](r, kindTurnRelease)
	peer.Register[crashes.PartsNotice](r, kindPartsEnd)
	peer.Register[following.Announcement](r, kindFollowing)
	peer.Register[suspect.OutdatedNotice](r, kindOutdated)
	peer.Register[suspect.RefusalNotice](r, kindRefusal)
	peer.Register[suspect.LeavingNotice](r, kindLeaving)
	peer.Register[suspect.PaceNotice](r, kindPace)
	peer.Register[outlier.Notice](r, kindEjection)
	peer.Register[suspect.SilentNotice](r, kindSilent)
	peer.Register[rowsRequest](r, kindRowsRequest)
	peer.Register[rowsResponse](r, kindRowsResponse)
	peer.Register[permits.PermitRequest](r, kindPermitRequest)
	peer.Register[permits.PermitGrant](r, kindPermitGrant)
	peer.Register[permits.LimitNotice](r, kindLimitNotice)
	peer.Register[reach.Notice](r, kindReachNotice)
	peer.Register[reachRequest](r, kindReachRequest)
	peer.Register[reachResponse](r, kindReachResponse)
	peer.Register[siteload.Report](r, kindLoadReport)
	peer.Register[siteload.Totals](r, kindLoadTotals)
	peer.Register[shares.Report](r, kindShareReport)
	peer.Register[shares.Table](r, kindShareTable)
	peer.Register[shares.ContentionNotice](r, kindContention)
	peer.Register[probing.Request](r, kindLifeRequest)
	peer.Register[probing.Response](r, kindLifeResponse)
	return r
}

// memberRow is a daemon's row in the table of members, with its address for peers and what the
// processes after it continue from.
type memberRow struct {
	Peers   string          `json:"peers"`
	Retries *retryRow       `json:"retries,omitempty"`
	Crashes *crashes.Record `json:"crashes,omitempty"`
}

// membersState tracks the other gateways.
type membersState struct {
	c          *control
	machine    *membership.Membership
	rowWritten bool // this daemon's row is in the table
	reading    bool
	lastSeed   time.Time // when the table was last read; zero for never

	viewChanged   bool      // c.view.members must be updated
	viewAppliedAt time.Time // when it was last updated

	rowCount int       // daemons in the table when it was last read; 0 for never
	known    int       // daemons that may be alive: live, dead for a short time, or listed and not yet seen
	seededAt time.Time // when the table was last read
	maxLive  recentMax
	maxKnown recentMax
}

func newMembersState(c *control) *membersState {
	g := c.g
	self := membership.Self{
		Member: g.self,
		Meta: membership.Meta{
			PeerAddress:   g.currentSettings().PeerAddress,
			CallerAddress: g.currentSettings().CallerAddress,
			Domain:        g.currentSettings().Domain,
			Region:        g.currentSettings().Region,
		},
	}
	m := membership.New(membership.Config{
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
		SuspicionMin:  suspicionMin,
		SuspicionMax:  2 * suspicionMin,
	}, self, rand.New(rand.NewPCG(uint64(g.self.Incarnation), 1)))
	c.view.members = m.View()
	c.view.live, c.view.liveInDomain = 1, 1
	return &membersState{c: c, machine: m}
}

func (m *membersState) tick() {
	m.step(membership.Tick{})
	m.applyView()
	if n := m.siteSize(); n != m.c.view.siteSize {
		m.c.view.siteSize = n
		m.c.changed = true
	}
	if n := m.slackShare(); n != m.c.view.slackShare {
		m.c.view.slackShare = n
		m.c.changed = true
		m.c.g.log.Emit(telemetry.EventRetryShare, telemetry.Count(n.Daemons), telemetry.Detail(shareNames[n.Withheld]))
	}
	if m.seedDue() {
		m.lastSeed = m.c.now
		m.reading = true
		go m.seed(m.rowWritten)
	}
}

// seedDue reports whether the table of members should be read now. A daemon that others
// have discovered needs it only to write its own row.
func (m *membersState) seedDue() bool {
	switch {
	case m.reading:
		return false
	case m.lastSeed.IsZero():
		return true
	case m.c.view.live < 2:
		return m.c.now.Sub(m.lastSeed) >= seedInterval
	default:
		return !m.rowWritten && m.c.now.Sub(m.lastSeed) >= rowRetryInterval
	}
}

// rewriteRow makes this daemon check its row, which the store may have lost, within
// rowRetryInterval: if all daemons did so at once, they would exceed the store's rates.
func (m *membersState) rewriteRow() {
	m.rowWritten = false
	m.lastSeed = m.c.now.Add(-rand.N(rowRetryInterval))
}

// seed reads the rows of the other daemons, and writes this daemon's row unless it is
// current, as it is after a restart: two calls in a daemon's first incarnation and one in
// each later one.
func (m *membersState) seed(rowWritten bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	read, err := m.c.g.readMembers(ctx)
	if err == nil && !rowWritten {
		isFirst := len(read.rows.Rows) == 0
		rowWritten = read.own.Peers == m.c.g.currentSettings().PeerAddress || m.writeRow(ctx, read)
		if isFirst { // another first daemon may have written meanwhile
			var again *tableRead
			if again, err = m.c.g.readMembers(ctx); err == nil {
				read.rows = again.rows
			}
		}
	}
	m.c.post(func() { m.seeded(rowWritten, read, err) })
}

// writeRow writes this daemon's row to the table and keeps what the row says of the process
// before this one.
func (m *membersState) writeRow(ctx context.Context, read *tableRead) bool {
	g := m.c.g
	next := memberRow{Peers: g.currentSettings().PeerAddress, Retries: read.own.Retries, Crashes: read.own.Crashes}
	if read.revision == 0 {
		next.Retries = &retryRow{Incarnation: g.self.Incarnation, Epoch: read.rows.Epoch, FirstRow: read.rows.Now}
	}
	row, err := json.Marshal(next)
	if err == nil {
		var revision uint64
		revision, err = g.site.Members.Commit(ctx, site.Change{Key: string(g.self.ID), Value: row, Conditional: true, Revision: read.revision})
		if err == nil {
			read.revision = revision
			return true
		}
	}
	g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("members"), telemetry.Cause(err))
	return false
}

func (m *membersState) seeded(rowWritten bool, read *tableRead, err error) {
	m.reading = false
	m.rowWritten = rowWritten
	if err != nil {
		m.c.g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("members"), telemetry.Cause(err))
		return
	}
	m.c.retries.loaded(read)
	m.rowCount = len(read.rows.Rows)
	m.c.view.memberRows = m.rowCount
	m.c.changed = true
	var seeds membership.Seeds
	for _, r := range read.rows.Rows {
		if address := parseMemberRow(r).Peers; address != "" && address != m.c.g.currentSettings().PeerAddress {
			seeds.Addresses = append(seeds.Addresses, address)
		}
	}
	m.step(seeds)
	m.seededAt = m.c.now
	m.known = m.knownDaemons(m.machine.View())
}

func (m *membersState) step(ev membership.Event) {
	for _, a := range m.machine.Step(m.c.now, ev) {
		m.perform(a)
	}
}

func (m *membersState) perform(a membership.Action) {
	g := m.c.g
	switch a := a.(type) {
	case membership.Send:
		_ = g.node.Send(a.Address, a.Msg) // a lost message counts as a missed probe
	case membership.ViewChanged:
		m.viewChanged = true
	case membership.MemberChanged:
		g.log.Emit(memberEvent(a), telemetry.Peer(a.Member.ID), telemetry.Incarnation(a.Member.Incarnation))
		m.updateReach(a)
		switch {
		case a.New && a.To == membership.Alive:
			m.tellBlockedContents(a.Member.ID)
		case a.From == membership.Dead && a.To == membership.Alive:
			m.tellReturned(a.Member.ID)
		}
	case membership.FactLearned:
		g.handleFact(m.c.now, a.Fact)
	case membership.Refuted, membership.PauseDetected:
		g.log.Emit(telemetry.EventSelfSuspected)
	case membership.Superseded:
		g.log.Emit(telemetry.EventIncarnationSuperseded, telemetry.Incarnation(a.By))
	}
}

// viewIntervalPerMember is the time between two updates of the membership view, per member.
// An update examines all members several times, which costs about a microsecond each, and
// while 300 daemons start their members change a hundred times within a second. Changes of
// 420 members are visible 84 ms later at most.
const viewIntervalPerMember = 200 * time.Microsecond

// nextView is when a change of the members may be applied.
func (m *membersState) nextView() time.Time {
	return m.viewAppliedAt.Add(time.Duration(len(m.c.view.members.Members)) * viewIntervalPerMember)
}

// nextTick returns when the machine or a change of its view is due.
func (m *membersState) nextTick() time.Time {
	next := m.machine.NextTick()
	if m.viewChanged {
		next = earlier(next, m.nextView())
	}
	return next
}

// applyView applies the membership view, once for all changes that arrived within a short
// time.
func (m *membersState) applyView() {
	if !m.viewChanged || m.c.now.Before(m.nextView()) {
		return
	}
	m.viewChanged, m.viewAppliedAt = false, m.c.now
	domain := m.c.g.currentSettings().Domain
	v := &m.c.view
	v.members, v.live, v.liveInDomain, v.liveByDomain = m.machine.View(), 0, 0, make(map[state.FailureDomain]int)
	m.known = m.knownDaemons(v.members)
	for _, i := range v.members.Members {
		if !i.Live() {
			continue
		}
		v.live++
		v.liveByDomain[i.Meta.Domain]++
	}
	v.liveInDomain = v.liveByDomain[domain]
	m.c.changed = true
	m.c.updateMembers()
}

// updateReach tells the checks of lost links of a member's change.
func (m *membersState) updateReach(a membership.MemberChanged) {
	switch a.To {
	case membership.Alive:
		m.c.g.reach.joined(m.c.now, a.Member)
	case membership.Left:
		m.c.g.reach.left(a.Member.ID)
	case membership.Suspect, membership.Dead:
	}
}

// memberEvent returns the log event of a member's change.
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

// handleMessage handles a message from another gateway.
func (g *Gateway) handleMessage(from state.Member, msg any) {
	switch m := msg.(type) {
	case membership.Message:
		g.control.post(func() { g.control.members.step(membership.Received{From: from, Msg: m}) })
	case permits.Message:
		g.control.post(func() { g.control.permits.step(permits.MessageReceived{From: from.ID, Msg: m}) })
	case following.Announcement:
		g.control.post(func() { g.control.handleAnnouncement(m) })
	case shares.Message:
		g.control.post(func() { g.shares.step(g.control.now, shares.Received{From: from, Msg: m}) })
	case crashes.TurnRelease:
		g.endTurn(time.Now(), from.ID, m)
	}
}
