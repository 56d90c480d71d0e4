package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// storeTimeout bounds one call to the store that is to be answered at once.
	storeTimeout = 1500 * time.Millisecond
	// followWait is how long the store holds a call that has nothing to tell: a
	// connection that has gone silent shows within it and storeTimeout.
	followWait = time.Second
	// followFresh is how old the store's last answer to a follower may be: as long as
	// such a call takes, until the next announcement. It is less than the 2 s within which a
	// configuration is to be in force, also where the connections of all followers go
	// silent at once.
	followFresh = followWait + following.AnnounceInterval + 200*time.Millisecond
	// followPace is the least time between a change that the store tells and the next call:
	// at a start thousands of servers list themselves within seconds, and each announcement with
	// rows is worked on by all daemons.
	followPace = 50 * time.Millisecond
	// Waits between calls to a store that does not answer.
	backoffMin = 100 * time.Millisecond
	backoffMax = 300 * time.Millisecond
)

// Reasons of telemetry.GatewayAnnouncementsTotal.
const (
	announcementNew      = "new"
	announcementRepeated = "repeated"
)

// probeTimeouts bound the calls to a store that does not answer, in turn. A store
// that is back must be heard well within the bound of a configuration, 2 s; one that
// is merely slow answers within the longest.
var probeTimeouts = []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, storeTimeout}

// arrival says how a batch came.
type arrival struct {
	whole     bool // it holds all rows
	recovered bool // the store did not answer before
}

// feedPart keeps one feed up to date, by the store or by other daemons. All but its
// run method belongs to the control goroutine.
type feedPart[T any] struct {
	c    *control
	name string
	feed site.Feed[T]
	m    *following.Machine
	take func(b site.Batch[T], how arrival)
	// recovered takes when the store answered a follower again.
	recovered func(at time.Time)
	rows      encodedRows  // that are to go with the next announcement
	rowsKnown rowsKnown[T] // for other daemons
	allRows   encodedRows  // all of them, as they were given last
	// stale is what another daemon gave, and the store has not confirmed. It belongs to
	// the run method.
	stale *stale[T]

	mode     atomic.Int32  // a following.Mode
	overdue  atomic.Uint64 // the revision that is overdue; 0 for none
	follows  atomic.Bool   // this daemon follows the feed for others
	revision atomic.Uint64 // up to which the feed is known
	seldom   atomic.Int64  // the time between two calls in the mode BySeldom, in ns
	wake     chan struct{}
}

func newFeedPart[T any](c *control, name string, feed site.Feed[T], take func(site.Batch[T], arrival), recovered func(time.Time)) *feedPart[T] {
	return &feedPart[T]{
		c: c, name: name, feed: feed, take: take, recovered: recovered,
		m:         following.New(c.g.self, name, followFresh, c.now),
		rowsKnown: newRowsKnown[T](),
		wake:      make(chan struct{}, 1),
	}
}

// run asks the store as long as no other daemon does, until ctx ends.
func (p *feedPart[T]) run(ctx context.Context) {
	var (
		revision uint64
		known    bool
		failures int
		wait     = backoffMin
		log      = p.c.g.log
	)
	for ctx.Err() == nil {
		if p.told() {
			failures, wait = 0, backoffMin
			p.await(ctx)
			continue
		}
		if !p.mayAsk(ctx) {
			continue
		}
		revision = max(revision, p.revision.Load())
		if p.spareStore(ctx, known, revision) {
			known = true
			continue
		}
		batch, whole, err := next(ctx, p.feed, revision, known, failures)
		if errors.Is(err, site.ErrHistoryGone) {
			known = false
			continue
		}
		if err == nil && batch.Revision < revision {
			// A replica of the store that is behind would take us back.
			err = errStaleRead
		}
		if ctx.Err() != nil {
			return // the gateway has ended; that is no fault of the store
		}
		if err != nil {
			failures++
			if failures == 1 {
				log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail(p.name), telemetry.Cause(err))
				p.c.post(func() { p.m.StoreFailed(p.c.now) })
			}
			if p.stale != nil && !known {
				known = true
				p.takeStale(ctx)
			}
			p.c.g.unanswered.Store(!known)
			p.backOff(ctx, wait)
			wait = min(2*wait, backoffMax)
			continue
		}
		how := arrival{whole: whole, recovered: failures > 0}
		if failures > 0 {
			failures = 0
			log.Emit(telemetry.EventStoreRecovered, telemetry.Detail(p.name))
		}
		wait = backoffMin
		known, revision = true, batch.Revision
		p.c.g.unanswered.Store(false)
		p.post(ctx, func() { p.answered(batch, how) })
		if len(batch.Items) > 0 {
			pause(ctx, followPace)
		}
	}
}

