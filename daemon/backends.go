package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// backendsTracker polls the backend servers of this daemon's pools for whether
// they are leaving and what their prompt caches hold. Only a pool's home polls,
// so that the number of calls to a backend server does not grow with the number
// of daemons; a change of availability spreads to the other daemons as a
// membership fact.
type backendsTracker struct {
	c       *control
	next    time.Time
	servers map[state.BackendID]*backendState
}

// backendState is what one backend server last reported.
type backendState struct {
	queryInFlight bool
	reported      membership.FactKind // 0 if nothing was reported
	cacheSeq      uint64
}

// report is the result of polling one backend server.
type report struct {
	backend    state.BackendID
	replica    state.ReplicaID // the replica whose first stage this is, or ""
	autoPlaced bool            // its layers are placed automatically
	load       engine.Load
	events     []engine.CacheEvent
	err        error
}

func newBackendsTracker(c *control) *backendsTracker {
	return &backendsTracker{c: c, servers: make(map[state.BackendID]*backendState)}
}

func (bt *backendsTracker) nextTick(now time.Time) time.Time {
	if bt.next.IsZero() {
		return now
	}
	return bt.next
}

func (bt *backendsTracker) tick(now time.Time) {
	bt.next = now.Add(bt.c.d.config.Backends.LoadInterval.Std())
	for _, pool := range bt.c.slots.pools {
		for _, r := range pool.Replicas {
			for i, s := range r.Stages {
				bt.query(r, i, s)
			}
		}
	}
}

func (bt *backendsTracker) query(r state.Replica, stage int, s state.Stage) {
	b, ok := bt.servers[s.Backend]
	if !ok {
		b = &backendState{}
		bt.servers[s.Backend] = b
	}
	if b.queryInFlight {
		return
	}
	b.queryInFlight = true
	rep := report{backend: s.Backend}
	if stage == 0 {
		rep.replica = r.ID
	}
	plain := bt.c.slots.isPlain(r.Service)
	rep.autoPlaced = bt.c.slots.isAutoPlaced(r.Service)
	seq := b.cacheSeq
	go func() {
		bt.c.d.readReport(&rep, s.Address, plain, seq)
		bt.c.post(func() { bt.handleReport(b, rep) })
	}()
}

// readReport polls one backend server.
func (d *Daemon) readReport(rep *report, address string, plain bool, seq uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), d.queryTimeout)
	defer cancel()
	if plain {
		rep.load, rep.err = d.clients.plain(address).Load(ctx)
		return
	}
	e := d.clients.engine(address)
	rep.load, rep.err = e.Load(ctx)
	e.setBootID(rep.load.BootID)
	if rep.err == nil && rep.replica != "" {
		// Cache events only improve the choice of a replica; an error is
		// ignored.
		rep.events, _ = e.CacheEvents(ctx, seq)
	}
}

// queryNow makes every backend server be polled in this iteration of the
// control loop or the next.
func (bt *backendsTracker) queryNow() {
	bt.next = time.Time{}
}

func (bt *backendsTracker) handleReport(b *backendState, rep report) {
	b.queryInFlight = false
	defer bt.c.slots.serverReported(rep.backend)
	if rep.autoPlaced {
		bt.c.deaths.recordAnswer(rep.backend, rep.err == nil)
	}
	if rep.err != nil {
		return // failures are judged by the calls of requests
	}
	bt.applyCacheEvents(b, rep)
	kind := membership.BackendAvailable
	if rep.load.Leaving {
		kind = membership.BackendLeaving
	}
	if kind == b.reported || kind == membership.BackendAvailable && b.reported == 0 {
		return
	}
	b.reported = kind
	bt.c.members.step(membership.ReportBackend{Backend: rep.backend, Kind: kind})
	switch kind {
	case membership.BackendLeaving:
		bt.markLeaving(rep.backend)
	default:
		bt.c.slots.backendReturned(rep.backend)
	}
}

func (bt *backendsTracker) applyCacheEvents(b *backendState, rep report) {
	if len(rep.events) == 0 {
		return
	}
	ev := home.CacheReported{Replica: rep.replica, Gap: rep.events[0].Seq != b.cacheSeq+1}
	for _, e := range rep.events {
		ev.Gap = ev.Gap || e.Seq > b.cacheSeq+1 && b.cacheSeq > 0
		b.cacheSeq = e.Seq
		ev.Changes = append(ev.Changes, home.CacheChange{Prefix: e.Prefix, Evicted: e.Evicted})
	}
	if ev.Gap {
		bt.c.d.log.Emit(telemetry.EventCacheEventsMissed, telemetry.Backend(rep.backend))
	}
	bt.c.slots.stepHomes(ev)
}

// handleFact applies a fact that another daemon reported.
func (bt *backendsTracker) handleFact(f membership.Fact) {
	switch f.Kind {
	case membership.BackendLeaving:
		bt.markLeaving(state.BackendID(f.Subject))
	case membership.BackendAvailable:
		bt.c.slots.backendReturned(state.BackendID(f.Subject))
	default:
	}
}

func (bt *backendsTracker) markLeaving(id state.BackendID) {
	bt.c.d.log.Emit(telemetry.EventBackendLeaving, telemetry.Backend(id))
	bt.c.slots.backendLeaving(id)
}

// isPlain reports whether a service's replicas are single plain servers.
func (sc *slotsComponent) isPlain(id state.ServiceID) bool {
	v, ok := sc.documents[id]
	return ok && v.Document.Kind == service.KindPlain
}

// isAutoPlaced reports whether a service's layers are placed by hibiscuswick.
func (sc *slotsComponent) isAutoPlaced(id state.ServiceID) bool {
	v, ok := sc.documents[id]
	return ok && isAuto(&v.Document)
}
