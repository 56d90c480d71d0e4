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

// checkEvery is the number of steps between two checks of the invariants.
const checkEvery = 10

var epoch = time.Unix(1_000_000, 0)

// simulation runs daemons in virtual time, each with a clock of its own rate, over
// links with delays, message loss and partitions. For each key it keeps a
// reference: a token bucket that starts full, is refilled at exactly the limit's
// rate, and loses one token for each admitted request. If its level is negative,
// the limit was exceeded.
type simulation struct {
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand
	nodes []*node
	seats []state.DaemonID

	// replacedNodes are earlier incarnations that run on after they were replaced.
	replacedNodes []*node
	keys          []limit.Key
	reference     map[limit.Key]*referenceBucket

	loss                float64
	minDelay            time.Duration
	maxDelay            time.Duration
	reorderAndDuplicate bool // delay one message in 50 by up to 4 s, duplicate one in 50
	measure             bool // count bytes instead of spendable tokens
	verify              bool // check the invariants
	violation           string
	steps               int

	messages int
}

// referenceBucket is the reference for one key, with what was observed of it.
type referenceBucket struct {
	customer        service.Customer
	level           float64
	at              time.Duration
	minLevel        float64 // lowest level
	maxSpendable    int     // most tokens spendable at the same time
	requests        int
	admitted        int
	admittedByBin   []int   // requests admitted, by 100 ms
	centralLevel    float64 // level of one central bucket with the same demand
	centralAt       time.Duration
	centralAdmitted int
	lastOwner       state.DaemonID // the last one that sent tokens to another daemon
}

type node struct {
	id          state.DaemonID
	incarnation state.Incarnation
	m           *limit.Limiter
	rate        float64
	offset      time.Duration
	pausedTo    time.Duration
	dead        bool
	partition   int
	admitted    int
	sent        int // bytes
	nextTick    time.Duration
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

func newSimulation(seed uint64, daemons, seats int, customers ...service.Customer) *simulation {
	sim := &simulation{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		reference: make(map[limit.Key]*referenceBucket),
		minDelay:  200 * time.Microsecond,
		maxDelay:  time.Millisecond,
	}
	for _, c := range customers {
		k := limit.Key{Service: "s", Customer: c.ID}
		sim.keys = append(sim.keys, k)
		sim.reference[k] = &referenceBucket{
			customer: c, level: float64(c.Burst), minLevel: float64(c.Burst), centralLevel: float64(c.Burst),
			admittedByBin: make([]int, 3000),
		}
	}
	var ids []state.DaemonID
	for i := range daemons {
		ids = append(ids, state.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	sim.seats = ids[:seats]
	for _, id := range ids {
		n := &node{id: id, incarnation: 1}
		sim.nodes = append(sim.nodes, n)
		sim.start(n, sim.seats)
	}
	return sim
}

// start starts an incarnation of n with a new clock.
func (sim *simulation) start(n *node, seats []state.DaemonID) {
	n.rate = 0.99 + 0.02*sim.rng.Float64()
	n.offset = time.Duration(sim.rng.Int64N(int64(time.Hour)))
	n.dead = false
	n.pausedTo = 0
	n.m = limit.New(limit.Config{Self: state.Member{ID: n.id, Incarnation: n.incarnation}, Seats: seats}, sim.clock(n))
	var customers []service.Customer
	for _, k := range sim.keys {
		customers = append(customers, sim.reference[k].customer)
	}
	sim.step(n, limit.Limits{Service: "s", Customers: customers})
}

// replaceAt pauses node i at the simulated time at, for the duration pause, and starts
// the node's next incarnation delay after at. The old incarnation resumes at the end of
// its pause, while the new one runs.
func (sim *simulation) replaceAt(i int, at, delay, pause time.Duration) {
	sim.schedule(at, func() {
		old := sim.nodes[i]
		old.pausedTo = sim.now + pause
		sim.schedule(sim.now+delay, func() {
			sim.replacedNodes = append(sim.replacedNodes, old)
			sim.nodes[i] = &node{id: old.id, incarnation: old.incarnation + 1}
			sim.start(sim.nodes[i], sim.seats)
		})
	})
}

func (sim *simulation) restart(i int) {
	n := sim.nodes[i]
	n.dead = true
	next := &node{id: n.id, incarnation: n.incarnation + 1, partition: n.partition}
	sim.nodes[i] = next
	sim.start(next, sim.seats)
}

// allNodes returns every incarnation that may still run.
func (sim *simulation) allNodes() []*node {
	if len(sim.replacedNodes) == 0 {
		return sim.nodes
	}
	return slices.Concat(sim.replacedNodes, sim.nodes)
}

// clock returns the time on n's clock.
func (sim *simulation) clock(n *node) time.Time {
	return epoch.Add(n.offset + time.Duration(float64(sim.now)*n.rate))
}

func (sim *simulation) schedule(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: max(t, sim.now), seq: sim.seq, do: do})
}

// runOn runs do on n at time t or after n's pause, unless that incarnation has
// ended.
func (sim *simulation) runOn(t time.Duration, n *node, do func()) {
	sim.schedule(t, func() {
		switch {
		case n.dead:
		case n.pausedTo > sim.now:
			sim.runOn(n.pausedTo, n, do)
		default:
			do()
		}
	})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		ev := heap.Pop(&sim.queue).(event)
		sim.now = ev.at
		ev.do()
	}
	sim.now = until
}

