package claims

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BatchConfig tunes a Batcher.
type BatchConfig struct {
	MaxRows     int // writes in one transaction
	MaxInFlight int // transactions under way, not counting halves of a split one
	MaxPending  int // writes waiting; more are answered NotSent

	// ReadBelow is the size up to which the rows of a conflicting transaction
	// are read one by one; a larger one is halved.
	ReadThreshold int

	// Remembered is how many rows a home keeps to answer repeats from, each for
	// RememberFor, far less than the sweep's retention. A repeat that went to
	// the store would fail the whole transaction that it is in.
	CacheSize int
	CacheTTL  time.Duration

	MaxLazyDelay time.Duration // longest wait of a lazy write for company
	Retry        time.Duration // back-off after a transaction that was not answered
	WriteTimeout time.Duration // after it a write is answered Unanswered
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

// BatchEvent is what a Batcher is told: Wanted, Answered or Tick.
type BatchEvent interface {
	batchEvent()
}

// Wanted is one write, from another daemon or this one.
type WriteRequested struct {
	From    state.Member
	Request WriteRequest
}

func (WriteRequested) batchEvent() {}
func (StoreResult) batchEvent()    {}
func (Tick) batchEvent()           {}

// BatchAction is what a Batcher asks for: CallStore or Reply.
type BatchAction interface {
	batchAction()
}

// Reply answers a Wanted.
type Reply struct {
	To    state.Member
	Reply WriteReply
}

func (CallStore) batchAction() {}
func (Reply) batchAction()     {}

// item is one write on its way, with the later writes of the same key that
// wait for what becomes of it.
type item struct {
	from      state.Member
	req       WriteRequest
	at        time.Time // when it was wanted
	maySent   bool      // some transaction with it may have landed
	followers []*item
}

// flight is one store call under way.
type flight struct {
	items   []*item
	read    bool      // a Get of the only item
	retryAt time.Time // waiting to be sent again, zero while under way
	txn     store.Txn
	half    bool // half of a split transaction
}

// Batcher is the key home's machine: it gathers the writes of many claims into
// few transactions, and joins writes of one key so that only one is sent. It
// is a relay: a claimant that gets no answer goes to the store itself, and a
// Batcher that is wrong, late or doubled costs writes, never a second run.
//
// One transaction is under way at a time, and takes all that came meanwhile:
// no write waits while the store is idle, and the busier the store the larger
// the batches.
type Batcher struct {
	cfg     BatchConfig
	urgent  []*item
	lazy    []*item
	byKey   map[string]*item
	recent  *lru.Cache[string, seen]
	flights map[store.CallID]*flight
	order   []store.CallID // ids of flights, oldest first
	last    store.CallID
	now     time.Time
	out     []BatchAction
	stats   BatchStats
}

// BatchStats counts what a Batcher did since it was made.
type BatchStats struct {
	Requested int // writes asked for
	Coalesced int // of them, not sent because another of the key was under way
	FromCache int // of them, answered by a row that this home knew
	Txns      int // transactions sent
	Rows      int // rows in them
	Reads     int // rows read to settle conflicts
	Conflicts int // transactions that conflicted
}

// seen is a row as a home last saw it.
type seen struct {
	row store.Row
	at  time.Time
}

// NewBatcher returns an empty Batcher.
func NewBatcher(cfg BatchConfig) *Batcher {
	recent, err := lru.New[string, seen](cfg.CacheSize)
	if err != nil {
		panic("claims: BatchConfig.Remembered must be positive: " + err.Error())
	}
	return &Batcher{
		cfg:     cfg,
		recent:  recent,
		byKey:   make(map[string]*item),
		flights: make(map[store.CallID]*flight),
	}
}

// Stats returns the counts so far.
func (b *Batcher) Stats() BatchStats {
	return b.stats
}

// Pending counts the writes that are not answered yet, followers aside.
func (b *Batcher) Pending() int {
	return len(b.byKey)
}

// NextTick returns when the Batcher next wants a Tick, zero for never.
func (b *Batcher) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, f := range b.flights {
		earlier(f.retryAt)
	}
	if len(b.lazy) > 0 && len(b.flights) == 0 {
		earlier(b.lazy[0].at.Add(b.cfg.MaxLazyDelay))
	}
	return next
}

// Step applies one event and returns what is to be done, in order.
func (b *Batcher) Step(now time.Time, ev BatchEvent) []BatchAction {
	b.now = now
	b.out = nil
	switch ev := ev.(type) {
	case WriteRequested:
		b.want(&item{from: ev.From, req: ev.Request, at: now})
	case StoreResult:
		b.answered(ev.Result)
	case Tick:
	}
	b.retry()
	b.fill()
	return b.out
}

func (b *Batcher) want(it *item) {
	b.stats.Requested++
	if lead, ok := b.byKey[it.req.Key]; ok {
		b.stats.Coalesced++
		lead.followers = append(lead.followers, it)
		return
	}
	if row, ok := b.remembered(it); ok {
		b.stats.FromCache++
		b.reply(it, store.Conflict, &row)
		return
	}
	if len(b.byKey) >= b.cfg.MaxPending {
		b.reply(it, store.NotSent, nil)
		return
	}
	b.queue(it)
}

// remembered returns a row that shows that the write can't land: revisions only
// grow. The row may have changed since; whatever the claimant does next is
// conditioned on its revision, or ends in a phase that does not change.
func (b *Batcher) remembered(it *item) (store.Row, bool) {
	s, ok := b.recent.Get(it.req.Key)
	if !ok || b.now.Sub(s.at) > b.cfg.CacheTTL || s.row.Revision <= it.req.Base {
		return store.Row{}, false
	}
	return s.row, true
}

func (b *Batcher) queue(it *item) {
	b.byKey[it.req.Key] = it
	if it.req.Lazy {
		b.lazy = append(b.lazy, it)
		return
	}
	b.urgent = append(b.urgent, it)
}
