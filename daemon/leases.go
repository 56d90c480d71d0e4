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

// leasesComponent holds the leases of the services with automatic placement,
// and weights.LeaseService, the lease of the site's layout and weight store.
type leasesComponent struct {
	c                *control
	machine          *lease.Machine
	status           map[state.ServiceID]lease.Status
	releaseRequested map[state.ServiceID]bool // leases whose release was requested
	draining         bool
}

// Divisors of a lease's term.
const (
	renewalsPerTerm = 4
	pollsPerTerm    = 10
	retriesPerTerm  = 40
)

func newLeasesComponent(c *control) *leasesComponent {
	return &leasesComponent{
		c:                c,
		machine:          lease.New(leaseConfig(c.d), c.rng),
		status:           make(map[state.ServiceID]lease.Status),
		releaseRequested: make(map[state.ServiceID]bool),
	}
}

func leaseConfig(d *Daemon) lease.Config {
	term := d.config.Leases.Term.Std()
	cfg := lease.DefaultConfig(d.self)
	cfg.LeaseDuration = term
	cfg.RenewInterval = term / renewalsPerTerm
	cfg.PollInterval = term / pollsPerTerm
	cfg.SlowPollInterval = 3 * term
	cfg.TakeoverStagger = term * 15 / 100
	cfg.RetryDelay = term / retriesPerTerm
	cfg.CallTimeout = 2 * d.config.Store.Timeout.Std()
	return cfg
}

func (lc *leasesComponent) nextTick(time.Time) time.Time { return lc.machine.NextTick() }

func (lc *leasesComponent) tick(time.Time) {
	lc.step(lease.Tick{})
	lc.releaseLeases()
	lc.forgetReleased()
}

// forgetReleased drops the leases of services that are no longer placed
// automatically, once their rows are released.
func (lc *leasesComponent) forgetReleased() {
	if lc.draining {
		return
	}
	for _, id := range lc.leasesToRelease() {
		if holder, ok := lc.machine.Holder(id); ok && holder == lc.c.d.self {
			continue
		}
		delete(lc.status, id)
		lc.servicesChanged()
	}
}

func (lc *leasesComponent) step(ev lease.Event) {
	for _, a := range lc.machine.Step(lc.c.now, ev) {
		switch a := a.(type) {
		case lease.Read:
			lc.read(a)
		case lease.Commit:
			lc.commit(a)
		case lease.Send:
			lc.c.d.send(lc.c.members.address(a.To), a.Msg)
		case lease.Status:
			lc.statusChanged(a)
		}
	}
}

// servicesChanged sets the services whose leases this daemon may hold.
func (lc *leasesComponent) servicesChanged() {
	ids := lc.c.controllers.autoServices()
	if len(ids) > 0 {
		ids = append(ids, weights.LeaseService)
	}
	lc.step(lease.Services{IDs: ids})
}

// membersChanged sets the daemons that may hold leases.
func (lc *leasesComponent) membersChanged(live []membership.Info) {
	lc.step(lease.Members{Live: lo.FilterMap(live, func(i membership.Info, _ int) (state.DaemonID, bool) {
		return i.Member.ID, !i.Draining
	})})
}

// read reads a single row by its key, and several by a scan, which is one call.
func (lc *leasesComponent) read(a lease.Read) {
	var req store.Request = store.Scan{Table: lease.Table}
	if len(a.Services) == 1 {
		req = store.Get{Table: lease.Table, Key: string(a.Services[0])}
	}
	lc.c.store.do(store.Call{Class: store.ClassLease, Request: req}, func(res store.Result) {
		if res.Status != store.Done {
			lc.step(lease.Unanswered{Call: a.Call})
			return
		}
		found := lo.KeyBy(res.Rows, func(r store.Row) state.ServiceID { return state.ServiceID(r.Key) })
		lc.step(lease.ReadDone{Call: a.Call, Rows: lo.Map(a.Services, func(id state.ServiceID, _ int) lease.StoredRow {
			return decodeLeaseRow(id, found[id])
		})})
	})
}

// decodeLeaseRow decodes a row. One that can't be decoded was written by a
// later release; its revision still prevents this daemon from acquiring the
// lease too early.
func decodeLeaseRow(id state.ServiceID, row store.Row) lease.StoredRow {
	s := lease.StoredRow{Service: id, Revision: row.Revision}
	_ = json.Unmarshal(row.Value, &s.Row)
	return s
}

