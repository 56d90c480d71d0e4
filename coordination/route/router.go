package route

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxNotHomePerPool is how often a pool whose home cannot be found is tried before
// another pool is.
const maxNotHomePerPool = 3

// Router obtains slots for the requests of one entry daemon.
type Router struct {
	cfg        Config
	poolPicker picker
	layout     layout
	livePeers  []Peer
	requests   map[home.SlotRequestID]*slotRequest
	leaving    map[state.ReplicaID]bool
	timers     timers
	renewAt    time.Time
	ownPools   []home.PoolSpec
	actions    []Action
}

// New returns a router that knows no member and no replica yet.
func New(cfg Config, rng *rand.Rand) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:        cfg,
		poolPicker: picker{rng: rng, maxAge: cfg.SummaryTTL},
		layout:     newLayout(),
		requests:   make(map[home.SlotRequestID]*slotRequest),
		leaving:    make(map[state.ReplicaID]bool),
	}
}

// Step processes one event. The actions are valid until the next call.
func (r *Router) Step(now time.Time, ev Event) []Action {
	r.actions = r.actions[:0]
	if r.renewAt.IsZero() {
		// Spread the renewals of daemons that start at the same time.
		r.renewAt = now.Add(time.Duration(r.poolPicker.rng.Int64N(int64(r.cfg.RenewInterval))))
	}
	switch e := ev.(type) {
	case Tick:
		r.tick(now)
	case Received:
		r.received(now, e.From, e.Msg)
	case ViewChanged:
		r.livePeers = slices.Clone(e.Live)
		r.reassignHomes(now)
	case Reconnected:
		r.resendTo(now, e.Peer)
	case ReplicasChanged:
		r.replicas(now, e)
	case ReplicaLeaving:
		r.leaving[e.Replica] = true
	case RegionsChanged:
		r.cfg.Regions = e.Regions
	case ReplicaReturned:
		delete(r.leaving, e.Replica)
	case AcquireSlot:
		r.acquire(now, e)
	case ExclusiveEnded:
		r.endExclusive(e.ID)
	case ReleaseSlot:
		r.release(e)
	case CancelAcquire:
		r.cancel(e.ID)
	}
	return r.actions
}

// NextTick returns when Step next needs a Tick, or the zero time before the first Step.
func (r *Router) NextTick() time.Time {
	if len(r.timers) > 0 && r.timers[0].at.Before(r.renewAt) {
		return r.timers[0].at
	}
	return r.renewAt
}

// Home returns the pool's home, the daemon that grants its slots, in this daemon's view.
func (r *Router) Home(pool home.PoolID) (state.DaemonID, bool) {
	p := r.layout.pools[pool]
	if p == nil {
		return "", false
	}
	return p.home, true
}

// HomeOf returns the home daemon of a replica's pool in this daemon's view.
func (r *Router) HomeOf(replica state.ReplicaID) (state.DaemonID, bool) {
	return r.Home(r.layout.poolOf[replica])
}

func (r *Router) send(to state.DaemonID, msg home.Message) {
	r.actions = append(r.actions, Send{To: to, Msg: msg})
}

func (r *Router) tick(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		t := heap.Pop(&r.timers).(timer)
		req := r.requests[t.requestID]
		switch {
		case req == nil || req.held:
		case t.retry:
			r.resend(now, req)
		default:
			// The home has not answered by the deadline. It may still grant the slot,
			// which is then returned unused.
			r.send(req.home, home.CancelSlotRequest{ID: t.requestID, Pool: req.pool})
			r.refuse(req, state.ReasonDeadline, 0)
		}
	}
	if !now.Before(r.renewAt) {
		r.renewAt = now.Add(r.cfg.RenewInterval)
		r.renew()
	}
}

// replicas applies a service's replicas. Held slots move with their replica to the pool
// that the replica is in now.
func (r *Router) replicas(now time.Time, e ReplicasChanged) {
	specs := Partition(e, r.cfg.Regions, r.cfg.PoolSize)
	r.clearLeaving(e)
	regionOf := func(s home.PoolSpec) state.Region { return r.cfg.Regions[s.Replicas[0].FailureDomain] }
	r.layout.setPools(e.Service, specs, regionOf, r.cfg.Region)
	r.recount()
	r.reassignHomes(now)
}

// clearLeaving clears the leaving state of replicas that are gone or whose processes
// were replaced.
func (r *Router) clearLeaving(e ReplicasChanged) {
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

// recount recounts the requests of all pools.
func (r *Router) recount() {
	for _, p := range r.layout.pools {
		p.usage = poolUsage{}
	}
	for k, req := range r.requests {
		if pool, ok := r.layout.poolOf[req.replica]; ok && req.held {
			req.pool = pool
		}
		p := r.layout.pools[req.pool]
		switch {
		case p == nil:
		case req.held:
			p.usage.addHeld(k)
		default:
			p.usage.addWaiting(k)
		}
	}
}

// reassignHomes recomputes the homes and resends requests whose home has changed.
func (r *Router) reassignHomes(now time.Time) {
	r.layout.assignHomes(r.livePeers)
	for _, req := range r.requestsInOrder() {
		if req.held {
			continue
		}
		p := r.layout.pools[req.pool]
		if p == nil {
			r.tryOtherPool(now, req, state.ReasonNoReplica, 1)
			continue
		}
		if p.home != req.home {
			p.load = poolLoad{}
			r.sendRequest(now, req, p)
		}
	}
	own := r.layout.poolsOf(r.cfg.Self.ID)
	if !slices.EqualFunc(own, r.ownPools, sameSpec) {
		r.ownPools = own
		r.actions = append(r.actions, PoolsAssigned{Pools: own})
	}
}

func sameSpec(a, b home.PoolSpec) bool {
	return a.ID == b.ID && slices.EqualFunc(a.Replicas, b.Replicas, func(x, y state.Replica) bool {
		return x.ID == y.ID && x.Slots == y.Slots && x.Speed == y.Speed && x.Leaving == y.Leaving &&
			slices.Equal(x.Stages, y.Stages)
	})
}

// resendTo resends the requests that wait at a peer, since messages to or from it were
// lost with a connection. Homes recognize a request that they already have.
func (r *Router) resendTo(now time.Time, peer state.DaemonID) {
	for _, req := range r.requestsInOrder() {
		if !req.held && req.home == peer {
			r.resend(now, req)
		}
	}
}
