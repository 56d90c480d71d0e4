package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
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
}

// endedPartRun is a fresh run with parts of a prompt on a server that ended.
type endedPartRun struct {
	server state.BackendIncarnation
	run    crashes.PartRun
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

// broadcastEnds tells all daemons of runs on servers that ended, a notice for each server.
func (g *Gateway) broadcastEnds(ended []endedRun) {
	runs := make(map[state.BackendIncarnation][]crashes.Run)
	for _, e := range ended {
		runs[e.server] = append(runs[e.server], e.run)
	}
	for server, of := range runs {
		for _, notice := range crashes.EndNotices(server, of) {
			g.broadcast(notice)
		}
	}
}

// broadcastParts tells all daemons of fresh runs with parts of prompts on servers that ended.
func (g *Gateway) broadcastParts(ended []endedPartRun) {
	runs := make(map[state.BackendIncarnation][]crashes.PartRun)
	for _, e := range ended {
		runs[e.server] = append(runs[e.server], e.run)
	}
	for server, of := range runs {
		for _, notice := range crashes.PartsNotices(server, of) {
			g.broadcast(notice)
		}
	}
}

func (g *Gateway) broadcastCleared(contents []crashes.Fingerprint) {
	for _, notice := range crashes.ClearNotices(contents) {
		g.broadcast(notice)
	}
}

// tellBlockedContents tells all daemons of the blocked contents and suspected parts if a new daemon has joined, which
// does not know them. Of the others, the one with the lowest id does so.
func (m *membersState) tellBlockedContents(joined state.DaemonID) {
	self := m.c.g.self.ID
	for _, i := range m.machine.View().Members {
		if id := i.Member.ID; i.Live() && id != joined && id < self {
			return
		}
	}
	for _, notice := range m.c.g.shared.blockedContents(m.c.now) {
		m.broadcast(notice)
	}
	for _, notice := range m.c.g.shared.suspectParts(m.c.now) {
		m.broadcast(notice)
	}
}
