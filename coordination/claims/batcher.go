package claims

import (
	"bytes"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// WriteRequest asks the key's home daemon for one conditional write of a claim
// row.
type WriteRequest struct {
	Call  uint64 `msgpack:"call"` // the claimant's own number
	Key   string `msgpack:"key"`  // row key
	Base  uint64 `msgpack:"base"` // revision to hold, 0 for no row
	Value []byte `msgpack:"value"`
	Lazy  bool   `msgpack:"lazy"` // may wait for other writes
}

// WriteReply answers a WriteRequest. Revision and Value are the row as written
// (store.Done) or as it stands (store.Conflict), where known: HasRow.
type WriteReply struct {
	Call     uint64       `msgpack:"call"`
	Status   store.Status `msgpack:"status"`
	HasRow   bool         `msgpack:"has_row"`
	Revision uint64       `msgpack:"revision"`
	Value    []byte       `msgpack:"value"`
}

// WriteRequest gives the message for a CallStore with ViaHome.
func (a CallStore) WriteRequest(call uint64) (WriteRequest, bool) {
	commit, ok := a.Call.Request.(store.Commit)
	if !ok {
		return WriteRequest{}, false
	}
	w := commit.Txn.Writes[0]
	return WriteRequest{
		Call:  call,
		Key:   w.Key,
		Base:  commit.Txn.Conditions[0].Revision,
		Value: w.Value,
		Lazy:  a.Call.Class == store.ClassLazy,
	}, true
}

// Result gives the answer to the CallStore that the request came from.
func (r WriteReply) Result(call store.CallID, key string) store.Result {
	res := store.Result{Call: call, Status: r.Status}
	if r.HasRow {
		res.Rows = []store.Row{{Table: Table, Key: key, Value: r.Value, Revision: r.Revision}}
	}
	return res
}

// BatchConfig tunes a Batcher.
type BatchConfig struct {
	MaxRows     int // writes in one transaction
	MaxInFlight int // transactions under way, not counting halves of a split one
	MaxPending  int // writes waiting; more are answered NotSent

	// ReadBelow is the size up to which the rows of a conflicting transaction
	// are read one by one; a larger one is halved.
	ReadBelow int

	// Remembered is how many rows a home keeps to answer repeats from, each for
	// RememberFor, far less than the sweep's retention. A repeat that went to
	// the store would fail the whole transaction that it is in.
	Remembered  int
	RememberFor time.Duration

	LazyDelay time.Duration // longest wait of a lazy write for company
	Retry     time.Duration // back-off after a transaction that was not answered
	Patience  time.Duration // after it a write is answered Unanswered
}

// DefaultBatchConfig returns the values used by a daemon.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{
		MaxRows:     64,
		MaxInFlight: 1,
		MaxPending:  8192,
		ReadBelow:   8,
		Remembered:  32768,
		RememberFor: 10 * time.Minute,
		LazyDelay:   200 * time.Millisecond,
		Retry:       100 * time.Millisecond,
		Patience:    time.Second,
	}
}

// BatchEvent is what a Batcher is told: Wanted, Answered or Tick.
type BatchEvent interface {
	batchEvent()
}

// Wanted is one write, from another daemon or this one.
type Wanted struct {
	From    state.Member
	Request WriteRequest
}

func (Wanted) batchEvent()   {}
func (Answered) batchEvent() {}
func (Tick) batchEvent()     {}

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
	Wanted     int // writes asked for
	Joined     int // of them, not sent because another of the key was under way
	Remembered int // of them, answered by a row that this home knew
	Txns       int // transactions sent
	Rows       int // rows in them
	Reads      int // rows read to settle conflicts
	Conflicts  int // transactions that conflicted
}

// seen is a row as a home last saw it.
type seen struct {
	row store.Row
	at  time.Time
}

// NewBatcher returns an empty Batcher.
func NewBatcher(cfg BatchConfig) *Batcher {
	recent, err := lru.New[string, seen](cfg.Remembered)
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
		earlier(b.lazy[0].at.Add(b.cfg.LazyDelay))
	}
	return next
}

// Step applies one event and returns what is to be done, in order.
func (b *Batcher) Step(now time.Time, ev BatchEvent) []BatchAction {
	b.now = now
	b.out = nil
	switch ev := ev.(type) {
	case Wanted:
		b.want(&item{from: ev.From, req: ev.Request, at: now})
	case Answered:
		b.answered(ev.Result)
	case Tick:
	}
	b.retry()
	b.fill()
	return b.out
}

