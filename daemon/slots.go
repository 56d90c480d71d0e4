package daemon

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// slotsComponent acquires slots for this daemon's requests, and grants those of
// the pools that this daemon is home of.
type slotsComponent struct {
	c      *control
	router *route.Router
	homes  *home.Home

	documents map[state.ServiceID]*service.Versioned
	replicas  map[state.ReplicaID]state.Replica
	pools     []home.PoolSpec // that this daemon is home of
	waiting   map[home.SlotRequestID]*runner
	// unreported holds the backend servers of newly assigned pools that have
	// not reported yet whether they are leaving.
	unreported map[state.BackendID]bool
	// pending holds the newly assigned pools that wait for these reports, with
	// the time until which they wait.
	pending map[home.PoolID]time.Time
	// deferred holds the slot requests for pending pools.
	deferred []deferredRequest
}

// deferredRequest is a slot request that arrived while its pool was pending.
type deferredRequest struct {
	from state.Member
	msg  home.SlotRequest
}

func newSlotsComponent(c *control) *slotsComponent {
	return &slotsComponent{
		c:          c,
		router:     route.New(route.Config{Self: c.d.self, Region: c.d.config.Region}, c.rng),
		homes:      home.New(home.Config{}),
		documents:  make(map[state.ServiceID]*service.Versioned),
		replicas:   make(map[state.ReplicaID]state.Replica),
		waiting:    make(map[home.SlotRequestID]*runner),
		unreported: make(map[state.BackendID]bool),
		pending:    make(map[home.PoolID]time.Time),
	}
}