// post has f run by the control goroutine, and waits until the mode that follows from
// it is in force.
func (p *feedPart[T]) post(ctx context.Context, f func()) {
	done := make(chan struct{})
	p.c.post(func() {
		f()
		p.tick()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// told reports whether the store need not be asked now.
func (p *feedPart[T]) told() bool {
	mode := following.Mode(p.mode.Load())
	return mode == following.ModePeers || mode == following.ModeCooldown
}

// spareStore asks other daemons instead of the store, where this one follows it for
// nobody. It returns false where the store is to be asked.
func (p *feedPart[T]) spareStore(ctx context.Context, known bool, revision uint64) bool {
	switch {
	case !known && revision == 0:
		return p.startFromPeers(ctx)
	case !known: // the store has forgotten the changes since then
		return p.fromPeers(ctx, rowsAsked{Least: revision + 1}) == taken
	case p.follows.Load() || following.Mode(p.mode.Load()) == following.ModeStoreReduced:
		return false
	}
	ask := rowsAsked{Least: max(p.overdue.Swap(0), revision), Has: revision}
	for range overdueRounds {
		if p.fromPeers(ctx, ask) == taken {
			return true
		}
		if ask.Least == revision {
			break // nothing is known to be overdue: these know no more
		}
		pause(ctx, giveStep)
	}
	return false
}

// takeStale goes by what another daemon gave, since the store does not answer.
func (p *feedPart[T]) takeStale(ctx context.Context) {
	old := p.stale
	p.stale = nil
	p.post(ctx, func() { p.given(old.batch, p.c.now.Sub(old.at), true) })
}

// await returns once the store is to be asked.
func (p *feedPart[T]) await(ctx context.Context) {
	select {
	case <-p.wake:
	case <-ctx.Done():
	}
}

// backOff waits between two calls to a store that does not answer.
func (p *feedPart[T]) backOff(ctx context.Context, wait time.Duration) {
	pause(ctx, wait/2+rand.N(wait/2))
}

// mayAsk waits, where the store does not answer those that follow it for all, for this
// daemon's turn to find out whether it refuses just those. It returns false where the
// mode has changed meanwhile. Daemons wait a random time from 0 on: were each to ask as
// soon as it hears of the failure, 195 would ask at one moment, each time.
func (p *feedPart[T]) mayAsk(ctx context.Context) bool {
	if following.Mode(p.mode.Load()) != following.ModeStoreReduced {
		return true
	}
	t := time.NewTimer(rand.N(time.Duration(p.seldom.Load()) + 1))
	defer t.Stop()
	select {
	case <-t.C:
		return following.Mode(p.mode.Load()) == following.ModeStoreReduced
	case <-p.wake:
	case <-ctx.Done():
	}
	return false
}

// next reads a feed whole, or what changed in it after revision. After failures it
// does not let the store wait for a change, so that its return is noticed at once.
func next[T any](ctx context.Context, f site.Feed[T], revision uint64, known bool, failures int) (site.Batch[T], bool, error) {
	wait, timeout := followWait, followWait+storeTimeout
	if failures > 0 {
		wait, timeout = 0, probeTimeouts[(failures-1)%len(probeTimeouts)]
	}
	if !known {
		timeout = min(timeout, storeTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !known {
		b, err := f.Read(ctx)
		return b, true, err
	}
	b, err := f.Follow(ctx, revision, wait)
	return b, false, err
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// answered takes an answer of the store. Other daemons may have told of a part of it
// meanwhile.
func (p *feedPart[T]) answered(b site.Batch[T], how arrival) {
	before, known := p.m.Revision()
	if known && b.Revision < before {
		p.m.StoreAnswered(p.c.now, before, false)
		return
	}
	if !how.whole {
		b.Items = since(b.Items, before)
	}
	changed := how.whole || len(b.Items) > 0
	if changed && !how.whole && p.m.SendsRows(p.c.now) {
		p.rows = p.encode(b.Items, p.m.LastChange(), b.Revision)
	}
	if changed {
		p.rowsKnown.keep(b, how.whole)
	}
	p.m.StoreAnswered(p.c.now, b.Revision, changed)
	p.revision.Store(b.Revision)
	if changed || how.recovered {
		p.take(b, how)
	}
}

// since returns the items that are newer than a revision.
func since[T any](items []site.Item[T], revision uint64) []site.Item[T] {
	var out []site.Item[T]
	for _, it := range items {
		if it.Revision > revision {
			out = append(out, it)
		}
	}
	return out
}

// heard takes another daemon's announcement, and passes it on.
func (p *feedPart[T]) heard(t following.Announcement) {
	reason := announcementRepeated
	if p.m.IsNew(t) {
		reason = announcementNew
		p.send(t)
	}
	p.c.g.metrics.CountReason(telemetry.GatewayAnnouncementsTotal, reason)
	if t.RecoveredFor > 0 && !t.StoreFailing {
		p.recovered(p.c.now.Add(-t.RecoveredFor))
	}
	switch p.m.Receive(p.c.now, t) {
	case following.ResultApply:
		items, err := decode[T](t.Rows)
		if err != nil {
			p.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Peer(t.Origin.ID), telemetry.Cause(err))
			return // the next announcement shows that this one was not taken
		}
		before, _ := p.m.Revision()
		p.m.AdvanceTo(t.Revision, true)
		b := site.Batch[T]{Items: since(items, before), Revision: t.Revision}
		p.rowsKnown.keep(b, false)
		p.take(b, arrival{})
	case following.ResultAdvance:
		p.m.AdvanceTo(t.Revision, false)
	case following.ResultIgnore:
	}
	if revision, known := p.m.Revision(); known {
		p.revision.Store(revision)
	}
}

// tick tells other daemons what is due, and the run method who is to be asked.
func (p *feedPart[T]) tick() {
	if t, ok := p.m.Announce(p.c.now); ok {
		p.rows.attach(&t)
		p.rows = encodedRows{}
		p.send(t)
	}
	least, _ := p.m.OverdueRevision(p.c.now)
	p.overdue.Store(least)
	p.follows.Store(p.m.IsAnnouncing(p.c.now))
	p.seldom.Store(int64(p.m.ReducedPollInterval()))
	p.setMode(p.m.Mode(p.c.now))
}

// setMode has the run method learn of changes in another way.
func (p *feedPart[T]) setMode(mode following.Mode) {
	old := following.Mode(p.mode.Swap(int32(mode)))
	if old == mode {
		return
	}
	p.c.g.log.Emit(telemetry.EventFeedSource, telemetry.Detail(p.name+" "+sourceNames[mode]))
	if old != following.ModeStore {
		select {
		case p.wake <- struct{}{}:
		default: // it has been told and has not looked yet
		}
	}
}

// sourceNames are the modes in log lines.
var sourceNames = map[following.Mode]string{
	following.ModeStore: "by_store", following.ModeStoreReduced: "by_store_seldom", following.ModePeers: "by_peers",
	following.ModeCooldown: "resting",
}

// send passes an announcement on. One that is lost is made up for by the next.
func (p *feedPart[T]) send(t following.Announcement) {
	for _, id := range p.m.ForwardTargets(t.Origin.ID) {
		if i, ok := p.c.view.members.Lookup(id); ok {
			_ = p.c.g.node.Send(i.Meta.PeerAddress, t)
		}
	}
}
