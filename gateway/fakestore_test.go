package gateway_test

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
)

// fakeFeed is a feed whose rows are set by a test.
type fakeFeed[T any] struct {
	mu        sync.Mutex
	rows      map[string]T
	revision  uint64
	revisions map[string]uint64 // of the rows
	changed   chan struct{}
	err       error
	failures  atomic.Int64 // calls that ended with err
	// outdated makes reads answer as of an older revision.
	outdated *site.Batch[T]
	// unreadable are rows that can't be decoded.
	unreadable map[string]error
	// history contains the changes; nil for a feed that has no history at all.
	history []site.Item[T]
}

// keepHistory makes the feed report changes from now on.
func (f *fakeFeed[T]) keepHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = []site.Item[T]{}
}

// changesAfter returns the changes after a revision.
func (f *fakeFeed[T]) changesAfter(after uint64) site.Batch[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := site.Batch[T]{Revision: f.revision}
	for _, it := range f.history {
		if it.Revision > after {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

func newFakeFeed[T any]() *fakeFeed[T] {
	return &fakeFeed[T]{rows: make(map[string]T), revisions: make(map[string]uint64), unreadable: make(map[string]error), changed: make(chan struct{})}
}

func (f *fakeFeed[T]) set(key string, v T) {
	f.change(func() {
		f.rows[key] = v
		delete(f.unreadable, key)
		f.revisions[key] = f.revision + 1
		f.record(site.Item[T]{Key: key, Value: v, Revision: f.revision + 1})
	})
}

// setUnreadable makes a row unreadable.
func (f *fakeFeed[T]) setUnreadable(key string, why error) {
	f.change(func() {
		delete(f.rows, key)
		f.unreadable[key] = why
		f.record(site.Item[T]{Key: key, Err: why, Revision: f.revision + 1})
	})
}

func (f *fakeFeed[T]) remove(key string) {
	f.change(func() {
		delete(f.rows, key)
		f.record(site.Item[T]{Key: key, Removed: true, Revision: f.revision + 1})
	})
}

func (f *fakeFeed[T]) record(it site.Item[T]) {
	if f.history != nil {
		f.history = append(f.history, it)
	}
}

// fail makes every call end with err, or succeed if err is nil.
func (f *fakeFeed[T]) fail(err error) {
	f.change(func() { f.err = err })
}

func (f *fakeFeed[T]) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

// feedBackup is a backup of a feed.
type feedBackup[T any] struct {
	rows      map[string]T
	revisions map[string]uint64
	revision  uint64
}

func (f *fakeFeed[T]) backup() feedBackup[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	return feedBackup[T]{rows: maps.Clone(f.rows), revisions: maps.Clone(f.revisions), revision: f.revision}
}

// restore brings the feed back as of a backup, in the next epoch.
func (f *fakeFeed[T]) restore(b feedBackup[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch := site.Epoch(f.revision) + 1
	f.rows, f.revisions, f.history = maps.Clone(b.rows), maps.Clone(b.revisions), []site.Item[T]{}
	f.revision, f.err = site.NewRevision(epoch, site.Version(b.revision)), nil
	for key, revision := range f.revisions {
		f.revisions[key] = site.NewRevision(epoch, site.Version(revision))
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// skipVersions gives out versions to rows of other tables.
func (f *fakeFeed[T]) skipVersions(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision += n
}

// Read implements site.Feed.
func (f *fakeFeed[T]) Read(context.Context) (site.Batch[T], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outdated != nil {
		return *f.outdated, nil
	}
	if f.err != nil {
		f.failures.Add(1)
	}
	return f.all(), f.err
}

func (f *fakeFeed[T]) all() site.Batch[T] {
	b := site.Batch[T]{Revision: f.revision}
	for k, v := range f.rows {
		b.Items = append(b.Items, site.Item[T]{Key: k, Value: v, Revision: f.revisions[k]})
	}
	for k, err := range f.unreadable {
		b.Items = append(b.Items, site.Item[T]{Key: k, Err: err})
	}
	return b
}

// Follow implements site.Feed. Without a history it requires a complete read at each
// change.
func (f *fakeFeed[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	f.mu.Lock()
	changed, revision, err, kept := f.changed, f.revision, f.err, f.history != nil
	f.mu.Unlock()
	if err == nil && site.Epoch(revision) > site.Epoch(after) {
		return site.Batch[T]{}, &site.RestoredError{Epoch: site.Epoch(revision)}
	}
	if err != nil {
		f.failures.Add(1)
		return site.Batch[T]{}, err
	}
	if revision > after {
		return f.answerAfter(after, kept)
	}
	select {
	case <-changed:
		return f.answerAfter(after, kept)
	case <-time.After(wait):
		return site.Batch[T]{Revision: after}, nil
	case <-ctx.Done():
		return site.Batch[T]{}, ctx.Err()
	}
}

func (f *fakeFeed[T]) answerAfter(after uint64, kept bool) (site.Batch[T], error) {
	if !kept {
		return site.Batch[T]{}, site.ErrHistoryGone
	}
	return f.changesAfter(after), nil
}

// gatedFeed is one gateway's connection to a feed.
type gatedFeed[T any] struct {
	feed     *fakeFeed[T]
	calls    atomic.Int64
	refusing atomic.Bool // every call is refused
	hanging  atomic.Bool // no call is answered
}

// gate counts a call, and makes it hang or fail according to the settings.
func (g *gatedFeed[T]) gate(ctx context.Context) error {
	g.calls.Add(1)
	if g.hanging.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if g.refusing.Load() {
		return site.ErrUnavailable
	}
	return nil
}

// Read implements site.Feed.
func (g *gatedFeed[T]) Read(ctx context.Context) (site.Batch[T], error) {
	if err := g.gate(ctx); err != nil {
		return site.Batch[T]{}, err
	}
	return g.feed.Read(ctx)
}

// Follow implements site.Feed.
func (g *gatedFeed[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	if err := g.gate(ctx); err != nil {
		return site.Batch[T]{}, err
	}
	return g.feed.Follow(ctx, after, wait)
}

// memTable is an in-memory table of the site's store.
type memTable struct {
	mu       sync.Mutex
	rows     map[string]site.Row
	revision uint64
	start    time.Time
	epoch    uint64
}

// restoreEmpty brings the table back from a backup without rows, in the next epoch.
func (t *memTable) restoreEmpty() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch++
	t.rows, t.revision = make(map[string]site.Row), site.NewRevision(t.epoch, 0)
}

func (t *memTable) row(key string) (site.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	return r, ok
}

func newMemTable() *memTable { return &memTable{rows: make(map[string]site.Row), start: time.Now()} }

// Read implements site.Table.
func (t *memTable) Read(context.Context) (site.Rows, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := site.Rows{Now: time.Since(t.start), Epoch: t.epoch}
	for _, r := range t.rows {
		out.Rows = append(out.Rows, r)
	}
	return out, nil
}

// Commit implements site.Table.
func (t *memTable) Commit(_ context.Context, c site.Change) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Conditional && t.rows[c.Key].Revision != c.Revision {
		return 0, site.ErrConflict
	}
	t.revision++
	t.rows[c.Key] = site.Row{Key: c.Key, Value: c.Value, Revision: t.revision}
	return t.revision, nil
}
