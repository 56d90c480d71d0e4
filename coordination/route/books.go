package route

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// ask is one Want from its beginning to its Done.
type ask struct {
	want    AcquireSlot
	pool    home.PoolID
	home    state.DaemonID // that was asked, or gave the grant
	tried   []home.PoolID
	misses  int // answers NotHome in a row
	replica state.ReplicaID
	held    bool
}

// books are this daemon's asks in one pool.
type books struct {
	held, waiting uint64 // as in home.PoolDigest
	asks          int
}

func (b *books) wait(k home.SlotRequestID) {
	b.waiting ^= k.Digest()
	b.asks++
}

func (b *books) unwait(k home.SlotRequestID) {
	b.waiting ^= k.Digest()
	b.asks--
}

func (b *books) hold(k home.SlotRequestID) {
	b.held ^= k.Digest()
	b.asks++
}

func (b *books) unhold(k home.SlotRequestID) {
	b.held ^= k.Digest()
	b.asks--
}

// renew sends every home one digest for each of its pools that this daemon
// uses: some 40 bytes a pool and second, whatever the number of requests.
func (r *Router) renew() {
	byHome := make(map[state.DaemonID][]home.PoolDigest)
	for _, id := range slices.Sorted(maps.Keys(r.layout.pools)) {
		p := r.layout.pools[id]
		if p.mine.asks == 0 {
			continue // a home that believes otherwise asks for a report
		}
		d := home.PoolDigest{Pool: id, Held: p.mine.held, Waiting: p.mine.waiting}
		byHome[p.home] = append(byHome[p.home], d)
	}
	for _, to := range slices.Sorted(maps.Keys(byHome)) {
		r.send(to, home.Renewal{Pools: byHome[to]})
	}
}

// report answers a home's query with everything held and waited for.
func (r *Router) report(to state.DaemonID, pool home.PoolID) {
	m := home.GrantReport{Pool: pool}
	for _, a := range r.inOrder() {
		if a.pool != pool {
			continue
		}
		if a.held {
			m.Held = append(m.Held, home.HeldGrant{ID: a.want.ID, Replica: a.replica, Class: a.want.Class})
		} else if a.home == to {
			m.Waiting = append(m.Waiting, a.want.ID)
		}
	}
	r.send(to, m)
}

// inOrder lists the asks by name, so that actions do not depend on a map's
// order.
func (r *Router) inOrder() []*ask {
	return slices.SortedFunc(maps.Values(r.asks), func(a, b *ask) int {
		return cmp.Or(cmp.Compare(a.want.ID.Request, b.want.ID.Request), cmp.Compare(a.want.ID.Attempt, b.want.ID.Attempt))
	})
}

// timer wakes the router for one ask. Timers of asks that ended are skipped.
type timer struct {
	at    time.Time
	ask   home.SlotRequestID
	retry bool // else the deadline
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	*t = append(*t, x.(timer))
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := len(old) - 1
	x := old[last]
	*t = old[:last]
	return x
}

func (r *Router) wake(at time.Time, k home.SlotRequestID, retry bool) {
	heap.Push(&r.timers, timer{at: at, ask: k, retry: retry})
}
