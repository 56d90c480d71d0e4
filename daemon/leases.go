package daemon

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// leasesPart holds the leases of the services with automatic placement, and that
// of the site's layout and weight store, weights.Service.
type leasesPart struct {
	c        *control
	m        *lease.Machine
	status   map[state.ServiceID]lease.Status
	asked    map[state.ServiceID]bool // to release
	draining bool
}

// Parts of a lease's term.
const (
	renewalsPerTerm = 4
	pollsPerTerm    = 10
	retriesPerTerm  = 40
)

func newLeasesPart(c *control) *leasesPart {
	return &leasesPart{
		c:      c,
		m:      lease.New(leaseConfig(c.d), c.rng),
		status: make(map[state.ServiceID]lease.Status),
		asked:  make(map[state.ServiceID]bool),
	}
}

func leaseConfig(d *Daemon) lease.Config {
	term := d.set.Leases.Term.Std()
	cfg := lease.DefaultConfig(d.self)
	cfg.LeaseDuration = term
	cfg.RenewInterval = term / renewalsPerTerm
	cfg.PollInterval = term / pollsPerTerm
	cfg.SlowPollInterval = 3 * term
	cfg.TakeoverStagger = term * 15 / 100
	cfg.RetryDelay = term / retriesPerTerm
	cfg.CallTimeout = 2 * d.set.Store.Timeout.Std()
	return cfg
}

func (p *leasesPart) nextTick(time.Time) time.Time { return p.m.NextTick() }

func (p *leasesPart) tick(time.Time) {
	p.step(lease.Tick{})
	p.handOn()
	p.forget()
}

// forget drops the leases of services that are no longer placed automatically,
// once their rows are released.
func (p *leasesPart) forget() {
	if p.draining {
		return
	}
	for _, id := range p.given() {
		if holder, ok := p.m.Holder(id); ok && holder == p.c.d.self {
			continue
		}
		delete(p.status, id)
		p.servicesChanged()
	}
}

func (p *leasesPart) step(ev lease.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		switch a := a.(type) {
		case lease.Read:
			p.read(a)
		case lease.Commit:
			p.commit(a)
		case lease.Send:
			p.c.d.send(p.c.members.address(a.To), a.Msg)
		case lease.Status:
			p.changed(a)
		}
	}
}

// servicesChanged names the services whose leases this daemon may hold.
func (p *leasesPart) servicesChanged() {
	ids := p.c.controllers.autoServices()
	if len(ids) > 0 {
		ids = append(ids, weights.LeaseService)
	}
	p.step(lease.Services{IDs: ids})
}

// membersChanged tells who may hold leases.
func (p *leasesPart) membersChanged(live []membership.Info) {
	p.step(lease.Members{Live: lo.FilterMap(live, func(i membership.Info, _ int) (state.DaemonID, bool) {
		return i.Member.ID, !i.Draining
	})})
}

// read asks for rows: for one by its key, for more by a scan, which is one call.
func (p *leasesPart) read(a lease.Read) {
	var req store.Request = store.Scan{Table: lease.Table}
	if len(a.Services) == 1 {
		req = store.Get{Table: lease.Table, Key: string(a.Services[0])}
	}
	p.c.store.do(store.Call{Class: store.ClassLease, Request: req}, func(res store.Result) {
		if res.Status != store.Done {
			p.step(lease.Unanswered{Call: a.Call})
			return
		}
		found := lo.KeyBy(res.Rows, func(r store.Row) state.ServiceID { return state.ServiceID(r.Key) })
		p.step(lease.ReadDone{Call: a.Call, Rows: lo.Map(a.Services, func(id state.ServiceID, _ int) lease.StoredRow {
			return storedOf(id, found[id])
		})})
	})
}

