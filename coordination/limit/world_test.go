package limit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// checkEvery is how many steps pass between two checks of a verified world.
const checkEvery = 10

var epoch = time.Unix(1_000_000, 0)

// world runs daemons in virtual time, each on a clock of its own rate, over
// links that delay, lose and part. It keeps the true record of each key: a
// token bucket that starts full, fills at exactly the limit, and is one lower
// for each admitted request. Below zero, the limit was overshot.
type world struct {
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand
	nodes []*node
	seats []state.DaemonID

	// strays are earlier lives that a replacement has not ended.
	strays []*node
	keys   []limit.Key
	truth  map[limit.Key]*truth

	loss     float64
	minDelay time.Duration
	maxDelay time.Duration
	unruly   bool // one message in 50 comes up to 4 s late, one in 50 twice
	measure  bool // count bytes, and not what is spendable
	verify   bool // check the invariants of check after each step
	broken   string
	steps    int

	messages int
}

type truth struct {
	customer service.Customer
	level    float64
	at       time.Duration
	lowest   float64 // of level
	most     int     // spendable at one time
	asked    int
	admitted int
	bins     []int   // admitted, by 100 ms
	ideal    float64 // level of one central bucket that is asked the same
	idealAt  time.Duration
	idealAdm int
	owner    state.DaemonID // the last that gave another daemon tokens
}

type node struct {
	id       state.DaemonID
	life     state.Incarnation
	m        *limit.Limiter
	rate     float64
	offset   time.Duration
	pausedTo time.Duration
	dead     bool
	side     int
	admitted int
	sent     int // bytes
	wake     time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, daemons, seats int, customers ...service.Customer) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		truth:    make(map[limit.Key]*truth),
		minDelay: 200 * time.Microsecond,
		maxDelay: time.Millisecond,
	}
	for _, c := range customers {
		k := limit.Key{Service: "s", Customer: c.ID}
		w.keys = append(w.keys, k)
		w.truth[k] = &truth{
			customer: c, level: float64(c.Burst), lowest: float64(c.Burst), ideal: float64(c.Burst),
			bins: make([]int, 3000),
		}
	}
	var ids []state.DaemonID
	for i := range daemons {
		ids = append(ids, state.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	w.seats = ids[:seats]
	for _, id := range ids {
		n := &node{id: id, life: 1}
		w.nodes = append(w.nodes, n)
		w.boot(n, w.seats)
	}
	return w
}

// boot starts a life of n with a new clock.
func (w *world) boot(n *node, seats []state.DaemonID) {
	n.rate = 0.99 + 0.02*w.rng.Float64()
	n.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	n.dead = false
	n.pausedTo = 0
	n.m = limit.New(limit.Config{Self: state.Member{ID: n.id, Incarnation: n.life}, Seats: seats}, w.clock(n))
	var customers []service.Customer
	for _, k := range w.keys {
		customers = append(customers, w.truth[k].customer)
	}
	w.step(n, limit.Limits{Service: "s", Customers: customers})
}

// replaceAt pauses node i for a while and starts its next life meanwhile; the
// old one wakes beside it.
func (w *world) replaceAt(i int, at, after, pause time.Duration) {
	w.at(at, func() {
		old := w.nodes[i]
		old.pausedTo = w.now + pause
		w.at(w.now+after, func() {
			w.strays = append(w.strays, old)
			w.nodes[i] = &node{id: old.id, life: old.life + 1}
			w.boot(w.nodes[i], w.seats)
		})
	})
}

func (w *world) restart(i int) {
	n := w.nodes[i]
	n.dead = true
	next := &node{id: n.id, life: n.life + 1, side: n.side}
	w.nodes[i] = next
	w.boot(next, w.seats)
}

// all returns every life that may still run.
func (w *world) all() []*node {
	if len(w.strays) == 0 {
		return w.nodes
	}
	return slices.Concat(w.strays, w.nodes)
}

// clock reads n's clock.
func (w *world) clock(n *node) time.Time {
	return epoch.Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: max(t, w.now), seq: w.seq, do: do})
}

// on runs do on n once it is not paused, and never if that life has ended.
func (w *world) on(t time.Duration, n *node, do func()) {
	w.at(t, func() {
		switch {
		case n.dead:
		case n.pausedTo > w.now:
			w.on(n.pausedTo, n, do)
		default:
			do()
		}
	})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		ev := heap.Pop(&w.queue).(event)
		w.now = ev.at
		ev.do()
	}
	w.now = until
}

func (w *world) step(n *node, ev limit.Event) {
	for _, a := range n.m.Step(w.clock(n), ev) {
		switch a := a.(type) {
		case limit.Send:
			w.send(n, a)
		case limit.Admit:
			n.admitted++
			w.admitted(w.keys[a.Call])
		}
	}
	w.steps++
	if w.steps%checkEvery == 0 && !w.measure {
		for _, k := range w.keys {
			w.count(k)
			if w.verify {
				w.check(k)
			}
		}
	}
	next := time.Duration(float64(n.m.NextTick().Sub(epoch)-n.offset)/n.rate) + 1
	if next != n.wake {
		n.wake = next
		w.on(next, n, func() {
			if n.wake == next {
				n.wake = 0
				w.step(n, limit.Tick{})
			}
		})
	}
}

// count notes what is spendable at one time.
func (w *world) count(k limit.Key) {
	sum := 0
	for _, n := range w.all() {
		if !n.dead {
			sum += n.m.Spendable(w.clock(n), k)
		}
	}
	w.truth[k].most = max(w.truth[k].most, sum)
}

