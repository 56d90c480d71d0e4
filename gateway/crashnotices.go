package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// endNoticeDelay is how long the contents that a server's end implicates are collected: their
	// calls break off within a few milliseconds of each other.
	endNoticeDelay = 10 * time.Millisecond
	// clearNoticeDelay is the same for cleared contents. Other daemons need them before a caller
	// repeats the content and another server ends.
	clearNoticeDelay = 500 * time.Millisecond
)

// endedRun is a content's run on a server that ended.
type endedRun struct {
	server state.BackendIncarnation
	run    crashes.Run
	at     time.Time // when the server was seen to have ended
}

// endedPartRun is a fresh run with parts of a prompt on a server that ended.
type endedPartRun struct {
	server state.BackendIncarnation
	run    crashes.PartRun
	at     time.Time // when the server was seen to have ended
}

// batch collects items for some time before it passes them on together.
type batch[T any] struct {
	delay time.Duration
	flush func([]T)

	mu    sync.Mutex
	items []T
}

func (b *batch[T]) add(item T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, item)
	if len(b.items) == 1 {
		time.AfterFunc(b.delay, b.pass)
	}
}

func (b *batch[T]) pass() {
	b.mu.Lock()
	items := b.items
	b.items = nil
	b.mu.Unlock()
	b.flush(items)
}

// tellEnd tells other daemons of a run on a server that ended. One that is unlikely to have ended it may
// be kept back.
func (g *Gateway) tellEnd(ended endedRun, likely bool) {
	if g.shared.audience(ended.at, g.daemons(), likely) == crashes.All {
		g.endedRuns.add(ended)
		return
	}
	time.AfterFunc(crashes.WithholdTime, func() { g.tellWithheldEnd(ended) })
}

func (g *Gateway) tellWithheldEnd(ended endedRun) {
	switch g.shared.withheldAudience(ended.server, ended.run.Content) {
	case crashes.All:
		g.endedRuns.add(ended)
	case crashes.Owner:
		g.metrics.CountReason(telemetry.GatewayEndsToldTotal, "owner")
		g.tellOwner(ended.run.Content)
	default:
		g.metrics.CountReason(telemetry.GatewayEndsToldTotal, "nobody")
	}
}

// tellOwner tells the daemon that owns a content of the ends that are known here. Number 0 ends no turn.
func (g *Gateway) tellOwner(fp crashes.Fingerprint) {
	now := time.Now()
	owner := g.turnOwner(fp)
	if owner == "" {
		g.tellIfBlocked(now, fp)
		return
	}
	release := crashes.TurnRelease{Content: fp, Ends: g.shared.ownerNotices(now, fp)}
	_ = g.node.Send(owner, release) // the next end is told with those before
}

// tellIfBlocked tells all daemons of a content that this daemon owns, once the content is refused.
func (g *Gateway) tellIfBlocked(now time.Time, fp crashes.Fingerprint) {
	for _, notice := range g.shared.newlyBlocked(now, fp) {
		g.broadcast(notice)
	}
}

// tellParts is tellEnd for a run with parts of prompts.
func (g *Gateway) tellParts(ended endedPartRun, likely bool) {
	if g.shared.audience(ended.at, g.daemons(), likely) == crashes.All {
		g.endedParts.add(ended)
		return
	}
	time.AfterFunc(crashes.WithholdTime, func() {
		if g.shared.partsAudience(ended.server) == crashes.All {
			g.endedParts.add(ended)
		}
	})
}

// broadcastEnds tells all daemons of runs on servers that ended, a notice for each server.
func (g *Gateway) broadcastEnds(ended []endedRun) {
	runs := make(map[state.BackendIncarnation][]crashes.Run)
	at := make(map[state.BackendIncarnation]time.Time)
	for _, e := range ended {
		runs[e.server], at[e.server] = append(runs[e.server], e.run), e.at
	}
	for server, of := range runs {
		for _, notice := range crashes.EndNotices(server, of) {
			notice.AgeMS = time.Since(at[server]).Milliseconds()
			g.metrics.CountReason(telemetry.GatewayEndsToldTotal, "all")
			g.broadcast(notice)
		}
	}
}

