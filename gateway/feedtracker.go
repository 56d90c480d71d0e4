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
	// storeTimeout limits a call to the store that is to be answered at once.
	storeTimeout = 1500 * time.Millisecond
	// longPollWait is how long the store holds a call without news. An unresponsive
	// connection is detected within longPollWait plus storeTimeout.
	longPollWait = time.Second
	// maxStoreAge is how old the store's last answer to a follower may be: the duration of
	// a long poll and the time until the next announcement. It is below the 2 s within
	// which a configuration must be active, even if the connections of all followers become
	// unresponsive at once.
	maxStoreAge = longPollWait + following.AnnounceInterval + 200*time.Millisecond
	// changePollDelay is the minimum time between a change from the store and the next
	// call. During a start thousands of servers list themselves within seconds, and all
	// daemons process each announcement with rows.
	changePollDelay = 50 * time.Millisecond
	// Bounds of the delay between calls to a store that does not answer.
	backoffMin = 100 * time.Millisecond
	backoffMax = 300 * time.Millisecond
)

// Reasons of telemetry.GatewayAnnouncementsTotal.
const (
	announcementNew      = "new"
	announcementRepeated = "repeated"
)

// Reasons of telemetry.GatewayFeedSkippedTotal.
const (
	skippedRow    = "row"
	skippedAnswer = "answer"
)

// storeProbeTimeouts are the timeouts, in rotation, of calls to a store that does not answer.
// A store that has recovered must be detected well within the 2 s of a configuration
// change; a store that is only slow answers within the longest timeout.
var storeProbeTimeouts = []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, storeTimeout}

// batchInfo describes how a batch was obtained.
type batchInfo struct {
	complete  bool      // the batch contains all rows
	calledAt  time.Time // when the store was called
	recovered bool      // the store did not answer this daemon before
	restored  bool      // the store has been restored from a backup since the rows that are known
}

// feedTracker keeps one feed up to date, from the store or from other daemons. Everything
// but its run method belongs to the control goroutine.
type feedTracker[T any] struct {
	c           *control
	name        string
	feed        site.Feed[T]
	machine     *following.Machine
	apply       func(b site.Batch[T], info batchInfo)
	pendingRows encodedRows // for the next announcement
	cache       rowCache[T] // rows for other daemons
	allRows     encodedRows // all rows as last encoded
	// unconfirmed are rows from another daemon that the store has not confirmed. The field
	// belongs to the run method.
	unconfirmed *unconfirmedRows[T]

	mode            atomic.Int32  // a following.Mode
	overdue         atomic.Uint64 // the revision that is overdue; 0 for none
	announces       atomic.Bool   // this daemon follows the feed for others
	revision        atomic.Uint64 // up to which the feed is known
	reducedInterval atomic.Int64  // time between calls in ModeStoreReduced, in ns
	wake            chan struct{}
}

func newFeedTracker[T any](c *control, name string, feed site.Feed[T], apply func(site.Batch[T], batchInfo)) *feedTracker[T] {
	return &feedTracker[T]{
		c: c, name: name, feed: feed, apply: apply,
		machine: following.New(c.g.self, name, maxStoreAge, c.now),
		cache:   newRowCache[T](),
		wake:    make(chan struct{}, 1),
	}
}

// poller is the state of a feedTracker's run method.
type poller struct {
	revision uint64 // up to which the feed is known
	restored uint64 // lowest revision of the epoch that is to be read; 0 for none
	known    bool
	stale    bool // the last answer was older than revision
	failures int  // calls in a row that failed
	wait     time.Duration
}

// run polls the store while no other daemon does that for this one, until ctx ends.
func (f *feedTracker[T]) run(ctx context.Context) {
	p := poller{wait: backoffMin}
	for ctx.Err() == nil {
		if f.skipsStore() {
			p.failures, p.wait = 0, backoffMin
			f.awaitWake(ctx)
			continue
		}
		if !f.awaitPollTurn(ctx) {
			continue
		}
		p.revision = max(p.revision, f.revision.Load())
		if f.syncFromPeers(ctx, p.known, max(p.revision, p.restored)) {
			p.known = true
			continue
		}
		calledAt := time.Now()
		batch, complete, err := readFeed(ctx, f.feed, p.revision, p.known, p.failures)
		if errors.Is(err, site.ErrHistoryGone) {
			p.known, p.restored = false, restoredRevision(err)
			continue
		}
		if err == nil && batch.Revision < max(p.revision, p.restored) {
			err = f.rejectStale(&p)
		}
		p.stale = errors.Is(err, errStaleRead)
		if ctx.Err() != nil {
			return // the gateway has ended; that is no failure of the store
		}
		if err != nil {
			f.handleFailure(ctx, &p, err)
			continue
		}
		info := batchInfo{complete: complete, calledAt: calledAt, recovered: p.failures > 0}
		if p.failures > 0 {
			p.failures = 0
			f.c.g.log.Emit(telemetry.EventStoreRecovered, telemetry.Detail(f.name))
		}
		p.wait = backoffMin
		p.known, p.revision = true, batch.Revision
		f.c.g.storeUnanswered.Store(false)
		f.post(ctx, func() { f.applyStoreAnswer(batch, info) })
		if len(batch.Items) > 0 {
			sleep(ctx, changePollDelay)
		}
	}
}

