package route

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// missesPerPool is how often a pool whose home can't be found is asked before
// another pool is.
const missesPerPool = 3

// Router gets slots for the requests of one entry daemon.
type Router struct {
	cfg     Config
	pick    picker
	layout  layout
	live    []Peer
	asks    map[home.SlotRequestID]*ask
	leaving map[state.ReplicaID]bool
	timers  timers
	renewAt time.Time
	own     []home.PoolSpec
	out     []Action
}

// New returns a router that knows of no member and no replica yet.
func New(cfg Config, rng *rand.Rand) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:     cfg,
		pick:    picker{rng: rng, maxAge: cfg.SummaryTTL},
		layout:  newLayout(),
		asks:    make(map[home.SlotRequestID]*ask),
		leaving: make(map[state.ReplicaID]bool),
	}
}

// Step takes one event. The actions are valid until the next call.
func (r *Router) Step(now time.Time, ev Event) []Action {
	r.out = r.out[:0]
	if r.renewAt.IsZero() {
		// Spread the renewals of daemons that start together.
		r.renewAt = now.Add(time.Duration(r.pick.rng.Int64N(int64(r.cfg.RenewInterval))))
	}
	switch e := ev.(type) {
	case Tick:
		r.tick(now)
	case Received:
		r.received(now, e.From, e.Msg)
	case ViewChanged:
		r.live = slices.Clone(e.Live)
		r.resettle(now)
	case Reconnected:
		r.repeat(now, e.Peer)
	case ReplicasChanged:
		r.replicas(now, e)
	case ReplicaLeaving:
		r.leaving[e.Replica] = true
	case RegionsChanged:
		r.cfg.Regions = e.Regions
	case ReplicaReturned:
		delete(r.leaving, e.Replica)
	case AcquireSlot:
		r.want(now, e)
	case ExclusiveEnded:
		r.passed(e.ID)
	case ReleaseSlot:
		r.done(e)
	case CancelAcquire:
		r.cancel(e.ID)
	}
	return r.out
}

// NextTick returns when Step next wants a Tick; the zero time before the first
// Step.
func (r *Router) NextTick() time.Time {
	if len(r.timers) > 0 && r.timers[0].at.Before(r.renewAt) {
		return r.timers[0].at
	}
	return r.renewAt
}

// Home returns the pool's home daemon as this daemon sees it.
func (r *Router) Home(pool home.PoolID) (state.DaemonID, bool) {
	p := r.layout.pools[pool]
	if p == nil {
		return "", false
	}
	return p.home, true
}

// HomeOf returns the home daemon of a replica's pool as this daemon sees it.
func (r *Router) HomeOf(replica state.ReplicaID) (state.DaemonID, bool) {
	return r.Home(r.layout.ofRep[replica])
}

func (r *Router) send(to state.DaemonID, msg home.Message) {
	r.out = append(r.out, Send{To: to, Msg: msg})
}

func (r *Router) tick(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		t := heap.Pop(&r.timers).(timer)
		a := r.asks[t.ask]
		switch {
		case a == nil || a.held:
		case t.retry:
			r.askAgain(now, a)
		default:
			// The home is silent past the deadline; it may still grant, and
			// then gets the slot back unused.
			r.send(a.home, home.CancelSlotRequest{ID: t.ask, Pool: a.pool})
			r.giveUp(a, state.ReasonDeadline, 0)
		}
	}
	if !now.Before(r.renewAt) {
		r.renewAt = now.Add(r.cfg.RenewInterval)
		r.renew()
	}
}

// replicas takes a service's replicas. What is held moves with its replica to
// the pool that the replica is in now.
func (r *Router) replicas(now time.Time, e ReplicasChanged) {
	specs := Partition(e, r.cfg.Regions, r.cfg.PoolSize)
	r.returned(e)
	regionOf := func(s home.PoolSpec) state.Region { return r.cfg.Regions[s.Replicas[0].FailureDomain] }
	r.layout.place(e.Service, specs, regionOf, r.cfg.Region)
	r.rebook()
	r.resettle(now)
}

// returned forgets that replicas are leaving which are gone now, or whose
// processes are others.
func (r *Router) returned(e ReplicasChanged) {
	service := r.layout.services[e.Service]
	if service == nil {
		return
	}
	now := make(map[state.ReplicaID]state.Replica, len(e.Replicas))
	for _, rep := range e.Replicas {
		now[rep.ID] = rep
	}
	for _, p := range service.pools {
		for _, was := range p.spec.Replicas {
			is, there := now[was.ID]
			if !there || was.Leaving && !is.Leaving || !slices.Equal(was.Stages, is.Stages) {
				delete(r.leaving, was.ID)
			}
		}
	}
}

// rebook counts all asks anew by pool.
func (r *Router) rebook() {
	for _, p := range r.layout.pools {
		p.mine = books{}
	}
	for k, a := range r.asks {
		if pool, ok := r.layout.ofRep[a.replica]; ok && a.held {
			a.pool = pool
		}
		p := r.layout.pools[a.pool]
		switch {
		case p == nil:
		case a.held:
			p.mine.hold(k)
		default:
			p.mine.wait(k)
		}
	}
}

// resettle computes the homes anew and asks again where one has changed.
func (r *Router) resettle(now time.Time) {
	r.layout.settle(r.live)
	for _, a := range r.inOrder() {
		if a.held {
			continue
		}
		p := r.layout.pools[a.pool]
		if p == nil {
			r.elsewhere(now, a, state.ReasonNoReplica, 1)
			continue
		}
		if p.home != a.home {
			p.load = lastSeen{}
			r.request(now, a, p)
		}
	}
	own := r.layout.owned(r.cfg.Self.ID)
	if !slices.EqualFunc(own, r.own, sameSpec) {
		r.own = own
		r.out = append(r.out, PoolsAssigned{Pools: own})
	}
}

func sameSpec(a, b home.PoolSpec) bool {
	return a.ID == b.ID && slices.EqualFunc(a.Replicas, b.Replicas, func(x, y state.Replica) bool {
		return x.ID == y.ID && x.Slots == y.Slots && x.Speed == y.Speed && x.Leaving == y.Leaving &&
			slices.Equal(x.Stages, y.Stages)
	})
}

// repeat sends the asks that wait at a peer again: messages to or from it were
// lost with a connection. Homes know an ask that they have already.
func (r *Router) repeat(now time.Time, peer state.DaemonID) {
	for _, a := range r.inOrder() {
		if !a.held && a.home == peer {
			r.askAgain(now, a)
		}
	}
}
