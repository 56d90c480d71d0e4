package claims

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BatchConfig holds the settings of a Batcher.
type BatchConfig struct {
	MaxRows     int // writes in one transaction
	MaxInFlight int // transactions in flight, not counting halves of a split one
	MaxPending  int // unanswered writes; more are answered NotSent

	// ReadThreshold is the size up to which the rows of a conflicting transaction
	// are read one by one; a larger transaction is split in halves.
	ReadThreshold int

	// CacheSize is how many rows a home caches to answer repeats, each for
	// CacheTTL, which is far shorter than the sweep's retention. A repeat that
	// reached the store would fail the transaction of its entire batch.
	CacheSize int
	CacheTTL  time.Duration

	MaxLazyDelay time.Duration // longest delay of a lazy write that no other write joins
	Retry        time.Duration // delay after a transaction that was not answered
	WriteTimeout time.Duration // unanswered writes fail after this time
}

// DefaultBatchConfig returns the values used by a daemon.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{
		MaxRows:       64,
		MaxInFlight:   1,
		MaxPending:    8192,
		ReadThreshold: 8,
		CacheSize:     32768,
		CacheTTL:      10 * time.Minute,
		MaxLazyDelay:  200 * time.Millisecond,
		Retry:         100 * time.Millisecond,
		WriteTimeout:  time.Second,
	}
}

// BatchEvent is an input of a Batcher: WriteRequested, StoreResult or Tick.
type BatchEvent interface {
	batchEvent()
}

// WriteRequested is a write requested by this daemon or another one.
type WriteRequested struct {
	From    state.Member
	Request WriteRequest
}

func (WriteRequested) batchEvent() {}
func (StoreResult) batchEvent()    {}
func (Tick) batchEvent()           {}

// BatchAction is an output of a Batcher: CallStore or Reply.
type BatchAction interface {
	batchAction()
}

// Reply answers a WriteRequested.
type Reply struct {
	To    state.Member
	Reply WriteReply
}

func (CallStore) batchAction() {}
func (Reply) batchAction()     {}

// write is an unanswered write, with later writes of the same key that wait for
// its result.
type write struct {
	from             state.Member
	req              WriteRequest
	receivedAt       time.Time // when it was requested
	mayHaveCommitted bool      // a transaction with this write may have been committed
	duplicates       []*write
}

// storeCall is a store call that is in flight or waits to be sent again.
type storeCall struct {
	writes    []*write
	read      bool      // a Get of the only write's row
	retryAt   time.Time // when to send it again; zero while in flight
	txn       store.Txn
	splitHalf bool // half of a split transaction
}

// Batcher is the key home's state machine. It combines the writes of many claims
// into few transactions, and coalesces writes of the same key so that only one is
// sent. It is only a relay: a claimant that gets no answer uses the store
// directly, and a Batcher that is wrong, late or duplicated costs extra writes,
// never a second run.
//
// One transaction is in flight at a time; the next one contains all writes that
// arrived meanwhile. So no write waits while the store is idle, and batches grow
// with the store's latency.
type Batcher struct {
	cfg      BatchConfig
	urgent   []*write
	lazy     []*write
	byKey    map[string]*write
	cache    *lru.Cache[string, cachedRow]
	calls    map[store.CallID]*storeCall
	callIDs  []store.CallID // keys of calls, oldest first
	lastCall store.CallID
	now      time.Time
	out      []BatchAction
	stats    BatchStats
}

// BatchStats holds the counters of a Batcher since its creation.
type BatchStats struct {
	Requested int // writes requested
	Coalesced int // of them, not sent because another write of the key was in flight
	FromCache int // of them, answered from the cache
	Txns      int // transactions sent
	Rows      int // rows in them
	Reads     int // rows read to resolve conflicts
	Conflicts int // transactions that conflicted
}

// cachedRow is a row as the home last saw it.
type cachedRow struct {
	row    store.Row
	seenAt time.Time
}

// NewBatcher returns an empty Batcher.
func NewBatcher(cfg BatchConfig) *Batcher {
	cache, err := lru.New[string, cachedRow](cfg.CacheSize)
	if err != nil {
		panic("claims: BatchConfig.CacheSize must be positive: " + err.Error())
	}
	return &Batcher{
		cfg:   cfg,
		cache: cache,
		byKey: make(map[string]*write),
		calls: make(map[store.CallID]*storeCall),
	}
}

// Stats returns the counters.
func (b *Batcher) Stats() BatchStats {
	return b.stats
}

// Pending returns the number of unanswered writes, duplicates not counted.
func (b *Batcher) Pending() int {
	return len(b.byKey)
}

// NextTick returns when the next Tick is due, zero for never.
func (b *Batcher) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, c := range b.calls {
		earlier(c.retryAt)
	}
	if len(b.lazy) > 0 && len(b.calls) == 0 {
		earlier(b.lazy[0].receivedAt.Add(b.cfg.MaxLazyDelay))
	}
	return next
}

// Step applies one event and returns the actions to carry out, in order.
func (b *Batcher) Step(now time.Time, ev BatchEvent) []BatchAction {
	b.now = now
	b.out = nil
	switch ev := ev.(type) {
	case WriteRequested:
		b.enqueueOrAnswer(&write{from: ev.From, req: ev.Request, receivedAt: now})
	case StoreResult:
		b.storeResult(ev.Result)
	case Tick:
	}
	b.sendRetries()
	b.sendBatches()
	return b.out
}

func (b *Batcher) enqueueOrAnswer(w *write) {
	b.stats.Requested++
	if first, ok := b.byKey[w.req.Key]; ok {
		b.stats.Coalesced++
		first.duplicates = append(first.duplicates, w)
		return
	}
	if row, ok := b.fromCache(w); ok {
		b.stats.FromCache++
		b.reply(w, store.Conflict, &row)
		return
	}
	if len(b.byKey) >= b.cfg.MaxPending {
		b.reply(w, store.NotSent, nil)
		return
	}
	b.enqueue(w)
}

// fromCache returns a cached row that proves that the write would conflict:
// revisions only grow. The row may have changed since. That is safe, because the
// claimant's next write is conditional on the cached revision, or the row is in a
// phase that never changes.
func (b *Batcher) fromCache(w *write) (store.Row, bool) {
	s, ok := b.cache.Get(w.req.Key)
	if !ok || b.now.Sub(s.seenAt) > b.cfg.CacheTTL || s.row.Revision <= w.req.Base {
		return store.Row{}, false
	}
	return s.row, true
}

func (b *Batcher) enqueue(w *write) {
	b.byKey[w.req.Key] = w
	if w.req.Lazy {
		b.lazy = append(b.lazy, w)
		return
	}
	b.urgent = append(b.urgent, w)
}