// check looks for a seat counted twice, an owner with more tokens out than its
// seats allow, a holder with tokens that their owner has written off, and more
// to give and spend in total than the true bucket holds.
func (w *world) check(k limit.Key) {
	counted := make([]int, len(w.seats))
	total := 0.0
	all := w.all()
	for _, o := range all {
		if o.dead {
			continue
		}
		for i, yes := range o.m.Counts(w.clock(o), k) {
			if yes {
				counted[i]++
			}
		}
		level, burst, out := o.m.Account(w.clock(o), k)
		total += level
		owner := state.Member{ID: o.id, Incarnation: o.life}
		sum := 0
		for _, h := range all {
			holder := state.Member{ID: h.id, Incarnation: h.life}
			sum += out[holder]
			if !h.dead && h.m.SpendableOf(w.clock(h), k, owner) > out[holder] {
				w.broken = fmt.Sprintf("%s: %v holds tokens of %v that it has written off", k.Customer, holder, owner)
			}
		}
		if sum > burst {
			w.broken = fmt.Sprintf("%s: %v has %d tokens out, its seats allow %d", k.Customer, owner, sum, burst)
		}
	}
	for i, n := range counted {
		if n > 1 {
			w.broken = fmt.Sprintf("%s: seat %d counts at %d owners", k.Customer, i, n)
		}
	}
	for _, h := range all {
		if !h.dead {
			total += float64(h.m.Spendable(w.clock(h), k))
		}
	}
	t := w.truth[k]
	left := min(float64(t.customer.Burst), t.level+t.customer.RequestsPerSecond*(w.now-t.at).Seconds())
	if total > left+1e-6 {
		w.broken = fmt.Sprintf("%s: %v to give and spend, the limit has left %v", k.Customer, total, left)
	}
}

func (w *world) send(from *node, a limit.Send) {
	w.messages++
	if w.measure {
		b, _ := msgpack.Marshal(a.Msg)
		from.sent += len(b)
	}
	if g, ok := a.Msg.(limit.Grant); ok {
		for _, s := range g.Allocations {
			if s.Tokens > 0 {
				w.truth[limit.Key{Service: s.Service, Customer: s.Customer}].owner = from.id
			}
		}
	}
	if w.rng.Float64() < w.loss {
		return
	}
	delay := w.minDelay + time.Duration(w.rng.Int64N(int64(w.maxDelay-w.minDelay)))
	if w.unruly && w.rng.IntN(50) == 0 {
		delay += time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	copies := 1
	if w.unruly && w.rng.IntN(50) == 0 {
		copies = 2
	}
	sender := state.Member{ID: from.id, Incarnation: from.life}
	for _, to := range w.all() {
		if to.id == a.To && to.side == from.side {
			for range copies {
				w.on(w.now+delay, to, func() { w.step(to, limit.Received{From: sender, Msg: a.Msg}) })
			}
		}
	}
}

func (w *world) admitted(k limit.Key) {
	t := w.truth[k]
	t.level = min(float64(t.customer.Burst), t.level+t.customer.RequestsPerSecond*(w.now-t.at).Seconds())
	t.at = w.now
	t.level--
	t.lowest = min(t.lowest, t.level)
	t.admitted++
	t.bins[w.now/(100*time.Millisecond)]++
}

// ask notes one question, and what one central bucket would answer.
func (t *truth) ask(now time.Duration) {
	t.asked++
	t.ideal = min(float64(t.customer.Burst), t.ideal+t.customer.RequestsPerSecond*(now-t.idealAt).Seconds())
	t.idealAt = now
	if t.ideal >= 1 {
		t.ideal--
		t.idealAdm++
	}
}

// usable is the share of the limit that was admitted between two times.
func (t *truth) usable(from, until time.Duration) float64 {
	const bin = 100 * time.Millisecond
	sum := 0
	for i := from / bin; i < until/bin; i++ {
		sum += t.bins[i]
	}
	return float64(sum) / (t.customer.RequestsPerSecond * (until - from).Seconds())
}

// gap is the longest time without an admission between two times, to 100 ms.
func (t *truth) gap(from, until time.Duration) time.Duration {
	const bin = 100 * time.Millisecond
	longest, run := 0, 0
	for i := from / bin; i < until/bin; i++ {
		run++
		if t.bins[i] > 0 {
			run = 0
		}
		longest = max(longest, run)
	}
	return time.Duration(longest) * bin
}

// owner is the node that gives out the tokens of key number k.
func (w *world) owner(k int) *node {
	return w.nodes[w.index(w.truth[w.keys[k]].owner)]
}

func (w *world) index(id state.DaemonID) int {
	for i, n := range w.nodes {
		if n.id == id {
			return i
		}
	}
	return 0
}

// load asks for key number k at a node that pick chooses, perSecond times a
// second, with exponential gaps.
func (w *world) load(k int, from, until time.Duration, perSecond float64, pick func() *node) {
	gap := func() time.Duration {
		return time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		w.truth[w.keys[k]].ask(w.now)
		if n := pick(); !n.dead && n.pausedTo <= w.now {
			w.step(n, limit.Acquire{Call: uint64(k), Service: "s", Customer: w.keys[k].Customer})
		}
		if t := w.now + gap(); t < until {
			w.at(t, next)
		}
	}
	w.at(from+gap(), next)
}

// anyNode picks evenly.
func (w *world) anyNode() *node {
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// believe gives node i a view in which only the first live nodes live.
func (w *world) believe(i, live int) {
	var members []state.Member
	for _, n := range w.nodes[:live] {
		members = append(members, state.Member{ID: n.id, Incarnation: n.life})
	}
	n := w.nodes[i]
	w.on(w.now, n, func() { w.step(n, limit.Members{Live: members}) })
}