func (sc *slotsComponent) nextTick(now time.Time) time.Time {
	for _, until := range sc.pending {
		if !now.Before(until) {
			return now
		}
	}
	a, b := sc.router.NextTick(), sc.homes.NextTick(now)
	for _, until := range sc.pending {
		if b.IsZero() || until.Before(b) {
			b = until
		}
	}
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (sc *slotsComponent) tick(time.Time) {
	if len(sc.pending) > 0 {
		sc.assignReady()
	}
	sc.stepRouter(route.Tick{})
	sc.stepHomes(home.Tick{})
}

// stepRouter passes an event to the router and carries out its actions.
func (sc *slotsComponent) stepRouter(ev route.Event) {
	if v, ok := ev.(route.ViewChanged); ok {
		live := lo.Map(v.Live, func(peer route.Peer, _ int) state.Member { return peer.Member })
		sc.stepHomes(home.ViewChanged{Live: live})
	}
	for _, a := range slices.Clone(sc.router.Step(sc.c.now, ev)) {
		switch a := a.(type) {
		case route.Send:
			sc.send(a.To, a.Msg)
		case route.Granted:
			sc.handleGranted(a)
		case route.Refused:
			sc.handleRefused(a)
		case route.PoolsAssigned:
			sc.handleAssigned(a.Pools)
		}
	}
}

// firstReportTimeout is how long a new home waits for the first reports of its
// backend servers: a round trip, and some slack for a busy machine.
const firstReportTimeout = 300 * time.Millisecond

// handleAssigned applies the set of pools that this daemon is home of. A new home
// queries each backend server immediately and activates a pool only after their
// first reports. Only homes query servers, so a server that began to leave
// while its pool had no home would otherwise get new work until the next
// report, a second later. If this daemon was already home of the service's
// pool, the pool has only changed, as in a roll-out. It is then activated
// immediately, because requests that wait for it would find no home and be
// refused.
func (sc *slotsComponent) handleAssigned(pools []home.PoolSpec) {
	old := make(map[home.PoolID]bool, len(sc.pools))
	homed := make(map[state.ServiceID]bool, len(sc.pools))
	for _, pool := range sc.pools {
		old[pool.ID] = true
		homed[pool.Service] = homed[pool.Service] || !sc.isPending(pool.ID)
	}
	sc.pools = pools
	for id := range sc.pending {
		if !slices.ContainsFunc(pools, func(pool home.PoolSpec) bool { return pool.ID == id }) {
			delete(sc.pending, id)
		}
	}
	for _, pool := range pools {
		if old[pool.ID] {
			continue
		}
		sc.c.backends.queryNow()
		if homed[pool.Service] {
			continue
		}
		sc.pending[pool.ID] = sc.c.now.Add(firstReportTimeout)
		for _, s := range stagesOf(pool) {
			sc.unreported[s.Backend] = true
		}
	}
	sc.assignReady()
}

// isPending reports whether a pool is not active yet.
func (sc *slotsComponent) isPending(id home.PoolID) bool {
	_, ok := sc.pending[id]
	return ok
}

func stagesOf(pool home.PoolSpec) []state.Stage {
	var out []state.Stage
	for _, r := range pool.Replicas {
		out = append(out, r.Stages...)
	}
	return out
}

// assignReady assigns to the homes the pools whose servers have all reported
// whether they are leaving, or whose wait has expired. Replicas with a server
// that has not reported get no work yet.
func (sc *slotsComponent) assignReady() {
	var ready []home.PoolSpec
	var incomplete []state.ReplicaID
	notReported := func(s state.Stage) bool { return sc.unreported[s.Backend] }
	for _, pool := range sc.pools {
		until, wasPending := sc.pending[pool.ID]
		if wasPending && sc.c.now.Before(until) && slices.ContainsFunc(stagesOf(pool), notReported) {
			continue
		}
		ready = append(ready, pool)
		if !wasPending {
			continue
		}
		delete(sc.pending, pool.ID)
		for _, r := range pool.Replicas {
			if slices.ContainsFunc(r.Stages, notReported) {
				incomplete = append(incomplete, r.ID)
			}
		}
	}
	sc.stepHomes(home.PoolsAssigned{Pools: ready})
	for _, id := range incomplete {
		sc.stepHomes(home.ReplicaLeaving{Replica: id})
	}
	sc.handleDeferred()
}

// handleDeferred passes the deferred slot requests to their homes. Without the
// deferral they would be answered with NotHome, and be refused after some such
// answers.
func (sc *slotsComponent) handleDeferred() {
	deferred := sc.deferred
	sc.deferred = nil
	for _, a := range deferred {
		sc.handleMessage(a.from, a.msg)
	}
}

// serverReported records that a server's first query has ended, with a report
// or without one.
func (sc *slotsComponent) serverReported(id state.BackendID) {
	if !sc.unreported[id] {
		return
	}
	delete(sc.unreported, id)
	if len(sc.pending) > 0 {
		sc.assignReady()
	}
	for _, r := range sc.replicas {
		if !slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			continue
		}
		notReported := slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return sc.unreported[s.Backend] })
		if !notReported && !r.Leaving && !sc.hasLeavingServer(r) {
			sc.stepHomes(home.ReplicaReturned{Replica: r.ID})
		}
	}
}

// stepHomes passes an event to this daemon's homes and carries out their
// actions.
func (sc *slotsComponent) stepHomes(ev home.Event) {
	for _, a := range slices.Clone(sc.homes.Step(sc.c.now, ev)) {
		switch a := a.(type) {
		case home.Send:
			sc.send(a.To, a.Msg)
		case home.Suspected:
			sc.c.d.log.Emit(telemetry.EventReplicaDown, telemetry.Replica(a.Replica))
		case home.Recovered:
			sc.c.d.log.Emit(telemetry.EventReplicaUp, telemetry.Replica(a.Replica))
		case home.GrantsRecovered:
			// A new home has started to grant slots; there is nothing to do.
		}
	}
}

// send delivers a message to a daemon, this one included.
func (sc *slotsComponent) send(to state.DaemonID, msg home.Message) {
	if to == sc.c.d.self.ID {
		sc.c.afterStep(func() { sc.handleMessage(sc.c.d.self, msg) })
		return
	}
	sc.c.d.send(sc.c.members.address(to), msg)
}

