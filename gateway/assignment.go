package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/layering"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// leaseKey is the key of the lease row. Its holder assigns layers to engines.
const leaseKey = "layers"

// orderTimeout limits one order: engines answer within a few ms, or not at all.
const orderTimeout = 800 * time.Millisecond

// leaseRow is the lease as stored. Until is by the store's clock.
type leaseRow struct {
	Holder      state.DaemonID      `json:"holder"`
	Incarnation state.Incarnation   `json:"life"`
	Fence       state.FencingNumber `json:"fence"`
	Until       time.Duration       `json:"until"`
}

// assignmentState assigns layers while this daemon holds the lease.
type assignmentState struct {
	c       *control
	machine *layering.Machine

	publishedAt   time.Time // of the server list last passed to machine
	members       *membership.View
	configVersion uint64 // of the configuration last passed to machine
}

func newAssignmentState(c *control) *assignmentState {
	return &assignmentState{c: c, machine: layering.New()}
}

// active reports whether this daemon may assign layers: one that is cut off could not send its
// orders.
func (s *assignmentState) active() bool {
	v := &s.c.view
	return v.config != nil && v.serversKnown && !v.draining && !s.c.g.CutOff()
}

func (s *assignmentState) nextTick() time.Time {
	if !s.active() {
		return time.Time{}
	}
	return s.machine.NextTick()
}

// tick passes what has changed to the state machine, and runs its timers.
func (s *assignmentState) tick() {
	v := &s.c.view
	if !s.active() {
		return
	}
	if s.members != v.members {
		s.members = v.members
		s.step(layering.RankChanged{DaemonsAhead: s.daemonsAhead()})
	}
	if s.publishedAt != s.c.listing.publishedAt || s.configVersion != v.config.Version {
		s.publishedAt, s.configVersion = s.c.listing.publishedAt, v.config.Version
		for id, svc := range v.config.Services {
			if svc.Engine != nil {
				s.step(layering.ServersListed{Service: id, Engine: svc.Engine, Servers: v.servers[id]})
			}
		}
	}
	s.step(layering.Tick{})
}

// daemonsAhead counts the live daemons whose ids precede this one's.
func (s *assignmentState) daemonsAhead() int {
	return lo.CountBy(s.c.view.members.Members, func(i membership.Info) bool {
		return i.Live() && !i.Draining && i.Member.ID < s.c.g.self.ID
	})
}

func (s *assignmentState) step(ev layering.Event) {
	before := s.machine.PlanCount()
	actions := s.machine.Step(s.c.now, ev)
	if n := s.machine.PlanCount() - before; n > 0 {
		s.c.g.metrics.Add(telemetry.GatewayLayoutsTotal, int64(n))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case layering.AcquireLease:
			go s.acquire()
		case layering.Order:
			go s.sendOrder(a)
		}
	}
}

// acquire acquires or renews the lease by one conditional write.
func (s *assignmentState) acquire() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	ev := s.tryAcquire(ctx)
	s.c.post(func() { s.acquired(ev) })
}

// tryAcquire reads the lease and writes it if it is free.
func (s *assignmentState) tryAcquire(ctx context.Context) layering.Event {
	g := s.c.g
	// The lease time is counted from before the read: a pause between the two calls must
	// not extend the holder's own view of the lease beyond the stored one.
	sent := time.Now()
	rows, err := g.site.Leases.Read(ctx)
	if err != nil {
		return layering.LeaseNotAcquired{}
	}
	var old leaseRow
	change := site.Change{Key: leaseKey, Conditional: true}
	if row, ok := lo.Find(rows.Rows, func(r site.Row) bool { return r.Key == leaseKey }); ok {
		change.Revision = row.Revision
		if err := json.Unmarshal(row.Value, &old); err != nil {
			g.log.Emit(telemetry.EventLeaseLost, telemetry.Cause(err))
		}
	}
	isHolder := old.Holder == g.self.ID && old.Incarnation == g.self.Incarnation
	if !isHolder && old.Until > rows.Now {
		return layering.LeaseNotAcquired{HeldFor: old.Until - rows.Now}
	}
	next := leaseRow{Holder: g.self.ID, Incarnation: g.self.Incarnation, Fence: old.Fence + 1, Until: rows.Now + layering.LeaseDuration}
	if isHolder && old.Until > rows.Now {
		next.Fence = old.Fence
	}
	next.Fence = max(next.Fence, firstFence(rows.Epoch))
	if change.Value, err = json.Marshal(next); err != nil {
		return layering.LeaseNotAcquired{}
	}
	revision, err := g.site.Leases.Commit(ctx, change)
	if err != nil || site.Epoch(revision) != rows.Epoch {
		// The write may have taken effect nevertheless; the next attempt reads it back.
		return layering.LeaseNotAcquired{}
	}
	return layering.LeaseAcquired{Fence: next.Fence, Sent: sent}
}