// rejectStale records an answer that is older than what is known: a lagging replica of the store
// would revert the feed. An epoch that only one answer has stated is not waited for again.
func (f *feedTracker[T]) rejectStale(p *poller) error {
	p.restored = 0
	f.c.g.metrics.CountReason(telemetry.GatewayFeedSkippedTotal, skippedAnswer)
	if !p.stale {
		f.c.g.log.Emit(telemetry.EventStoreStale, telemetry.Detail(f.name))
	}
	return errStaleRead
}

// handleFailure records that the store did not answer, and waits until it is to be called again.
func (f *feedTracker[T]) handleFailure(ctx context.Context, p *poller, err error) {
	p.failures++
	if p.failures == 1 {
		f.c.g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail(f.name), telemetry.Cause(err))
	}
	f.c.post(func() { f.machine.StoreFailed(f.c.now) })
	if f.unconfirmed != nil && !p.known {
		p.known = true
		f.applyUnconfirmed(ctx)
	}
	f.c.g.storeUnanswered.Store(!p.known)
	f.backOff(ctx, p.wait)
	p.wait = min(2*p.wait, backoffMax)
}

// restoredRevision returns a revision that all reads since a restore exceed or equal, if an error
// reports one, or 0.
func restoredRevision(err error) uint64 {
	var restored *site.RestoredError
	if !errors.As(err, &restored) {
		return 0
	}
	return site.NewRevision(restored.Epoch, 0)
}