// storedOf reads a row. One that can't be read is a later release's; its revision
// alone keeps this daemon from taking it too early.
func storedOf(id state.ServiceID, row store.Row) lease.StoredRow {
	s := lease.StoredRow{Service: id, Revision: row.Revision}
	_ = json.Unmarshal(row.Value, &s.Row)
	return s
}

func (p *leasesPart) commit(a lease.Commit) {
	txn := store.Txn{}
	for _, w := range a.Writes {
		key := string(w.Service)
		value, err := json.Marshal(w.Row)
		if err != nil {
			panic(err) // a Row holds nothing that can't be written
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Table: lease.Table, Key: key, Revision: w.Revision})
		txn.Writes = append(txn.Writes, store.Write{Table: lease.Table, Key: key, Value: value})
	}
	call := store.Call{Class: store.ClassLease, Request: store.Commit{Txn: txn}}
	p.c.store.do(call, func(res store.Result) {
		switch res.Status {
		case store.Done:
			p.step(lease.Committed{Call: a.Call, Rows: lo.Map(res.Rows, func(r store.Row, _ int) lease.StoredRow {
				return storedOf(state.ServiceID(r.Key), r)
			})})
		case store.Conflict:
			p.step(lease.Conflicted{Call: a.Call})
		default:
			p.step(lease.Unanswered{Call: a.Call})
		}
	})
}

// changed takes a lease's status to those who act on it.
func (p *leasesPart) changed(s lease.Status) {
	was := p.status[s.Service]
	p.status[s.Service] = s
	p.note(was, s)
	p.c.store.rolesChanged()
	if s.Service == weights.LeaseService {
		p.c.weights.lease(s)
		p.c.layout.lease(s)
		return
	}
	p.c.controllers.lease(s)
}

func (p *leasesPart) note(was, s lease.Status) {
	log, id, number := p.c.d.log, telemetry.Service(s.Service), telemetry.Fencing(s.Fencing)
	switch {
	case s.State == lease.None && p.asked[s.Service]:
		log.Emit(telemetry.EventLeaseReleased, id)
	case s.State == lease.None:
		log.Emit(telemetry.EventLeaseLost, id)
	case s.TermID != was.TermID:
		delete(p.asked, s.Service)
		log.Emit(telemetry.EventLeaseAcquired, id, number)
	case s.State == lease.Lapsed && was.State == lease.Held:
		log.Emit(telemetry.EventOrdersFrozen, id, number)
	}
	p.c.d.metrics.Set(telemetry.LeasesHeld, float64(p.held()))
}

// held counts the leases held.
func (p *leasesPart) held() int {
	return lo.CountBy(lo.Values(p.status), func(s lease.Status) bool { return s.State == lease.Held })
}

// drain begins to hand all leases on before a planned stop.
func (p *leasesPart) drain() {
	p.draining = true
	p.step(lease.Drain{})
	p.c.controllers.stopAll()
	p.handOn()
}

// handOn releases each lease that is to be given up, once no order of its
// controller can be under way.
func (p *leasesPart) handOn() {
	for _, id := range p.given() {
		if p.status[id].State == lease.None || !p.c.controllers.clean(id) {
			continue
		}
		p.asked[id] = true
		p.step(lease.Release{Service: id, Clean: true})
	}
}

// given lists the leases that this daemon is to give up.
func (p *leasesPart) given() []state.ServiceID {
	wanted := p.c.controllers.autoServices()
	ids := lo.Filter(lo.Keys(p.status), func(id state.ServiceID, _ int) bool {
		if id == weights.LeaseService {
			return p.draining || len(wanted) == 0
		}
		return p.draining || !slices.Contains(wanted, id)
	})
	slices.Sort(ids)
	return ids
}

// handedOn reports whether no row names this daemon any more.
func (p *leasesPart) handedOn() bool {
	return !slices.ContainsFunc(lo.Keys(p.status), func(id state.ServiceID) bool {
		holder, ok := p.m.Holder(id)
		return ok && holder == p.c.d.self
	})
}
