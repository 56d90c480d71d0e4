package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/catalog"
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// scanRetry is the pause after a reading of the stored tables that failed.
const scanRetry = time.Second

// catalogPart keeps the replica tables and layouts of the services with automatic
// placement. It is idle where there is no such service.
type catalogPart struct {
	c      *control
	m      *catalog.Catalog
	active bool
	scanAt time.Time // zero once the stored tables have been read
}

func newCatalogPart(c *control) *catalogPart {
	return &catalogPart{c: c, m: catalog.New(catalog.DefaultConfig(), c.rng)}
}

// start begins to keep tables.
func (p *catalogPart) start() {
	if p.active {
		return
	}
	p.active = true
	p.scanAt = p.c.now
	p.membersChanged(p.c.members.live())
}

func (p *catalogPart) nextTick(now time.Time) time.Time {
	if !p.active {
		return time.Time{}
	}
	next := p.m.NextTick()
	if next.IsZero() {
		next = now
	}
	if !p.scanAt.IsZero() && p.scanAt.Before(next) {
		return p.scanAt
	}
	return next
}

func (p *catalogPart) tick(now time.Time) {
	p.step(catalog.Tick{})
	if !p.scanAt.IsZero() && !now.Before(p.scanAt) {
		p.scan()
	}
}

// scan reads the tables that were stored before this daemon came.
func (p *catalogPart) scan() {
	p.scanAt = p.c.now.Add(scanRetry + 2*p.c.d.set.Store.Timeout.Std())
	call := store.Call{Class: store.ClassLease, Request: store.Scan{Table: catalog.Table}}
	p.c.store.do(call, func(res store.Result) {
		if res.Status != store.Done {
			return
		}
		p.scanAt = time.Time{}
		for _, row := range res.Rows {
			p.step(catalog.OfferTable{Table: tableOf(row)})
		}
	})
}

func (p *catalogPart) step(ev catalog.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		switch a := a.(type) {
		case catalog.Send:
			p.c.d.send(p.c.members.address(a.To), a.Msg)
		case catalog.TableChanged:
			p.changed(a.Table)
		}
	}
}

func (p *catalogPart) membersChanged(live []membership.Info) {
	if !p.active {
		return
	}
	p.step(catalog.Members{Live: lo.FilterMap(live, func(i membership.Info, _ int) (state.DaemonID, bool) {
		return i.Member.ID, i.Member.ID != p.c.d.self.ID
	})})
}

func (p *catalogPart) changed(t controller.ReplicaTable) {
	if service, ok := serviceOfLayout(t.Service); ok {
		p.c.controllers.layoutChanged(service, t)
		return
	}
	p.c.slots.tableChanged(t.Service)
}

// table returns the replica table in force of a service.
func (p *catalogPart) table(id state.ServiceID) controller.ReplicaTable {
	t, _ := p.m.Get(id)
	return t
}