func (b *Batcher) want(it *item) {
	b.stats.Wanted++
	if lead, ok := b.byKey[it.req.Key]; ok {
		b.stats.Joined++
		lead.followers = append(lead.followers, it)
		return
	}
	if row, ok := b.remembered(it); ok {
		b.stats.Remembered++
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
	if !ok || b.now.Sub(s.at) > b.cfg.RememberFor || s.row.Revision <= it.req.Base {
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

// fill sends transactions while the store has room.
func (b *Batcher) fill() {
	for b.underWay() < b.cfg.MaxInFlight {
		items := b.take()
		if len(items) == 0 {
			return
		}
		b.commit(items, false)
	}
}

func (b *Batcher) underWay() int {
	n := 0
	for _, f := range b.flights {
		if !f.half && !f.read {
			n++
		}
	}
	return n
}

// take picks the next batch: urgent writes first; lazy ones ride along, or go
// alone once the oldest has waited long enough.
func (b *Batcher) take() []*item {
	n := min(len(b.urgent), b.cfg.MaxRows)
	items := b.urgent[:n:n]
	b.urgent = b.urgent[n:]
	if n == 0 && (len(b.lazy) == 0 || b.now.Before(b.lazy[0].at.Add(b.cfg.LazyDelay))) {
		return nil
	}
	m := min(len(b.lazy), b.cfg.MaxRows-n)
	items = append(items, b.lazy[:m]...)
	b.lazy = b.lazy[m:]
	return items
}

func (b *Batcher) commit(items []*item, half bool) {
	var txn store.Txn
	for _, it := range items {
		txn.Conditions = append(txn.Conditions, store.Condition{Table: Table, Key: it.req.Key, Revision: it.req.Base})
		txn.Writes = append(txn.Writes, store.Write{Table: Table, Key: it.req.Key, Value: it.req.Value})
	}
	b.send(&flight{items: items, txn: txn, half: half}, store.Commit{Txn: txn})
}

func (b *Batcher) send(f *flight, req store.Request) {
	b.last++
	b.flights[b.last] = f
	b.order = append(b.order, b.last)
	f.retryAt = time.Time{}
	if f.read {
		b.stats.Reads++
	} else {
		b.stats.Txns++
		b.stats.Rows += len(f.items)
	}
	b.out = append(b.out, CallStore{Call: store.Call{ID: b.last, Class: store.ClassClaim, Request: req}})
}

func (b *Batcher) answered(res store.Result) {
	f, ok := b.flights[res.Call]
	if !ok || !f.retryAt.IsZero() {
		return
	}
	if f.read {
		b.drop(res.Call)
		b.didRead(f.items[0], res)
		return
	}
	switch res.Status {
	case store.Done:
		b.drop(res.Call)
		b.done(f, res)
	case store.Conflict:
		b.drop(res.Call)
		b.conflict(f)
	case store.NotSent:
		b.again(res.Call, f)
	case store.Unanswered:
		// All or nothing: the same transaction sent again either lands, or
		// conflicts because it (or another) did, and then the rows tell.
		for _, it := range f.items {
			it.maySent = true
		}
		b.again(res.Call, f)
	}
}

func (b *Batcher) drop(id store.CallID) {
	delete(b.flights, id)
	for i, o := range b.order {
		if o == id {
			b.order = append(b.order[:i], b.order[i+1:]...)
			return
		}
	}
}

func (b *Batcher) done(f *flight, res store.Result) {
	for i, it := range f.items {
		if i < len(res.Rows) {
			b.finish(it, store.Done, &res.Rows[i])
			continue
		}
		b.finish(it, store.Unanswered, nil)
	}
}

// conflict narrows down which row conflicted. Nothing was written.
func (b *Batcher) conflict(f *flight) {
	b.stats.Conflicts++
	if len(f.items) > b.cfg.ReadBelow {
		mid := len(f.items) / 2
		b.commit(f.items[:mid:mid], true)
		b.commit(f.items[mid:], true)
		return
	}
	for _, it := range f.items {
		b.send(&flight{items: []*item{it}, read: true}, store.Get{Table: Table, Key: it.req.Key})
	}
}

func (b *Batcher) didRead(it *item, res store.Result) {
	if res.Status != store.Done {
		b.finish(it, b.unanswered(it), nil)
		return
	}
	row, ok := res.Row()
	switch {
	case ok && row.Revision != it.req.Base && bytes.Equal(row.Value, it.req.Value):
		b.finish(it, store.Done, &row) // a lost transaction had landed
	case !ok && it.req.Base == 0, ok && row.Revision == it.req.Base:
		b.requeue(it) // another row of the batch conflicted
	case ok:
		b.finish(it, store.Conflict, &row)
	default:
		b.finish(it, store.Conflict, nil)
	}
}

func (b *Batcher) requeue(it *item) {
	if !b.now.Before(it.at.Add(b.cfg.Patience)) {
		b.finish(it, b.unanswered(it), nil)
		return
	}
	b.urgent = append([]*item{it}, b.urgent...)
}

func (b *Batcher) unanswered(it *item) store.Status {
	if it.maySent {
		return store.Unanswered
	}
	return store.NotSent
}

// again waits to send a flight once more, or gives its writes up.
func (b *Batcher) again(id store.CallID, f *flight) {
	f.retryAt = b.now.Add(b.cfg.Retry)
	if f.retryAt.Before(f.items[0].at.Add(b.cfg.Patience)) {
		return
	}
	b.drop(id)
	for _, it := range f.items {
		b.finish(it, b.unanswered(it), nil)
	}
}

func (b *Batcher) retry() {
	for _, id := range append([]store.CallID(nil), b.order...) {
		f := b.flights[id]
		if f.retryAt.IsZero() || b.now.Before(f.retryAt) {
			continue
		}
		b.drop(id)
		b.send(f, store.Commit{Txn: f.txn})
	}
}

// finish answers a write. Where its row is known, writes of the same key that
// waited conflict with it; otherwise the first of them is tried.
func (b *Batcher) finish(it *item, status store.Status, row *store.Row) {
	b.reply(it, status, row)
	delete(b.byKey, it.req.Key)
	if row != nil {
		b.recent.Add(it.req.Key, seen{row: *row, at: b.now})
	}
	if len(it.followers) == 0 {
		return
	}
	if row != nil {
		for _, f := range it.followers {
			b.reply(f, store.Conflict, row)
		}
		return
	}
	next := it.followers[0]
	next.followers = it.followers[1:]
	next.at = b.now
	b.queue(next)
}

func (b *Batcher) reply(it *item, status store.Status, row *store.Row) {
	r := WriteReply{Call: it.req.Call, Status: status}
	if row != nil {
		r.HasRow = true
		r.Revision = row.Revision
		r.Value = row.Value
	}
	b.out = append(b.out, Reply{To: it.from, Reply: r})
}
