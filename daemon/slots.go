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

// slotsPart gets slots for this daemon's requests, and gives out those of the
// pools that it is home of.
type slotsPart struct {
	c      *control
	router *route.Router
	homes  *home.Home

	docs     map[state.ServiceID]*service.Versioned
	replicas map[state.ReplicaID]state.Replica
	leaving  map[state.ReplicaID]bool
	pools    []home.PoolSpec // that this daemon is home of
	wants    map[home.SlotRequestID]*runner
	// unheard are the backend servers of newly assigned pools that have not said
	// yet whether they are leaving.
	unheard map[state.BackendID]bool
	// unproved are newly assigned pools that wait for those words, and until when.
	unproved map[home.PoolID]time.Time
	// early are asks for slots of those pools.
	early []earlyAsk
}

// earlyAsk is an ask that came before its pool was taken up.
type earlyAsk struct {
	from state.Member
	msg  home.SlotRequest
}

func newSlotsPart(c *control) *slotsPart {
	return &slotsPart{
		c:        c,
		router:   route.New(route.Config{Self: c.d.self, Region: c.d.set.Region}, c.rng),
		homes:    home.New(home.Config{}),
		docs:     make(map[state.ServiceID]*service.Versioned),
		replicas: make(map[state.ReplicaID]state.Replica),
		leaving:  make(map[state.ReplicaID]bool),
		wants:    make(map[home.SlotRequestID]*runner),
		unheard:  make(map[state.BackendID]bool),
		unproved: make(map[home.PoolID]time.Time),
	}
}

func (p *slotsPart) nextTick(now time.Time) time.Time {
	for _, until := range p.unproved {
		if !now.Before(until) {
			return now
		}
	}
	a, b := p.router.NextTick(), p.homes.NextTick(now)
	for _, until := range p.unproved {
		if b.IsZero() || until.Before(b) {
			b = until
		}
	}
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (p *slotsPart) tick(time.Time) {
	if len(p.unproved) > 0 {
		p.takeUp()
	}
	p.route(route.Tick{})
	p.home(home.Tick{})
}

// route gives the router an event and carries out its actions.
func (p *slotsPart) route(ev route.Event) {
	if v, ok := ev.(route.ViewChanged); ok {
		live := lo.Map(v.Live, func(peer route.Peer, _ int) state.Member { return peer.Member })
		p.home(home.ViewChanged{Live: live})
	}
	for _, a := range slices.Clone(p.router.Step(p.c.now, ev)) {
		switch a := a.(type) {
		case route.Send:
			p.send(a.To, a.Msg)
		case route.Granted:
			p.granted(a)
		case route.Refused:
			p.refused(a)
		case route.PoolsAssigned:
			p.assigned(a.Pools)
		}
	}
}

// firstWordWait is how long a new home waits for the first word of its backend
// servers: a round trip, and some slack for a busy machine.
const firstWordWait = 300 * time.Millisecond

// assigned takes up the pools that this daemon is home of. A new home asks each
// backend server at once, and takes a pool up only after their first words: only
// homes ask, so that a server which began to leave while its pool had none would
// get new work until the next report, a second later. Where this daemon was home of
// the service's pool before, the pool has only changed, as in a roll-out: it is taken
// up at once, since requests that wait for it would find no home and be refused.
func (p *slotsPart) assigned(pools []home.PoolSpec) {
	old := make(map[home.PoolID]bool, len(p.pools))
	homed := make(map[state.ServiceID]bool, len(p.pools))
	for _, pool := range p.pools {
		old[pool.ID] = true
		homed[pool.Service] = homed[pool.Service] || !p.waits(pool.ID)
	}
	p.pools = pools
	for id := range p.unproved {
		if !slices.ContainsFunc(pools, func(pool home.PoolSpec) bool { return pool.ID == id }) {
			delete(p.unproved, id)
		}
	}
	for _, pool := range pools {
		if old[pool.ID] {
			continue
		}
		p.c.backends.soon()
		if homed[pool.Service] {
			continue
		}
		p.unproved[pool.ID] = p.c.now.Add(firstWordWait)
		for _, s := range stagesOf(pool) {
			p.unheard[s.Backend] = true
		}
	}
	p.takeUp()
}

// waits reports whether a pool is not taken up yet.
func (p *slotsPart) waits(id home.PoolID) bool {
	_, ok := p.unproved[id]
	return ok
}

func stagesOf(pool home.PoolSpec) []state.Stage {
	var out []state.Stage
	for _, r := range pool.Replicas {
		out = append(out, r.Stages...)
	}
	return out
}

// takeUp gives the homes the pools whose servers have all said whether they are
// leaving, or had time to. The replicas of those that have not get no work yet.
func (p *slotsPart) takeUp() {
	var ready []home.PoolSpec
	var silent []state.ReplicaID
	waits := func(s state.Stage) bool { return p.unheard[s.Backend] }
	for _, pool := range p.pools {
		until, unproved := p.unproved[pool.ID]
		if unproved && p.c.now.Before(until) && slices.ContainsFunc(stagesOf(pool), waits) {
			continue
		}
		ready = append(ready, pool)
		if !unproved {
			continue
		}
		delete(p.unproved, pool.ID)
		for _, r := range pool.Replicas {
			if slices.ContainsFunc(r.Stages, waits) {
				silent = append(silent, r.ID)
			}
		}
	}
	p.home(home.PoolsAssigned{Pools: ready})
	for _, id := range silent {
		p.home(home.ReplicaLeaving{Replica: id})
	}
	p.answerEarly()
}

// answerEarly hands the asks that came early to their homes. Without it they would
// be told that nobody is home, and after some such answers be refused.
func (p *slotsPart) answerEarly() {
	early := p.early
	p.early = nil
	for _, a := range early {
		p.received(a.from, a.msg)
	}
}

// heard notes the first word of a backend server, or that it gives none.
func (p *slotsPart) heard(id state.BackendID) {
	if !p.unheard[id] {
		return
	}
	delete(p.unheard, id)
	if len(p.unproved) > 0 {
		p.takeUp()
	}
	for _, r := range p.replicas {
		if !slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			continue
		}
		waits := slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return p.unheard[s.Backend] })
		if !waits && !r.Leaving && !p.anyLeaving(r) {
			p.home(home.ReplicaReturned{Replica: r.ID})
		}
	}
}