// fencesPerEpoch exceeds the takeovers of the lease between two restores of the store.
const fencesPerEpoch = 1 << 20

// firstFence is the lowest fencing number of an epoch.
//
// Guard (store-restored): a restored store has lost the last takeovers, and their numbers would be
// given out again, to other holders. Engines that have seen them would refuse or confuse the orders.
func firstFence(epoch uint64) state.FencingNumber {
	return state.FencingNumber(epoch * fencesPerEpoch)
}

func (s *assignmentState) acquired(ev layering.Event) {
	switch ev := ev.(type) {
	case layering.LeaseAcquired:
		s.c.g.log.Emit(telemetry.EventLeaseAcquired, telemetry.Fencing(ev.Fence))
	default:
	}
	s.step(ev)
}

// sendOrder sends one order, unless the lease has expired meanwhile.
func (s *assignmentState) sendOrder(a layering.Order) {
	g := s.c.g
	if !time.Now().Before(a.SendBefore) {
		s.c.post(func() { s.step(layering.OrderResult{Server: a.Server.Incarnation(), Outcome: layering.Expired}) })
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	answer, err := g.backends.Order(ctx, backend.Order{
		Server: a.Server.ID, Address: a.Server.Address, Layers: a.Layers, FencingNumber: a.Fence, OrderCount: a.OrderCount,
	})
	g.checkIncarnation(a.Server.Incarnation(), a.Server.Address, answer.StartTime)
	ev := layering.OrderResult{Server: a.Server.Incarnation(), Outcome: orderOutcome(answer.Result)}
	if ev.Outcome == layering.Conflict {
		if report, rerr := g.backends.Report(ctx, a.Server.Address); rerr == nil {
			g.checkIncarnation(a.Server.Incarnation(), a.Server.Address, report.StartTime)
			ev.Known, ev.OrderCount, ev.Busy = true, report.OrderCount, report.Busy
		}
	}
	g.log.Emit(telemetry.EventOrderSent, telemetry.Backend(a.Server.ID), telemetry.Fencing(a.Fence),
		telemetry.Layers(a.Layers), telemetry.Detail(orderNames[answer.Result]), telemetry.Cause(err))
	s.c.post(func() { s.step(ev) })
}

// orderNames are the results of layer orders (commands to an engine about its layers) in log
// lines. "begun" means that the engine accepted the order and carries it out, "holds" that it is
// already in the requested state, "conflict" that the order does not match its state, and "fenced"
// that it has seen a higher fencing number.
var orderNames = map[backend.OrderResult]string{
	backend.OrderUnknown:   "unanswered",
	backend.OrderAccepted:  "begun",
	backend.OrderUnchanged: "holds",
	backend.OrderConflict:  "conflict",
	backend.OrderFenced:    "fenced",
	backend.OrderRejected:  "rejected",
}

func orderOutcome(r backend.OrderResult) layering.OrderOutcome {
	switch r {
	case backend.OrderAccepted, backend.OrderUnchanged:
		return layering.Accepted
	case backend.OrderConflict, backend.OrderRejected:
		return layering.Conflict
	case backend.OrderFenced:
		return layering.Fenced
	default:
		return layering.Unanswered
	}
}