// broadcastParts tells all daemons of fresh runs with parts of prompts on servers that ended.
func (g *Gateway) broadcastParts(ended []endedPartRun) {
	runs := make(map[state.BackendIncarnation][]crashes.PartRun)
	at := make(map[state.BackendIncarnation]time.Time)
	for _, e := range ended {
		runs[e.server], at[e.server] = append(runs[e.server], e.run), e.at
	}
	for server, of := range runs {
		for _, notice := range crashes.PartsNotices(server, of) {
			notice.AgeMS = time.Since(at[server]).Milliseconds()
			g.broadcast(notice)
		}
	}
}

func (g *Gateway) broadcastCleared(contents []crashes.Fingerprint) {
	for _, notice := range crashes.ClearNotices(contents) {
		g.broadcast(notice)
	}
}

// tellReturned tells a daemon that has come back what it may have missed while it was cut off: the ends of
// the contents that are blocked. Of the daemons that see it come back, the one with the lowest id does so.
func (m *membersState) tellReturned(returned state.DaemonID) {
	info, ok := m.machine.View().Lookup(returned)
	if !ok || !m.isLowest(returned) {
		return
	}
	for _, notice := range m.c.g.shared.blockedContents(m.c.now) {
		_ = m.c.g.node.Send(info.Meta.PeerAddress, crashes.TurnRelease{Ends: []crashes.EndNotice{notice}}) // exchanges repair a loss
	}
}

// isLowest reports whether this daemon has the lowest id of the live ones, apart from one.
func (m *membersState) isLowest(apart state.DaemonID) bool {
	for _, i := range m.machine.View().Members {
		if id := i.Member.ID; i.Live() && id != apart && id < m.c.g.self.ID {
			return false
		}
	}
	return true
}

// tellBlockedContents tells all daemons of the blocked contents and suspected parts if a new daemon has joined, which
// does not know them. Of the others, the one with the lowest id does so.
func (m *membersState) tellBlockedContents(joined state.DaemonID) {
	if !m.isLowest(joined) {
		return
	}
	for _, notice := range m.c.g.shared.blockedContents(m.c.now) {
		m.broadcast(notice)
	}
	for _, notice := range m.c.g.shared.suspectParts(m.c.now) {
		m.broadcast(notice)
	}
}

// applyEnds applies ends of servers that another daemon has told of, and tells all daemons of contents that
// were answered here since.
func (g *Gateway) applyEnds(now time.Time, ends []crashes.EndNotice) {
	for _, n := range ends {
		g.shared.implicate(now.Add(-n.Age()), n.Server, n.Runs()...)
	}
	for _, fp := range g.shared.takeStale() {
		g.clearedContents.add(fp)
	}
}

// daemons returns the number of daemons of the site, as far as it is known.
func (g *Gateway) daemons() int {
	v := g.currentView.Load()
	return max(v.siteSize, v.live, 1)
}

func (s *sharedState) audience(now time.Time, daemons int, likely bool) crashes.Audience {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teller.Audience(now, daemons, likely)
}

func (s *sharedState) withheldAudience(server state.BackendIncarnation, fp crashes.Fingerprint) crashes.Audience {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Audience(server, fp)
}

func (s *sharedState) partsAudience(server state.BackendIncarnation) crashes.Audience {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.Audience(server)
}

func (s *sharedState) ownerNotices(now time.Time, fp crashes.Fingerprint) []crashes.EndNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.OwnerNotices(now, fp)
}

func (s *sharedState) newlyBlocked(now time.Time, fp crashes.Fingerprint) []crashes.EndNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.NewlyBlocked(now, fp)
}

func (s *sharedState) takeStale() []crashes.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.TakeStale()
}