// home gives this daemon's own homes an event and carries out their actions.
func (p *slotsPart) home(ev home.Event) {
	for _, a := range slices.Clone(p.homes.Step(p.c.now, ev)) {
		switch a := a.(type) {
		case home.Send:
			p.send(a.To, a.Msg)
		case home.Suspected:
			p.c.d.log.Emit(telemetry.EventReplicaDown, telemetry.Replica(a.Replica))
		case home.Recovered:
			p.c.d.log.Emit(telemetry.EventReplicaUp, telemetry.Replica(a.Replica))
		case home.GrantsRecovered:
			// A new home began to grant; nothing is to be done.
		}
	}
}

// send delivers a message to a daemon, this one included.
func (p *slotsPart) send(to state.DaemonID, msg home.Message) {
	if to == p.c.d.self.ID {
		p.c.later(func() { p.received(p.c.d.self, msg) })
		return
	}
	p.c.d.send(p.c.members.address(to), msg)
}

// received hands a message to the side that it is for: what homes say goes to
// the router, what entry daemons say to the homes.
func (p *slotsPart) received(from state.Member, msg home.Message) {
	switch m := msg.(type) {
	case home.SlotGrant, home.SlotRefusal, home.NotHome, home.ReportQuery:
		p.route(route.Received{From: from, Msg: msg})
		return
	case home.SlotRequest:
		if p.waits(m.Pool) {
			p.early = append(p.early, earlyAsk{from: from, msg: m})
			return
		}
	}
	p.home(home.Received{From: from, Msg: msg})
}

// ask begins to get a slot for a request's next attempt.
// Alone asks for a replica that runs nothing else meanwhile.
func (p *slotsPart) ask(r *runner, a request.AcquireSlot, alone bool) {
	ask := home.SlotRequestID{Request: r.spec.ID, Attempt: a.Attempt}
	p.wants[ask] = r
	prefixes := state.Prefixes(r.spec.Prompt)
	slices.Reverse(prefixes)
	p.route(route.AcquireSlot{
		ID:        ask,
		Service:   r.spec.Service,
		Class:     r.spec.Class,
		Customer:  r.spec.Customer,
		Deadline:  r.spec.FirstTokenDeadline,
		Cost:      uint32(max(r.spec.MaxTokens, 1)),
		Prefixes:  prefixes,
		Exclude:   a.Exclude,
		Exclusive: alone,
		Staggered: alone,
	})
}

// passed lets others begin on the replica of a request that was alone.
func (p *slotsPart) passed(r *runner, attempt state.Attempt) {
	p.route(route.ExclusiveEnded{ID: home.SlotRequestID{Request: r.spec.ID, Attempt: attempt}})
}

func (p *slotsPart) stop(r *runner, attempt state.Attempt) {
	ask := home.SlotRequestID{Request: r.spec.ID, Attempt: attempt}
	if _, waits := p.wants[ask]; !waits {
		return
	}
	delete(p.wants, ask)
	p.route(route.CancelAcquire{ID: ask})
}

