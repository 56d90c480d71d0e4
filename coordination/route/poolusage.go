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

// slotRequest is one AcquireSlot until its ReleaseSlot.
type slotRequest struct {
	acquire      AcquireSlot
	pool         home.PoolID
	home         state.DaemonID // that was sent the request or granted it
	triedPools   []home.PoolID
	notHomeCount int // consecutive NotHome answers
	replica      state.ReplicaID
	held         bool
}

// poolUsage counts this daemon's requests in one pool.
type poolUsage struct {
	held, waiting uint64 // as in home.PoolDigest
	requestCount  int
}

func (b *poolUsage) addWaiting(k home.SlotRequestID) {
	b.waiting ^= k.Digest()
	b.requestCount++
}

func (b *poolUsage) removeWaiting(k home.SlotRequestID) {
	b.waiting ^= k.Digest()
	b.requestCount--
}

func (b *poolUsage) addHeld(k home.SlotRequestID) {
	b.held ^= k.Digest()
	b.requestCount++
}

func (b *poolUsage) removeHeld(k home.SlotRequestID) {
	b.held ^= k.Digest()
	b.requestCount--
}

// renew sends every home one digest for each of its pools that this daemon uses: some
// 40 bytes per pool and second, independent of the number of requests.
func (r *Router) renew() {
	byHome := make(map[state.DaemonID][]home.PoolDigest)
	for _, id := range slices.Sorted(maps.Keys(r.layout.pools)) {
		p := r.layout.pools[id]
		if p.usage.requestCount == 0 {
			continue // a home whose record differs asks for a report
		}
		d := home.PoolDigest{Pool: id, Held: p.usage.held, Waiting: p.usage.waiting}
		byHome[p.home] = append(byHome[p.home], d)
	}
	for _, to := range slices.Sorted(maps.Keys(byHome)) {
		r.send(to, home.Renewal{Pools: byHome[to]})
	}
}

// report answers a home's query with all slots that are held and all requests that
// wait.
func (r *Router) report(to state.DaemonID, pool home.PoolID) {
	m := home.GrantReport{Pool: pool}
	for _, req := range r.requestsInOrder() {
		if req.pool != pool {
			continue
		}
		if req.held {
			m.Held = append(m.Held, home.HeldGrant{ID: req.acquire.ID, Replica: req.replica, Class: req.acquire.Class})
		} else if req.home == to {
			m.Waiting = append(m.Waiting, req.acquire.ID)
		}
	}
	r.send(to, m)
}

// requestsInOrder returns the requests by ID, so that actions do not depend on map
// iteration.
func (r *Router) requestsInOrder() []*slotRequest {
	return slices.SortedFunc(maps.Values(r.requests), func(a, b *slotRequest) int {
		return cmp.Or(cmp.Compare(a.acquire.ID.Request, b.acquire.ID.Request), cmp.Compare(a.acquire.ID.Attempt, b.acquire.ID.Attempt))
	})
}

// timer is a timer of one request. Timers of requests that have ended are ignored.
type timer struct {
	at        time.Time
	requestID home.SlotRequestID
	retry     bool // otherwise the deadline
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

func (r *Router) startTimer(at time.Time, k home.SlotRequestID, retry bool) {
	heap.Push(&r.timers, timer{at: at, requestID: k, retry: retry})
}
