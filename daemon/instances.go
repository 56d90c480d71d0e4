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

// instancesTracker reads the platform's list of instances, which lags behind.
// If the list can't be read, the last one stays in use.
type instancesTracker struct {
	c                *control
	byID             map[state.InstanceID]platform.Instance
	next             time.Time
	readInFlight     bool
	failing          bool
	readFromPlatform bool // this incarnation has read the list from the platform
}

// peerListTimeout bounds reading the list from a peer.
const peerListTimeout = 2 * time.Second

func newInstancesTracker(c *control) *instancesTracker {
	return &instancesTracker{c: c, byID: make(map[state.InstanceID]platform.Instance)}
}

func (it *instancesTracker) nextTick(time.Time) time.Time {
	if it.readInFlight {
		return time.Time{}
	}
	if it.next.IsZero() {
		return it.c.now
	}
	return it.next
}

func (it *instancesTracker) tick(now time.Time) {
	it.readInFlight = true
	it.next = now.Add(it.c.d.config.Store.InstancesInterval.Std())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), it.c.d.config.Store.Timeout.Std())
		defer cancel()
		list, err := it.c.d.instances.List(ctx)
		it.c.post(func() { it.handleList(list, err) })
	}()
}

// seed passes the addresses at which daemons may be found to the membership:
// those of the list and those of the settings. The latter help a daemon that
// starts while the list can't be read.
func (it *instancesTracker) seed(listed []string) {
	all := lo.Uniq(append(listed, it.c.d.config.Peers.Seeds...))
	own := it.c.members.self.Meta.PeerAddress
	it.c.members.step(membership.Seeds{Addresses: lo.Without(all, own)})
}

func (it *instancesTracker) handleList(list []platform.Instance, err error) {
	it.readInFlight = false
	if err != nil {
		if !it.failing {
			it.c.d.log.Emit(telemetry.EventInstanceListUnavailable, telemetry.Cause(err))
		}
		it.failing = true
		it.readFromPeer()
		return
	}
	it.failing = false
	it.readFromPlatform = true
	it.applyList(list)
}

// applyList makes a list active.
func (it *instancesTracker) applyList(list []platform.Instance) {
	it.byID = lo.KeyBy(list, func(i platform.Instance) state.InstanceID { return i.ID })
	seeds := lo.FilterMap(list, func(i platform.Instance, _ int) (string, bool) {
		return i.Address, i.Role == platform.RoleEntry
	})
	it.seed(seeds)
	it.c.slots.stepRouter(route.RegionsChanged{Regions: lo.SliceToMap(list, func(i platform.Instance) (state.FailureDomain, state.Region) {
		return i.Domain, i.Region
	})})
	it.c.slots.instancesChanged()
}

// readFromPeer reads the list from a peer if this incarnation has never read it
// from the platform. Without it a daemon that starts while the platform is
// unavailable would have the documents but no backend server's address.
func (it *instancesTracker) readFromPeer() {
	others := lo.Without(it.c.members.liveIDs(), it.c.d.self.ID)
	if it.readFromPlatform || len(others) == 0 {
		return
	}
	address := it.c.members.address(others[it.c.rng.IntN(len(others))])
	go func() {
		list, err := it.c.d.peerList(address)
		if err != nil {
			return // the next failed read tries another peer
		}
		it.c.post(func() {
			if !it.readFromPlatform {
				it.applyList(list)
			}
		})
	}()
}

// peerList reads a peer's instance list.
func (d *Daemon) peerList(address string) ([]platform.Instance, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerListTimeout)
	defer cancel()
	var list []platform.Instance
	for {
		res, err := d.node.Call(ctx, address, platform.InstanceListRequest{From: len(list)})
		if err != nil {
			return nil, err
		}
		reply, ok := res.Msg.(platform.InstanceListPage)
		if !ok || reply.Total == 0 {
			return nil, platform.ErrNotFound
		}
		list = append(list, reply.Rows...)
		if len(reply.Rows) == 0 || len(list) >= reply.Total {
			return list, nil
		}
	}
}

// listRows answers a peer that has no list.
func (it *instancesTracker) listRows(from int) platform.InstanceListPage {
	ids := lo.Keys(it.byID)
	slices.Sort(ids)
	end := min(from+platform.MaxInstanceListPage, len(ids))
	reply := platform.InstanceListPage{Total: len(ids)}
	for _, id := range ids[min(from, end):end] {
		reply.Rows = append(reply.Rows, it.byID[id])
	}
	return reply
}
