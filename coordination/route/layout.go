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

// poolSalt makes the hash that assigns replicas to pools independent of other hashes.
const poolSalt = "pool"

// Partition groups a service's replicas into pools of about size replicas or fewer,
// each within one region. The number of pools is a power of two that follows capacity,
// so that a change of capacity splits or merges whole pools, and a replica that joins
// or leaves moves no other. All daemons with the same document compute the same pools.
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

// poolCount returns the smallest power of two n such that n pools of the given size
// hold capacity replicas.
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

// layout records the pools, their homes, and the pool of each replica.
type layout struct {
	pools    map[home.PoolID]*poolInfo
	services map[state.ServiceID]*serviceInfo
	poolOf   map[state.ReplicaID]home.PoolID
}

// poolInfo is an entry daemon's state of one pool.
type poolInfo struct {
	spec   home.PoolSpec
	region state.Region
	home   state.DaemonID
	load   poolLoad
	usage  poolUsage
}

// serviceInfo lists a service's pools. The first local ones are in this daemon's
// region.
type serviceInfo struct {
	pools []*poolInfo
	local int
}

func newLayout() layout {
	return layout{
		pools:    make(map[home.PoolID]*poolInfo),
		services: make(map[state.ServiceID]*serviceInfo),
		poolOf:   make(map[state.ReplicaID]home.PoolID),
	}
}

// setPools sets the current pools of a service and keeps the state of those that
// remain.
func (l *layout) setPools(service state.ServiceID, specs []home.PoolSpec, regionOf func(home.PoolSpec) state.Region, own state.Region) {
	if old := l.services[service]; old != nil {
		for _, p := range old.pools {
			for _, r := range p.spec.Replicas {
				delete(l.poolOf, r.ID)
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
			l.poolOf[r.ID] = spec.ID
		}
		info.pools = append(info.pools, p)
		if p.region == own {
			info.local++
		}
	}
	slices.SortStableFunc(info.pools, func(a, b *poolInfo) int { return cmp.Compare(distance(a, own), distance(b, own)) })
	l.services[service] = info
	for id, p := range l.pools {
		if p.spec.Service == service && !keep[id] {
			delete(l.pools, id)
		}
	}
}

func distance(p *poolInfo, own state.Region) int {
	if p.region == own {
		return 0
	}
	return 1
}

// assignHomes computes each pool's home among the live peers: a peer of the pool's
// region if there is one, so that regions partitioned from each other keep the homes of
// their own pools.
func (l *layout) assignHomes(live []Peer) {
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

// poolsOf returns the pools that self is home of, by ID.
func (l *layout) poolsOf(self state.DaemonID) []home.PoolSpec {
	var own []home.PoolSpec
	for _, id := range slices.Sorted(maps.Keys(l.pools)) {
		if p := l.pools[id]; p.home == self {
			own = append(own, p.spec)
		}
	}
	return own
}
