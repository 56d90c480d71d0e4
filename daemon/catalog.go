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

// scanRetryDelay is the pause after a failed read of the stored tables.
const scanRetryDelay = time.Second

// catalogComponent holds the replica tables and layouts of the services with
// automatic placement. It is idle if there is no such service.
type catalogComponent struct {
	c       *control
	machine *catalog.Catalog
	active  bool
	scanAt  time.Time // zero once the stored tables have been read
}

func newCatalogComponent(c *control) *catalogComponent {
	return &catalogComponent{c: c, machine: catalog.New(catalog.DefaultConfig(), c.rng)}
}

// start activates the catalog at the first service with automatic placement.
func (cc *catalogComponent) start() {
	if cc.active {
		return
	}
	cc.active = true
	cc.scanAt = cc.c.now
	cc.membersChanged(cc.c.members.live())
}

func (cc *catalogComponent) nextTick(now time.Time) time.Time {
	if !cc.active {
		return time.Time{}
	}
	next := cc.machine.NextTick()
	if next.IsZero() {
		next = now
	}
	if !cc.scanAt.IsZero() && cc.scanAt.Before(next) {
		return cc.scanAt
	}
	return next
}

func (cc *catalogComponent) tick(now time.Time) {
	cc.step(catalog.Tick{})
	if !cc.scanAt.IsZero() && !now.Before(cc.scanAt) {
		cc.scan()
	}
}

// scan reads the tables that were stored before this daemon started.
func (cc *catalogComponent) scan() {
	cc.scanAt = cc.c.now.Add(scanRetryDelay + 2*cc.c.d.config.Store.Timeout.Std())
	call := store.Call{Class: store.ClassLease, Request: store.Scan{Table: catalog.Table}}
	cc.c.store.do(call, func(res store.Result) {
		if res.Status != store.Done {
			return
		}
		cc.scanAt = time.Time{}
		for _, row := range res.Rows {
			cc.step(catalog.OfferTable{Table: decodeTable(row)})
		}
	})
}

func (cc *catalogComponent) step(ev catalog.Event) {
	for _, a := range cc.machine.Step(cc.c.now, ev) {
		switch a := a.(type) {
		case catalog.Send:
			cc.c.d.send(cc.c.members.address(a.To), a.Msg)
		case catalog.TableChanged:
			cc.handleTableChanged(a.Table)
		}
	}
}

func (cc *catalogComponent) membersChanged(live []membership.Info) {
	if !cc.active {
		return
	}
	cc.step(catalog.Members{Live: lo.FilterMap(live, func(i membership.Info, _ int) (state.DaemonID, bool) {
		return i.Member.ID, i.Member.ID != cc.c.d.self.ID
	})})
}

func (cc *catalogComponent) handleTableChanged(t controller.ReplicaTable) {
	if service, ok := serviceOfLayout(t.Service); ok {
		cc.c.controllers.layoutChanged(service, t)
		return
	}
	cc.c.slots.tableChanged(t.Service)
}

// table returns the active replica table of a service.
func (cc *catalogComponent) table(id state.ServiceID) controller.ReplicaTable {
	t, _ := cc.machine.Get(id)
	return t
}
