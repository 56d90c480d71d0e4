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

// leaseKey is the row of the lease of giving orders.
const leaseKey = "layers"

// orderTimeout bounds one order: engines answer within some ms, or not at all.
const orderTimeout = 800 * time.Millisecond

// leaseRow is the lease as it stands in the store. Until is by the store's clock.
type leaseRow struct {
	Holder state.DaemonID      `json:"holder"`
	Life   state.Incarnation   `json:"life"`
	Fence  state.FencingNumber `json:"fence"`
	Until  time.Duration       `json:"until"`
}

// dutyPart orders layers while this daemon holds the lease.
type dutyPart struct {
	c *control
	m *layering.Machine

	servedList  time.Time // the list that the machine has last got
	servedState *membership.View
	version     uint64 // of the configuration that it has last got
}

func newDutyPart(c *control) *dutyPart {
	return &dutyPart{c: c, m: layering.New()}
}

// active reports whether this daemon may take up the duty.
func (p *dutyPart) active() bool {
	v := &p.c.view
	return v.config != nil && v.listed && !v.draining
}

func (p *dutyPart) nextTick() time.Time {
	if !p.active() {
		return time.Time{}
	}
	return p.m.NextTick()
}

// tick tells the machine what has changed, and runs its timers.
func (p *dutyPart) tick() {
	v := &p.c.view
	if !p.active() {
		return
	}
	if p.servedState != v.members {
		p.servedState = v.members
		p.step(layering.RankChanged{DaemonsAhead: p.rank()})
	}
	if p.servedList != p.c.listing.changed || p.version != v.config.Version {
		p.servedList, p.version = p.c.listing.changed, v.config.Version
		for id, svc := range v.config.Services {
			if svc.Engine != nil {
				p.step(layering.ServersListed{Service: id, Engine: svc.Engine, Servers: v.servers[id]})
			}
		}
	}
	p.step(layering.Tick{})
}

// rank counts the live daemons whose ids come before this one's.
func (p *dutyPart) rank() int {
	return lo.CountBy(p.c.view.members.Members, func(i membership.Info) bool {
		return i.Live() && !i.Draining && i.Member.ID < p.c.g.self.ID
	})
}

func (p *dutyPart) step(ev layering.Event) {
	before := p.m.PlanCount()
	actions := p.m.Step(p.c.now, ev)
	if n := p.m.PlanCount() - before; n > 0 {
		p.c.g.metrics.Add(telemetry.GatewayLayoutsTotal, int64(n))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case layering.AcquireLease:
			go p.acquire()
		case layering.Order:
			go p.order(a)
		}
	}
}

// acquire takes the lease, or renews it, by one conditional write.
func (p *dutyPart) acquire() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	ev := p.take(ctx)
	p.c.post(func() { p.acquired(ev) })
}

// take reads the lease and writes it if it is free.
func (p *dutyPart) take(ctx context.Context) layering.Event {
	g := p.c.g
	// The row's span begins with the read: a pause between the two calls must not
	// make the holder's own span end after it.
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
	mine := old.Holder == g.self.ID && old.Life == g.self.Incarnation
	if !mine && old.Until > rows.Now {
		return layering.LeaseNotAcquired{HeldFor: old.Until - rows.Now}
	}
	next := leaseRow{Holder: g.self.ID, Life: g.self.Incarnation, Fence: old.Fence + 1, Until: rows.Now + layering.LeaseDuration}
	if mine && old.Until > rows.Now {
		next.Fence = old.Fence
	}
	if change.Value, err = json.Marshal(next); err != nil {
		return layering.LeaseNotAcquired{}
	}
	if _, err := g.site.Leases.Commit(ctx, change); err != nil {
		// It may have been done all the same; the next attempt reads it back.
		return layering.LeaseNotAcquired{}
	}
	return layering.LeaseAcquired{Fence: next.Fence, Sent: sent}
}

func (p *dutyPart) acquired(ev layering.Event) {
	switch ev := ev.(type) {
	case layering.LeaseAcquired:
		p.c.g.log.Emit(telemetry.EventLeaseAcquired, telemetry.Fencing(ev.Fence))
	default:
	}
	p.step(ev)
}

// order sends one order, unless the lease has run out meanwhile.
func (p *dutyPart) order(a layering.Order) {
	g := p.c.g
	if !time.Now().Before(a.SendBefore) {
		p.c.post(func() { p.step(layering.OrderResult{Server: a.Server.Life(), Outcome: layering.Expired}) })
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	answer, err := g.backends.Order(ctx, backend.Order{
		Server: a.Server.ID, Address: a.Server.Address, Layers: a.Layers, Fence: a.Fence, Orders: a.OrderCount,
	})
	g.metLife(a.Server.Life(), a.Server.Address, answer.Born)
	ev := layering.OrderResult{Server: a.Server.Life(), Outcome: orderEnd(answer.Result)}
	if ev.Outcome == layering.Conflict {
		if report, rerr := g.backends.Report(ctx, a.Server.Address); rerr == nil {
			g.metLife(a.Server.Life(), a.Server.Address, report.Born)
			ev.Known, ev.OrderCount, ev.Busy = true, report.Orders, report.Busy
		}
	}
	g.log.Emit(telemetry.EventOrderSent, telemetry.Backend(a.Server.ID), telemetry.Fencing(a.Fence),
		telemetry.Layers(a.Layers), telemetry.Detail(orderNames[answer.Result]), telemetry.Cause(err))
	p.c.post(func() { p.step(ev) })
}

// orderNames are the results of orders in log lines.
var orderNames = map[backend.OrderResult]string{
	backend.OrderUnknown:  "unanswered",
	backend.OrderBegun:    "begun",
	backend.OrderHolds:    "holds",
	backend.OrderConflict: "conflict",
	backend.OrderFenced:   "fenced",
	backend.OrderRejected: "rejected",
}

func orderEnd(r backend.OrderResult) layering.OrderOutcome {
	switch r {
	case backend.OrderBegun, backend.OrderHolds:
		return layering.Accepted
	case backend.OrderConflict, backend.OrderRejected:
		return layering.Conflict
	case backend.OrderFenced:
		return layering.Fenced
	default:
		return layering.Unanswered
	}
}
