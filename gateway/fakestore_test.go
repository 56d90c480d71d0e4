package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
)

// feed is a feed whose rows a test sets.
type feed[T any] struct {
	mu       sync.Mutex
	rows     map[string]T
	revision uint64
	written  map[string]uint64 // revisions of the rows
	changed  chan struct{}
	err      error
	failures atomic.Int64 // calls that ended with err
	// behind makes reads answer as of an older revision.
	behind *site.Batch[T]
	// bad are rows that can't be read.
	bad map[string]error
	// history keeps the changes, nil for a feed that has always lost them.
	history []site.Item[T]
}

// keep makes the feed tell changes from now on.
func (f *feed[T]) keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = []site.Item[T]{}
}

// since lists the changes after a revision.
func (f *feed[T]) since(after uint64) site.Batch[T] {
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

func newFeed[T any]() *feed[T] {
	return &feed[T]{rows: make(map[string]T), written: make(map[string]uint64), bad: make(map[string]error), changed: make(chan struct{})}
}

func (f *feed[T]) set(key string, v T) {
	f.change(func() {
		f.rows[key] = v
		delete(f.bad, key)
		f.written[key] = f.revision + 1
		f.log(site.Item[T]{Key: key, Value: v, Revision: f.revision + 1})
	})
}

// spoil makes a row unreadable.
func (f *feed[T]) spoil(key string, why error) {
	f.change(func() {
		delete(f.rows, key)
		f.bad[key] = why
		f.log(site.Item[T]{Key: key, Err: why, Revision: f.revision + 1})
	})
}

func (f *feed[T]) remove(key string) {
	f.change(func() {
		delete(f.rows, key)
		f.log(site.Item[T]{Key: key, Removed: true, Revision: f.revision + 1})
	})
}

func (f *feed[T]) log(it site.Item[T]) {
	if f.history != nil {
		f.history = append(f.history, it)
	}
}

// fail makes every call end with err, nil for none.
func (f *feed[T]) fail(err error) {
	f.change(func() { f.err = err })
}

func (f *feed[T]) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	f.revision++
	close(f.changed)
	f.changed = make(chan struct{})
}

// Read implements site.Feed.
func (f *feed[T]) Read(context.Context) (site.Batch[T], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behind != nil {
		return *f.behind, nil
	}
	if f.err != nil {
		f.failures.Add(1)
	}
	return f.all(), f.err
}

func (f *feed[T]) all() site.Batch[T] {
	b := site.Batch[T]{Revision: f.revision}
	for k, v := range f.rows {
		b.Items = append(b.Items, site.Item[T]{Key: k, Value: v, Revision: f.written[k]})
	}
	for k, err := range f.bad {
		b.Items = append(b.Items, site.Item[T]{Key: k, Err: err})
	}
	return b
}

// Follow implements site.Feed. Without a history it demands a whole read at each
// change.
func (f *feed[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	f.mu.Lock()
	changed, revision, err, kept := f.changed, f.revision, f.err, f.history != nil
	f.mu.Unlock()
	if err != nil {
		f.failures.Add(1)
		return site.Batch[T]{}, err
	}
	if revision > after {
		return f.changes(after, kept)
	}
	select {
	case <-changed:
		return f.changes(after, kept)
	case <-time.After(wait):
		return site.Batch[T]{Revision: after}, nil
	case <-ctx.Done():
		return site.Batch[T]{}, ctx.Err()
	}
}

func (f *feed[T]) changes(after uint64, kept bool) (site.Batch[T], error) {
	if !kept {
		return site.Batch[T]{}, site.ErrHistoryGone
	}
	return f.since(after), nil
}

// door is one gateway's way to a feed.
type door[T any] struct {
	feed  *feed[T]
	calls atomic.Int64
	shut  atomic.Bool // every call is refused
	hangs atomic.Bool // no call is answered
}

// pass counts a call, and has it wait or fail as the door stands.
func (d *door[T]) pass(ctx context.Context) error {
	d.calls.Add(1)
	if d.hangs.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if d.shut.Load() {
		return site.ErrUnavailable
	}
	return nil
}

// Read implements site.Feed.
func (d *door[T]) Read(ctx context.Context) (site.Batch[T], error) {
	if err := d.pass(ctx); err != nil {
		return site.Batch[T]{}, err
	}
	return d.feed.Read(ctx)
}

// Follow implements site.Feed.
func (d *door[T]) Follow(ctx context.Context, after uint64, wait time.Duration) (site.Batch[T], error) {
	if err := d.pass(ctx); err != nil {
		return site.Batch[T]{}, err
	}
	return d.feed.Follow(ctx, after, wait)
}

// table is a table of the site's store.
type table struct {
	mu       sync.Mutex
	rows     map[string]site.Row
	revision uint64
	began    time.Time
}

func newTable() *table { return &table{rows: make(map[string]site.Row), began: time.Now()} }

// Read implements site.Table.
func (t *table) Read(context.Context) (site.Rows, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := site.Rows{Now: time.Since(t.began)}
	for _, r := range t.rows {
		out.Rows = append(out.Rows, r)
	}
	return out, nil
}

// Commit implements site.Table.
func (t *table) Commit(_ context.Context, c site.Change) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Conditional && t.rows[c.Key].Revision != c.Revision {
		return 0, site.ErrConflict
	}
	t.revision++
	t.rows[c.Key] = site.Row{Key: c.Key, Value: c.Value, Revision: t.revision}
	return t.revision, nil
}