func (lc *leasesComponent) commit(a lease.Commit) {
	txn := store.Txn{}
	for _, w := range a.Writes {
		key := string(w.Service)
		value, err := json.Marshal(w.Row)
		if err != nil {
			panic(err) // a Row can always be marshaled
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Table: lease.Table, Key: key, Revision: w.Revision})
		txn.Writes = append(txn.Writes, store.Write{Table: lease.Table, Key: key, Value: value})
	}
	call := store.Call{Class: store.ClassLease, Request: store.Commit{Txn: txn}}
	lc.c.store.do(call, func(res store.Result) {
		switch res.Status {
		case store.Done:
			lc.step(lease.Committed{Call: a.Call, Rows: lo.Map(res.Rows, func(r store.Row, _ int) lease.StoredRow {
				return decodeLeaseRow(state.ServiceID(r.Key), r)
			})})
		case store.Conflict:
			lc.step(lease.Conflicted{Call: a.Call})
		default:
			lc.step(lease.Unanswered{Call: a.Call})
		}
	})
}

// statusChanged passes a lease's status to the components that act on it.
func (lc *leasesComponent) statusChanged(s lease.Status) {
	prev := lc.status[s.Service]
	lc.status[s.Service] = s
	lc.logChange(prev, s)
	lc.c.store.rolesChanged()
	if s.Service == weights.LeaseService {
		lc.c.weights.setLeaseStatus(s)
		lc.c.layout.setLeaseStatus(s)
		return
	}
	lc.c.controllers.setLeaseStatus(s)
}

func (lc *leasesComponent) logChange(prev, s lease.Status) {
	log, id, fencing := lc.c.d.log, telemetry.Service(s.Service), telemetry.Fencing(s.Fencing)
	switch {
	case s.State == lease.None && lc.releaseRequested[s.Service]:
		log.Emit(telemetry.EventLeaseReleased, id)
	case s.State == lease.None:
		log.Emit(telemetry.EventLeaseLost, id)
	case s.TermID != prev.TermID:
		delete(lc.releaseRequested, s.Service)
		log.Emit(telemetry.EventLeaseAcquired, id, fencing)
	case s.State == lease.Lapsed && prev.State == lease.Held:
		log.Emit(telemetry.EventOrdersFrozen, id, fencing)
	}
	lc.c.d.metrics.Set(telemetry.LeasesHeld, float64(lc.heldCount()))
}

// heldCount returns the number of leases held.
func (lc *leasesComponent) heldCount() int {
	return lo.CountBy(lo.Values(lc.status), func(s lease.Status) bool { return s.State == lease.Held })
}

// drain starts to hand off all leases before a planned stop.
func (lc *leasesComponent) drain() {
	lc.draining = true
	lc.step(lease.Drain{})
	lc.c.controllers.stopAll()
	lc.releaseLeases()
}

// releaseLeases releases each lease that is to be given up, once no order of
// its controller can be in flight.
func (lc *leasesComponent) releaseLeases() {
	for _, id := range lc.leasesToRelease() {
		if lc.status[id].State == lease.None || !lc.c.controllers.clean(id) {
			continue
		}
		lc.releaseRequested[id] = true
		lc.step(lease.Release{Service: id, Clean: true})
	}
}

// leasesToRelease returns the leases that this daemon is to give up.
func (lc *leasesComponent) leasesToRelease() []state.ServiceID {
	wanted := lc.c.controllers.autoServices()
	ids := lo.Filter(lo.Keys(lc.status), func(id state.ServiceID, _ int) bool {
		if id == weights.LeaseService {
			return lc.draining || len(wanted) == 0
		}
		return lc.draining || !slices.Contains(wanted, id)
	})
	slices.Sort(ids)
	return ids
}

// allReleased reports whether no row names this daemon as the holder.
func (lc *leasesComponent) allReleased() bool {
	return !slices.ContainsFunc(lo.Keys(lc.status), func(id state.ServiceID) bool {
		holder, ok := lc.machine.Holder(id)
		return ok && holder == lc.c.d.self
	})
}