func (p *slotsPart) release(id state.RequestID, a request.ReleaseSlot, tokens int, busy time.Duration) {
	use := home.OutcomeServed
	switch {
	case a.Unused:
		use = home.OutcomeUnused
	case a.Failed:
		use = home.OutcomeFailed
	}
	p.route(route.ReleaseSlot{
		ID:         home.SlotRequestID{Request: id, Attempt: a.Grant},
		Outcome:    use,
		Tokens:     uint32(tokens),
		DecodeTime: busy,
	})
}

func (p *slotsPart) granted(a route.Granted) {
	r, ok := p.wants[a.ID]
	replica, known := p.replicas[a.Replica]
	delete(p.wants, a.ID)
	switch {
	case !ok:
		p.c.later(func() { p.route(route.ReleaseSlot{ID: a.ID, Outcome: home.OutcomeUnused}) })
	case !known:
		// The home has a newer document than this daemon. The request asks
		// again for another replica; it would wait for ever otherwise.
		go r.post(request.SlotUnusable{Grant: a.ID.Attempt, Replica: a.Replica, UnknownReplica: true})
	default:
		p.c.d.metrics.ObserveClass(telemetry.QueueSeconds, r.spec.Service, r.spec.Class, p.c.now.Sub(r.arrived))
		p.c.quarantine.began(r, replica.ID)
		go r.grant(a.ID.Attempt, replica)
	}
}

func (p *slotsPart) refused(a route.Refused) {
	r, ok := p.wants[a.ID]
	delete(p.wants, a.ID)
	if ok {
		if a.Reason == state.ReasonQueueFull {
			p.c.d.log.Emit(telemetry.EventQueueFull, telemetry.Service(r.spec.Service), telemetry.Class(r.spec.Class))
		}
		go r.post(request.SlotRefused{Reason: a.Reason, RetryAfter: a.RetryAfter})
	}
}

// documentChanged takes a document's chains up.
func (p *slotsPart) documentChanged(v *service.Versioned) {
	p.docs[v.Document.Service] = v
	p.rebuild(v)
}

// instancesChanged looks all chains up anew in the instance list.
func (p *slotsPart) instancesChanged() {
	for _, v := range p.docs {
		p.rebuild(v)
	}
}

// rebuild tells the router which replicas a service has.
func (p *slotsPart) rebuild(v *service.Versioned) {
	replicas := p.c.instances.replicas(&v.Document)
	for _, r := range replicas {
		p.replicas[r.ID] = r
	}
	p.route(route.ReplicasChanged{
		Service:  v.Document.Service,
		Capacity: v.Document.Capacity.Replicas,
		Replicas: replicas,
	})
	for _, r := range replicas {
		if r.Leaving || p.anyLeaving(r) {
			p.replicaLeaving(r.ID)
		}
	}
}

// tableChanged takes up the replicas that a service's controller has published.
func (p *slotsPart) tableChanged(id state.ServiceID) {
	if v, ok := p.docs[id]; ok && isAuto(&v.Document) {
		p.rebuild(v)
	}
}

func (p *slotsPart) anyLeaving(r state.Replica) bool {
	return slices.ContainsFunc(r.Stages, func(s state.Stage) bool {
		fact, ok := p.c.members.view.Backends[s.Backend]
		return ok && fact.Kind == membership.BackendLeaving
	})
}

// backendLeaving stops new work on every replica with the backend server.
func (p *slotsPart) backendLeaving(id state.BackendID) {
	for _, r := range p.replicas {
		if slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			p.replicaLeaving(r.ID)
		}
	}
}

// recorded returns the replica that a claim row names, with the lives that its
// processes were seen in then.
func (p *slotsPart) recorded(slot claims.Slot) (state.Replica, bool) {
	r, ok := p.replicas[slot.Replica]
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

// backendReturned gives the replicas with a backend server work again, unless
// another of their servers is still leaving.
func (p *slotsPart) backendReturned(id state.BackendID) {
	for _, r := range p.replicas {
		if !slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return s.Backend == id }) {
			continue
		}
		waits := slices.ContainsFunc(r.Stages, func(s state.Stage) bool { return p.unheard[s.Backend] })
		if waits || r.Leaving || p.anyLeaving(r) {
			continue
		}
		p.route(route.ReplicaReturned{Replica: r.ID})
		p.home(home.ReplicaReturned{Replica: r.ID})
	}
}

func (p *slotsPart) replicaLeaving(id state.ReplicaID) {
	p.route(route.ReplicaLeaving{Replica: id})
	p.home(home.ReplicaLeaving{Replica: id})
}
