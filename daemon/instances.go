package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// instancesPart reads the platform's lagging list of instances. An unreadable
// list leaves the last one in use.
type instancesPart struct {
	c       *control
	byID    map[state.InstanceID]platform.Instance
	next    time.Time
	reading bool
	failing bool
}

func newInstancesPart(c *control) *instancesPart {
	return &instancesPart{c: c, byID: make(map[state.InstanceID]platform.Instance)}
}

func (p *instancesPart) nextTick(time.Time) time.Time {
	if p.reading {
		return time.Time{}
	}
	if p.next.IsZero() {
		return p.c.now
	}
	return p.next
}

func (p *instancesPart) tick(now time.Time) {
	p.reading = true
	p.next = now.Add(p.c.d.set.Store.InstancesInterval.Std())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.c.d.set.Store.Timeout.Std())
		defer cancel()
		list, err := p.c.d.instances.List(ctx)
		p.c.post(func() { p.read(list, err) })
	}()
}

func (p *instancesPart) read(list []platform.Instance, err error) {
	p.reading = false
	if err != nil {
		if !p.failing {
			p.c.d.log.Emit(telemetry.EventInstanceListUnavailable, telemetry.Cause(err))
		}
		p.failing = true
		return
	}
	p.failing = false
	p.byID = lo.KeyBy(list, func(i platform.Instance) state.InstanceID { return i.ID })
	seeds := lo.FilterMap(list, func(i platform.Instance, _ int) (string, bool) {
		return i.Address, i.Role == platform.RoleEntry && i.Address != p.c.members.self.Meta.PeerAddress
	})
	p.c.members.step(membership.Seeds{Addresses: seeds})
	p.c.slots.instancesChanged()
}
