package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
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
	read    bool // from the platform, in this life
}

// shareTimeout bounds the reading of the list from a peer.
const shareTimeout = 2 * time.Second

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
		p.c.post(func() { p.heard(list, err) })
	}()
}

// seed tells the membership where daemons may be found: those of the list and
// those of the settings, which help a daemon that starts while the list can't be
// read.
func (p *instancesPart) seed(listed []string) {
	all := lo.Uniq(append(listed, p.c.d.set.Peers.Seeds...))
	own := p.c.members.self.Meta.PeerAddress
	p.c.members.step(membership.Seeds{Addresses: lo.Without(all, own)})
}

func (p *instancesPart) heard(list []platform.Instance, err error) {
	p.reading = false
	if err != nil {
		if !p.failing {
			p.c.d.log.Emit(telemetry.EventInstanceListUnavailable, telemetry.Cause(err))
		}
		p.failing = true
		p.askPeer()
		return
	}
	p.failing = false
	p.read = true
	p.take(list)
}

// take puts a list into use.
func (p *instancesPart) take(list []platform.Instance) {
	p.byID = lo.KeyBy(list, func(i platform.Instance) state.InstanceID { return i.ID })
	seeds := lo.FilterMap(list, func(i platform.Instance, _ int) (string, bool) {
		return i.Address, i.Role == platform.RoleEntry
	})
	p.seed(seeds)
	p.c.slots.route(route.RegionsChanged{Regions: lo.SliceToMap(list, func(i platform.Instance) (state.FailureDomain, state.Region) {
		return i.Domain, i.Region
	})})
	p.c.slots.instancesChanged()
}

// askPeer takes the list from a peer where this life has never read it: a daemon
// that starts while the platform is away would otherwise know the documents and
// no backend server's address.
func (p *instancesPart) askPeer() {
	others := lo.Without(p.c.members.liveIDs(), p.c.d.self.ID)
	if p.read || len(others) == 0 {
		return
	}
	address := p.c.members.address(others[p.c.rng.IntN(len(others))])
	go func() {
		list, err := p.c.d.listOf(address)
		if err != nil {
			return // the next failed reading asks another
		}
		p.c.post(func() {
			if !p.read {
				p.take(list)
			}
		})
	}()
}

// listOf reads a peer's instance list.
func (d *Daemon) listOf(address string) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	var list []platform.Instance
	for {
		res, err := d.node.Call(ctx, address, platform.InstanceListRequest{From: len(list)})
		if err != nil {
			return nil, err
		}
		told, ok := res.Msg.(platform.InstanceListPage)
		if !ok || told.Total == 0 {
			return nil, platform.ErrNotFound
		}
		list = append(list, told.Rows...)
		if len(told.Rows) == 0 || len(list) >= told.Total {
			return list, nil
		}
	}
}

// told answers a peer that has no list.
func (p *instancesPart) told(from int) platform.InstanceListPage {
	ids := lo.Keys(p.byID)
	slices.Sort(ids)
	end := min(from+platform.MaxInstanceListPage, len(ids))
	told := platform.InstanceListPage{Total: len(ids)}
	for _, id := range ids[min(from, end):end] {
		told.Rows = append(told.Rows, p.byID[id])
	}
	return told
}