// post runs fn on the control goroutine, and waits until the resulting mode is set.
func (f *feedTracker[T]) post(ctx context.Context, fn func()) {
	done := make(chan struct{})
	f.c.post(func() {
		fn()
		f.tick()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// skipsStore reports whether the store need not be polled now.
func (f *feedTracker[T]) skipsStore() bool {
	mode := following.Mode(f.mode.Load())
	return mode == following.ModePeers || mode == following.ModeCooldown
}

// syncFromPeers queries other daemons instead of the store if this daemon follows the feed
// for nobody. It returns false if the store has to be called.
func (f *feedTracker[T]) syncFromPeers(ctx context.Context, known bool, revision uint64) bool {
	switch {
	case !known && revision == 0:
		return f.loadFromPeers(ctx)
	case !known: // the store no longer has the changes since revision, or was restored at it
		return f.queryPeers(ctx, rowsRequest{MinRevision: revision + 1}) == queryApplied
	case f.announces.Load() || following.Mode(f.mode.Load()) == following.ModeStoreReduced:
		return false
	}
	req := rowsRequest{MinRevision: max(f.overdue.Swap(0), revision), HasRevision: revision}
	for range maxOverdueRounds {
		if f.queryPeers(ctx, req) == queryApplied {
			return true
		}
		if req.MinRevision == revision {
			break // no overdue revision is known, so further peers know no more
		}
		sleep(ctx, peerQueryInterval)
	}
	return false
}

// applyUnconfirmed applies rows from another daemon because the store does not answer.
func (f *feedTracker[T]) applyUnconfirmed(ctx context.Context) {
	old := f.unconfirmed
	f.unconfirmed = nil
	f.post(ctx, func() { f.applyPeerRows(old.batch, f.c.now.Sub(old.confirmedAt), true) })
}

// awaitWake waits until the store has to be polled.
func (f *feedTracker[T]) awaitWake(ctx context.Context) {
	select {
	case <-f.wake:
	case <-ctx.Done():
	}
}

// backOff waits between two calls to a store that does not answer.
func (f *feedTracker[T]) backOff(ctx context.Context, wait time.Duration) {
	sleep(ctx, wait/2+rand.N(wait/2))
}

// awaitPollTurn is used when the store does not answer the followers. It waits for this
// daemon's turn to check whether the store refuses only them, and returns false if the mode
// has changed meanwhile. The wait is random, from 0 on: if each daemon called as soon as it
// learned of the failure, 195 daemons would call at the same moment, each time.
func (f *feedTracker[T]) awaitPollTurn(ctx context.Context) bool {
	if following.Mode(f.mode.Load()) != following.ModeStoreReduced {
		return true
	}
	t := time.NewTimer(rand.N(time.Duration(f.reducedInterval.Load()) + 1))
	defer t.Stop()
	select {
	case <-t.C:
		return following.Mode(f.mode.Load()) == following.ModeStoreReduced
	case <-f.wake:
	case <-ctx.Done():
	}
	return false
}

// readFeed reads a feed completely, or its changes after revision. After failures it does
// not use a long poll, so that the store's recovery is noticed at once.
func readFeed[T any](ctx context.Context, f site.Feed[T], revision uint64, known bool, failures int) (site.Batch[T], bool, error) {
	wait, timeout := longPollWait, longPollWait+storeTimeout
	if failures > 0 {
		wait, timeout = 0, storeProbeTimeouts[(failures-1)%len(storeProbeTimeouts)]
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyStoreAnswer applies an answer of the store. Other daemons may have announced a part
// of it meanwhile.
func (f *feedTracker[T]) applyStoreAnswer(b site.Batch[T], info batchInfo) {
	f.machine.StoreReached(info.calledAt)
	before, known := f.machine.Revision()
	if known && b.Revision < before {
		f.machine.StoreAnswered(f.c.now, before, false)
		return
	}
	if !info.complete {
		b.Items = f.itemsAfter(b.Items, before)
	}
	changed := info.complete || len(b.Items) > 0
	if changed && !info.complete && f.machine.SendsRows(f.c.now) {
		f.pendingRows = f.encode(b.Items, f.machine.LastChange(), b.Revision)
	}
	if changed {
		f.cache.update(b, info.complete)
	}
	f.machine.StoreAnswered(f.c.now, b.Revision, changed)
	f.revision.Store(b.Revision)
	if changed || info.recovered {
		info.restored = known && f.isRestored(before, b.Revision)
		f.apply(b, info)
	}
}

// isRestored reports whether the store was restored from a backup between two revisions, and lets
// the daemon write again what it may have lost.
func (f *feedTracker[T]) isRestored(before, after uint64) bool {
	if site.Epoch(after) <= site.Epoch(before) {
		return false
	}
	f.c.handleRestore(site.Epoch(after))
	return true
}

// itemsAfter returns the items that are newer than a revision, and counts the others.
func (f *feedTracker[T]) itemsAfter(items []site.Item[T], revision uint64) []site.Item[T] {
	out := itemsAfter(items, revision)
	f.c.g.metrics.AddReason(telemetry.GatewayFeedSkippedTotal, skippedRow, int64(len(items)-len(out)))
	return out
}

// itemsAfter returns the items that are newer than a revision.
func itemsAfter[T any](items []site.Item[T], revision uint64) []site.Item[T] {
	var out []site.Item[T]
	for _, it := range items {
		if it.Revision > revision {
			out = append(out, it)
		}
	}
	return out
}

// handleAnnouncement applies another daemon's announcement and forwards it.
func (f *feedTracker[T]) handleAnnouncement(ann following.Announcement) {
	reason := announcementRepeated
	if f.machine.IsNew(ann) {
		reason = announcementNew
		f.forward(ann)
	}
	f.c.g.metrics.CountReason(telemetry.GatewayAnnouncementsTotal, reason)
	switch f.machine.Receive(f.c.now, ann) {
	case following.ResultApply:
		items, err := decode[T](ann.Rows)
		if err != nil {
			f.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Peer(ann.Origin.ID), telemetry.Cause(err))
			return // the next announcement shows that this one was not applied
		}
		before, _ := f.machine.Revision()
		f.machine.AdvanceTo(ann.Revision, true)
		b := site.Batch[T]{Items: f.itemsAfter(items, before), Revision: ann.Revision}
		f.cache.update(b, false)
		f.apply(b, batchInfo{})
	case following.ResultAdvance:
		f.machine.AdvanceTo(ann.Revision, false)
	case following.ResultIgnore:
	}
	if revision, known := f.machine.Revision(); known {
		f.revision.Store(revision)
	}
}

// tick sends the announcement that is due, and updates the source that run uses.
func (f *feedTracker[T]) tick() {
	if ann, ok := f.machine.Announce(f.c.now); ok {
		f.pendingRows.attach(&ann)
		f.pendingRows = encodedRows{}
		f.forward(ann)
	}
	overdue, _ := f.machine.OverdueRevision(f.c.now)
	f.overdue.Store(overdue)
	f.announces.Store(f.machine.IsAnnouncing(f.c.now))
	f.reducedInterval.Store(int64(f.machine.ReducedPollInterval()))
	f.setMode(f.machine.Mode(f.c.now))
}

// setMode changes the source from which run learns of changes.
func (f *feedTracker[T]) setMode(mode following.Mode) {
	old := following.Mode(f.mode.Swap(int32(mode)))
	if old == mode {
		return
	}
	f.c.g.log.Emit(telemetry.EventFeedSource, telemetry.Detail(f.name+" "+sourceNames[mode]))
	if old != following.ModeStore {
		select {
		case f.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

// sourceNames are the modes in log lines.
var sourceNames = map[following.Mode]string{
	following.ModeStore: "by_store", following.ModeStoreReduced: "by_store_seldom", following.ModePeers: "by_peers",
	following.ModeCooldown: "resting",
}

// forward forwards an announcement. The next one makes up for a lost one.
func (f *feedTracker[T]) forward(ann following.Announcement) {
	for _, id := range f.machine.ForwardTargets(ann.Origin.ID) {
		if i, ok := f.c.view.members.Lookup(id); ok {
			_ = f.c.g.node.Send(i.Meta.PeerAddress, ann)
		}
	}
}