func (sim *simulation) step(n *node, ev limit.Event) {
	for _, a := range n.m.Step(sim.clock(n), ev) {
		switch a := a.(type) {
		case limit.Send:
			sim.send(n, a)
		case limit.Admit:
			n.admitted++
			sim.recordAdmission(sim.keys[a.Call])
		}
	}
	sim.steps++
	if sim.steps%checkEvery == 0 && !sim.measure {
		for _, k := range sim.keys {
			sim.recordSpendable(k)
			if sim.verify {
				sim.checkInvariants(k)
			}
		}
	}
	next := time.Duration(float64(n.m.NextTick().Sub(epoch)-n.offset)/n.rate) + 1
	if next != n.nextTick {
		n.nextTick = next
		sim.runOn(next, n, func() {
			if n.nextTick == next {
				n.nextTick = 0
				sim.step(n, limit.Tick{})
			}
		})
	}
}

// recordSpendable records the tokens that are spendable at the same time.
func (sim *simulation) recordSpendable(k limit.Key) {
	sum := 0
	for _, n := range sim.allNodes() {
		if !n.dead {
			sum += n.m.Spendable(sim.clock(n), k)
		}
	}
	sim.reference[k].maxSpendable = max(sim.reference[k].maxSpendable, sum)
}

// checkInvariants looks for a seat counted by two owners, an owner with more
// outstanding tokens than its seats allow, a holder with tokens that their owner
// no longer counts, and more tokens in total than the reference bucket has.
func (sim *simulation) checkInvariants(k limit.Key) {
	counted := make([]int, len(sim.seats))
	total := 0.0
	all := sim.allNodes()
	for _, o := range all {
		if o.dead {
			continue
		}
		for i, yes := range o.m.Counts(sim.clock(o), k) {
			if yes {
				counted[i]++
			}
		}
		level, burst, outstanding := o.m.Account(sim.clock(o), k)
		total += level
		owner := state.Member{ID: o.id, Incarnation: o.incarnation}
		sum := 0
		for _, h := range all {
			holder := state.Member{ID: h.id, Incarnation: h.incarnation}
			sum += outstanding[holder]
			if !h.dead && h.m.SpendableOf(sim.clock(h), k, owner) > outstanding[holder] {
				sim.violation = fmt.Sprintf("%s: %v holds tokens of %v that the owner no longer counts", k.Customer, holder, owner)
			}
		}
		if sum > burst {
			sim.violation = fmt.Sprintf("%s: %v has %d outstanding tokens, its seats allow %d", k.Customer, owner, sum, burst)
		}
	}
	for i, n := range counted {
		if n > 1 {
			sim.violation = fmt.Sprintf("%s: seat %d is counted by %d owners", k.Customer, i, n)
		}
	}
	for _, h := range all {
		if !h.dead {
			total += float64(h.m.Spendable(sim.clock(h), k))
		}
	}
	t := sim.reference[k]
	left := min(float64(t.customer.Burst), t.level+t.customer.RequestsPerSecond*(sim.now-t.at).Seconds())
	if total > left+1e-6 {
		sim.violation = fmt.Sprintf("%s: %v tokens in buckets and batches, the reference bucket has %v", k.Customer, total, left)
	}
}