// handleMessage passes messages of homes to the router, and messages of entry
// daemons to the homes.
func (sc *slotsComponent) handleMessage(from state.Member, msg home.Message) {
	switch m := msg.(type) {
	case home.SlotGrant, home.SlotRefusal, home.NotHome, home.ReportQuery:
		sc.stepRouter(route.Received{From: from, Msg: msg})
		return
	case home.SlotRequest:
		if sc.isPending(m.Pool) {
			sc.deferred = append(sc.deferred, deferredRequest{from: from, msg: m})
			return
		}
	}
	sc.stepHomes(home.Received{From: from, Msg: msg})
}

// acquire requests a slot for a request's next attempt. An exclusive one is for
// a replica that runs nothing else meanwhile.
func (sc *slotsComponent) acquire(r *runner, a request.AcquireSlot, exclusive bool) {
	id := home.SlotRequestID{Request: r.spec.ID, Attempt: a.Attempt}
	sc.waiting[id] = r
	prefixes := state.Prefixes(r.spec.Prompt)
	slices.Reverse(prefixes)
	sc.stepRouter(route.AcquireSlot{
		ID:        id,
		Service:   r.spec.Service,
		Class:     r.spec.Class,
		Customer:  r.spec.Customer,
		Deadline:  sc.slotDeadline(r, a.Begun),
		Cost:      uint32(max(r.spec.MaxTokens, 1)),
		Prefixes:  prefixes,
		Exclude:   a.Exclude,
		Exclusive: exclusive,
		Staggered: exclusive,
		Begun:     a.Begun,
	})
}

// begunSlotTimeout is how long an answer that has begun waits at least for a slot to go
// on. It covers the back-off and the probe of a replica that has failed repeatedly.
const begunSlotTimeout = 10 * time.Second

// slotDeadline returns when a request stops waiting for a slot.
//
// Guard (begun-answer-past-its-deadline): an answer that a death cuts has kept the deadline
// of its first token. Measured by it, a long answer would be refused the slot to go on.
func (sc *slotsComponent) slotDeadline(r *runner, begun bool) time.Time {
	if !begun {
		return r.spec.FirstTokenDeadline
	}
	return sc.c.now.Add(max(r.spec.FirstTokenDeadline.Sub(r.arrived), begunSlotTimeout))
}

// exclusiveEnded lets other requests start on the replica of an exclusive
// request or of a probe.
func (sc *slotsComponent) exclusiveEnded(r *runner, attempt state.Attempt) {
	sc.stepRouter(route.ExclusiveEnded{ID: home.SlotRequestID{Request: r.spec.ID, Attempt: attempt}})
}

func (sc *slotsComponent) cancel(r *runner, attempt state.Attempt) {
	id := home.SlotRequestID{Request: r.spec.ID, Attempt: attempt}
	if _, ok := sc.waiting[id]; !ok {
		return
	}
	delete(sc.waiting, id)
	sc.stepRouter(route.CancelAcquire{ID: id})
}

func (sc *slotsComponent) release(id state.RequestID, a request.ReleaseSlot, tokens int, busy time.Duration) {
	outcome := home.OutcomeServed
	switch {
	case a.Unused:
		outcome = home.OutcomeUnused
	case a.Failed:
		outcome = home.OutcomeFailed
	}
	sc.stepRouter(route.ReleaseSlot{
		ID:         home.SlotRequestID{Request: id, Attempt: a.Grant},
		Outcome:    outcome,
		Tokens:     uint32(tokens),
		DecodeTime: busy,
	})
}

func (sc *slotsComponent) handleGranted(a route.Granted) {
	r, ok := sc.waiting[a.ID]
	replica, known := sc.replicas[a.Replica]
	delete(sc.waiting, a.ID)
	switch {
	case !ok:
		sc.c.afterStep(func() { sc.stepRouter(route.ReleaseSlot{ID: a.ID, Outcome: home.OutcomeUnused}) })
	case !known:
		// The home has a newer document than this daemon. The request has to
		// ask for another replica; otherwise it would wait forever.
		go r.post(request.SlotUnusable{Grant: a.ID.Attempt, Replica: a.Replica, UnknownReplica: true})
	default:
		sc.c.d.metrics.ObserveClass(telemetry.QueueSeconds, r.spec.Service, r.spec.Class, sc.c.now.Sub(r.arrived))
		sc.c.quarantine.runStarted(r, replica.ID)
		r.probe.Store(nil)
		if a.Probe {
			r.probe.Store(&a.ID.Attempt)
		}
		go r.grantSlot(a.ID.Attempt, replica)
	}
}

