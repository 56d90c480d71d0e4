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

// backendsPart reads what the backend servers of this daemon's pools say of
// themselves: that they are leaving, and what their prompt caches hold. Only a
// pool's home asks, so that the calls to one backend server do not grow with the
// fleet; what it learns spreads as a fact.
type backendsPart struct {
	c     *control
	next  time.Time
	known map[state.BackendID]*backendState
}

// backendState is what was last heard of one backend server.
type backendState struct {
	asking   bool
	reported membership.FactKind // 0 for nothing
	cacheSeq uint64
}

// report is one backend server's own word.
type report struct {
	backend state.BackendID
	replica state.ReplicaID // whose first stage it is, or ""
	placed  bool            // its layers can be placed elsewhere
	load    engine.Load
	events  []engine.CacheEvent
	err     error
}

func newBackendsPart(c *control) *backendsPart {
	return &backendsPart{c: c, known: make(map[state.BackendID]*backendState)}
}

func (p *backendsPart) nextTick(now time.Time) time.Time {
	if p.next.IsZero() {
		return now
	}
	return p.next
}

func (p *backendsPart) tick(now time.Time) {
	p.next = now.Add(p.c.d.set.Backends.LoadInterval.Std())
	for _, pool := range p.c.slots.pools {
		for _, r := range pool.Replicas {
			for i, s := range r.Stages {
				p.ask(r, i, s)
			}
		}
	}
}

func (p *backendsPart) ask(r state.Replica, stage int, s state.Stage) {
	b, ok := p.known[s.Backend]
	if !ok {
		b = &backendState{}
		p.known[s.Backend] = b
	}
	if b.asking {
		return
	}
	b.asking = true
	rep := report{backend: s.Backend}
	if stage == 0 {
		rep.replica = r.ID
	}
	plain := p.c.slots.isPlain(r.Service)
	rep.placed = p.c.slots.isPlaced(r.Service)
	seq := b.cacheSeq
	go func() {
		p.c.d.readReport(&rep, s.Address, plain, seq)
		p.c.post(func() { p.heard(b, rep) })
	}()
}

// readReport asks one backend server.
func (d *Daemon) readReport(rep *report, address string, plain bool, seq uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), d.askTimeout)
	defer cancel()
	if plain {
		rep.load, rep.err = d.clients.plain(address).Load(ctx)
		return
	}
	e := d.clients.engine(address)
	rep.load, rep.err = e.Load(ctx)
	e.seen(rep.load.BootID)
	if rep.err == nil && rep.replica != "" {
		// Cache events only steer; without them requests go where they may.
		rep.events, _ = e.CacheEvents(ctx, seq)
	}
}

// soon has every backend server asked in this turn or the next.
func (p *backendsPart) soon() {
	p.next = time.Time{}
}

func (p *backendsPart) heard(b *backendState, rep report) {
	b.asking = false
	defer p.c.slots.heard(rep.backend)
	if rep.placed {
		p.c.deaths.heard(rep.backend, rep.err == nil)
	}
	if rep.err != nil {
		return // the calls of requests show what that means
	}
	p.cacheEvents(b, rep)
	kind := membership.BackendAvailable
	if rep.load.Leaving {
		kind = membership.BackendLeaving
	}
	if kind == b.reported || kind == membership.BackendAvailable && b.reported == 0 {
		return
	}
	b.reported = kind
	p.c.members.step(membership.ReportBackend{Backend: rep.backend, Kind: kind})
	switch kind {
	case membership.BackendLeaving:
		p.leaving(rep.backend)
	default:
		p.c.slots.backendReturned(rep.backend)
	}
}

func (p *backendsPart) cacheEvents(b *backendState, rep report) {
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
		p.c.d.log.Emit(telemetry.EventCacheEventsMissed, telemetry.Backend(rep.backend))
	}
	p.c.slots.home(ev)
}

// learned takes a fact that another daemon found out.
func (p *backendsPart) learned(f membership.Fact) {
	switch f.Kind {
	case membership.BackendLeaving:
		p.leaving(state.BackendID(f.Subject))
	case membership.BackendAvailable:
		p.c.slots.backendReturned(state.BackendID(f.Subject))
	default:
	}
}

func (p *backendsPart) leaving(id state.BackendID) {
	p.c.d.log.Emit(telemetry.EventBackendLeaving, telemetry.Backend(id))
	p.c.slots.backendLeaving(id)
}

// isPlain reports whether a service's replicas are single plain servers.
func (p *slotsPart) isPlain(id state.ServiceID) bool {
	v, ok := p.docs[id]
	return ok && v.Document.Kind == service.KindPlain
}

// isPlaced reports whether a service's layers are placed by hibiscuswick.
func (p *slotsPart) isPlaced(id state.ServiceID) bool {
	v, ok := p.docs[id]
	return ok && isAuto(&v.Document)
}
