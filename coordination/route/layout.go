package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// poolSalt keeps the hash that places replicas in pools apart from others.
const poolSalt = "pool"

// Partition groups a service's replicas into pools of about size replicas or
// fewer, each within one region. Their number is a power of two that follows
// capacity, so that a change of capacity splits or joins whole pools, and a
// replica that comes or goes moves no other. Every daemon with the same
// document computes the same pools.
func Partition(e ReplicasChanged, regions map[state.FailureDomain]state.Region, size int) []home.PoolSpec {
	byRegion := make(map[state.Region][]state.Replica)
	for _, r := range e.Replicas {
		region := regions[r.FailureDomain]
		byRegion[region] = append(byRegion[region], r)
	}
	var pools []home.PoolSpec
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		n := poolCount(e.Capacity/len(byRegion), size)
		pools = append(pools, split(e.Service, region, byRegion[region], n)...)
	}
	return pools
}

// poolCount returns the smallest power of two of pools that hold capacity.
func poolCount(capacity, size int) int {
	n := 1
	for n*size < capacity {
		n *= 2
	}
	return n
}

func split(service state.ServiceID, region state.Region, replicas []state.Replica, n int) []home.PoolSpec {
	byIndex := make(map[uint64][]state.Replica)
	for _, r := range replicas {
		i := rendezvous.Weight(poolSalt, string(r.ID)) & uint64(n-1)
		byIndex[i] = append(byIndex[i], r)
	}
	var pools []home.PoolSpec
	for _, i := range slices.Sorted(maps.Keys(byIndex)) {
		pools = append(pools, home.PoolSpec{
			ID:       home.PoolID(fmt.Sprintf("%s@%s/%d", service, region, i)),
			Service:  service,
			Replicas: byIndex[i],
		})
	}
	return pools
}

// layout is where everything is: pools, their homes, and the replicas' pools.
type layout struct {
	pools    map[home.PoolID]*poolInfo
	services map[state.ServiceID]*serviceInfo
	ofRep    map[state.ReplicaID]home.PoolID
}

// poolInfo is what an entry daemon knows of one pool.
type poolInfo struct {
	spec   home.PoolSpec
	region state.Region
	home   state.DaemonID
	load   lastSeen
	mine   books
}

// serviceInfo lists a service's pools, those of this daemon's region first
// counted by local.
type serviceInfo struct {
	pools []*poolInfo
	local int
}

func newLayout() layout {
	return layout{
		pools:    make(map[home.PoolID]*poolInfo),
		services: make(map[state.ServiceID]*serviceInfo),
		ofRep:    make(map[state.ReplicaID]home.PoolID),
	}
}

// place takes a service's pools as they are now, keeping what is known of
// those that stay.
func (l *layout) place(service state.ServiceID, specs []home.PoolSpec, regionOf func(home.PoolSpec) state.Region, own state.Region) {
	if old := l.services[service]; old != nil {
		for _, p := range old.pools {
			for _, r := range p.spec.Replicas {
				delete(l.ofRep, r.ID)
			}
		}
	}
	info := &serviceInfo{}
	keep := make(map[home.PoolID]bool, len(specs))
	for _, spec := range specs {
		keep[spec.ID] = true
		p := l.pools[spec.ID]
		if p == nil {
			p = &poolInfo{region: regionOf(spec)}
			l.pools[spec.ID] = p
		}
		p.spec = spec
		for _, r := range spec.Replicas {
			l.ofRep[r.ID] = spec.ID
		}
		info.pools = append(info.pools, p)
		if p.region == own {
			info.local++
		}
	}
	slices.SortStableFunc(info.pools, func(a, b *poolInfo) int { return cmp.Compare(far(a, own), far(b, own)) })
	l.services[service] = info
	for id, p := range l.pools {
		if p.spec.Service == service && !keep[id] {
			delete(l.pools, id)
		}
	}
}

func far(p *poolInfo, own state.Region) int {
	if p.region == own {
		return 0
	}
	return 1
}

// settle computes each pool's home among the live peers: one of the pool's
// region where there is one, so that regions which lose each other keep their
// own pools' homes.
func (l *layout) settle(live []Peer) {
	all := make([]state.DaemonID, 0, len(live))
	byRegion := make(map[state.Region][]state.DaemonID)
	for _, p := range live {
		if p.Draining {
			continue
		}
		all = append(all, p.Member.ID)
		byRegion[p.Region] = append(byRegion[p.Region], p.Member.ID)
	}
	for id, p := range l.pools {
		candidates := byRegion[p.region]
		if len(candidates) == 0 {
			candidates = all
		}
		p.home, _ = rendezvous.Owner(string(id), candidates)
	}
}

// owned lists the pools that self is home of, by id.
func (l *layout) owned(self state.DaemonID) []home.PoolSpec {
	var own []home.PoolSpec
	for _, id := range slices.Sorted(maps.Keys(l.pools)) {
		if p := l.pools[id]; p.home == self {
			own = append(own, p.spec)
		}
	}
	return own
}