func (sc *slotsComponent) handleRefused(a route.Refused) {
	r, ok := sc.waiting[a.ID]
	delete(sc.waiting, a.ID)
	if ok {
		if a.Reason == state.ReasonQueueFull {
			sc.c.d.log.Emit(telemetry.EventQueueFull, telemetry.Service(r.spec.Service), telemetry.Class(r.spec.Class))
		}
		go r.post(request.SlotRefused{Reason: a.Reason, RetryAfter: a.RetryAfter})
	}
}

// documentChanged applies a document's chains.
func (sc *slotsComponent) documentChanged(v *service.Versioned) {
	sc.documents[v.Document.Service] = v
	sc.rebuild(v)
}

// instancesChanged resolves all chains again from the instance list.
func (sc *slotsComponent) instancesChanged() {
	for _, v := range sc.documents {
		sc.rebuild(v)
	}
}

// rebuild passes a service's replicas to the router.
func (sc *slotsComponent) rebuild(v *service.Versioned) {
	replicas := sc.c.instances.replicas(&v.Document)
	for _, r := range replicas {
		sc.replicas[r.ID] = r
	}
	sc.stepRouter(route.ReplicasChanged{
		Service:  v.Document.Service,
		Capacity: v.Document.Capacity.Replicas,
		Replicas: replicas,
	})
	for _, r := range replicas {
		if r.Leaving || sc.hasLeavingServer(r) {
			sc.replicaLeaving(r.ID)
		}
	}
}

// tableChanged applies the replicas that a service's controller has published.
func (sc *slotsComponent) tableChanged(id state.ServiceID) {
	if v, ok := sc.documents[id]; ok && isAuto(&v.Document) {
		sc.rebuild(v)
	}
}

func (sc *slotsComponent) hasLeavingServer(r state.Replica) bool {
	return slices.ContainsFunc(r.Stages, func(s state.Stage) bool {
		fact, ok := sc.c.members.view.Backends[s.Backend]
		return ok && fact.Kind == membership.BackendLeaving
	})
}

// backendLeaving stops new work on every replica with the backend server.
func (sc *slotsComponent) backendLeaving(id state.BackendID) {
	for _, r := range sc.replicas {
		if slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			sc.replicaLeaving(r.ID)
		}
	}
}

// recordedReplica returns the replica that a claim row names, with the boot IDs
// that its processes had then.
func (sc *slotsComponent) recordedReplica(slot claims.Slot) (state.Replica, bool) {
	r, ok := sc.replicas[slot.Replica]
	if !ok || len(r.Stages) != len(slot.Backends) {
		return state.Replica{}, false
	}
	r.Stages = slices.Clone(r.Stages)
	for i, b := range slot.Backends {
		if r.Stages[i].Backend != b.ID {
			return state.Replica{}, false
		}
		r.Stages[i].BootID = b.BootID
	}
	return r, true
}

// backendReturned allows work on the replicas with a backend server again,
// unless another of their servers is still leaving.
func (sc *slotsComponent) backendReturned(id state.BackendID) {
	for _, r := range sc.replicas {
		if !slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			continue
		}
		notReported := slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return sc.unreported[s.Backend] })
		if notReported || r.Leaving || sc.hasLeavingServer(r) {
			continue
		}
		sc.stepRouter(route.ReplicaReturned{Replica: r.ID})
		sc.stepHomes(home.ReplicaReturned{Replica: r.ID})
	}
}

func (sc *slotsComponent) replicaLeaving(id state.ReplicaID) {
	sc.stepRouter(route.ReplicaLeaving{Replica: id})
	sc.stepHomes(home.ReplicaLeaving{Replica: id})
}