func (sim *simulation) send(from *node, a limit.Send) {
	sim.messages++
	if sim.measure {
		b, _ := msgpack.Marshal(a.Msg)
		from.sent += len(b)
	}
	if g, ok := a.Msg.(limit.Grant); ok {
		for _, s := range g.Allocations {
			if s.Tokens > 0 {
				sim.reference[limit.Key{Service: s.Service, Customer: s.Customer}].lastOwner = from.id
			}
		}
	}
	if sim.rng.Float64() < sim.loss {
		return
	}
	delay := sim.minDelay + time.Duration(sim.rng.Int64N(int64(sim.maxDelay-sim.minDelay)))
	if sim.reorderAndDuplicate && sim.rng.IntN(50) == 0 {
		delay += time.Duration(sim.rng.Int64N(int64(4 * time.Second)))
	}
	copies := 1
	if sim.reorderAndDuplicate && sim.rng.IntN(50) == 0 {
		copies = 2
	}
	sender := state.Member{ID: from.id, Incarnation: from.incarnation}
	for _, to := range sim.allNodes() {
		if to.id == a.To && to.partition == from.partition {
			for range copies {
				sim.runOn(sim.now+delay, to, func() { sim.step(to, limit.Received{From: sender, Msg: a.Msg}) })
			}
		}
	}
}

func (sim *simulation) recordAdmission(k limit.Key) {
	t := sim.reference[k]
	t.level = min(float64(t.customer.Burst), t.level+t.customer.RequestsPerSecond*(sim.now-t.at).Seconds())
	t.at = sim.now
	t.level--
	t.minLevel = min(t.minLevel, t.level)
	t.admitted++
	t.admittedByBin[sim.now/(100*time.Millisecond)]++
}

// countRequest counts one request, and whether one central bucket would admit it.
func (t *referenceBucket) countRequest(now time.Duration) {
	t.requests++
	t.centralLevel = min(float64(t.customer.Burst), t.centralLevel+t.customer.RequestsPerSecond*(now-t.centralAt).Seconds())
	t.centralAt = now
	if t.centralLevel >= 1 {
		t.centralLevel--
		t.centralAdmitted++
	}
}

// usableShare returns the share of the limit that was admitted between two times.
func (t *referenceBucket) usableShare(from, until time.Duration) float64 {
	const bin = 100 * time.Millisecond
	sum := 0
	for i := from / bin; i < until/bin; i++ {
		sum += t.admittedByBin[i]
	}
	return float64(sum) / (t.customer.RequestsPerSecond * (until - from).Seconds())
}

// longestGap returns the longest time without an admission between two times, in
// steps of 100 ms.
func (t *referenceBucket) longestGap(from, until time.Duration) time.Duration {
	const bin = 100 * time.Millisecond
	longest, run := 0, 0
	for i := from / bin; i < until/bin; i++ {
		run++
		if t.admittedByBin[i] > 0 {
			run = 0
		}
		longest = max(longest, run)
	}
	return time.Duration(longest) * bin
}

// owner returns the node that gives out the tokens of key number k.
func (sim *simulation) owner(k int) *node {
	return sim.nodes[sim.index(sim.reference[sim.keys[k]].lastOwner)]
}

func (sim *simulation) index(id state.DaemonID) int {
	for i, n := range sim.nodes {
		if n.id == id {
			return i
		}
	}
	return 0
}

// generateLoad sends requests for key number k to nodes that pick returns,
// perSecond on average, with exponentially distributed gaps.
func (sim *simulation) generateLoad(k int, from, until time.Duration, perSecond float64, pick func() *node) {
	gap := func() time.Duration {
		return time.Duration(sim.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		sim.reference[sim.keys[k]].countRequest(sim.now)
		if n := pick(); !n.dead && n.pausedTo <= sim.now {
			sim.step(n, limit.Acquire{Call: uint64(k), Service: "s", Customer: sim.keys[k].Customer})
		}
		if t := sim.now + gap(); t < until {
			sim.schedule(t, next)
		}
	}
	sim.schedule(from+gap(), next)
}

// anyNode returns a uniformly random node.
func (sim *simulation) anyNode() *node {
	return sim.nodes[sim.rng.IntN(len(sim.nodes))]
}

// setView gives node i a view in which only the first live nodes are alive.
func (sim *simulation) setView(i, live int) {
	var members []state.Member
	for _, n := range sim.nodes[:live] {
		members = append(members, state.Member{ID: n.id, Incarnation: n.incarnation})
	}
	n := sim.nodes[i]
	sim.runOn(sim.now, n, func() { sim.step(n, limit.Members{Live: members}) })
}
