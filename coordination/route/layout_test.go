package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func replicasOf(n int, domains ...state.FailureDomain) []state.Replica {
	out := make([]state.Replica, n)
	for i := range out {
		out[i] = state.Replica{
			ID: state.ReplicaID(fmt.Sprintf("r%05d", i)), Service: "drafting", Slots: 8, Speed: 1,
			FailureDomain: domains[i%len(domains)],
		}
	}
	return out
}

var _ = Describe("the layout of pools", func() {
	It("assigns every replica once and moves none when another leaves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := replicasOf(rapid.IntRange(2, 300).Draw(t, "replicas"), "a")
			gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
			e := route.ReplicasChanged{Service: "drafting", Capacity: len(all), Replicas: all}
			before := map[state.ReplicaID]home.PoolID{}
			for _, p := range route.Partition(e, nil, 64) {
				for _, r := range p.Replicas {
					before[r.ID] = p.ID
				}
			}
			if len(before) != len(all) {
				t.Fatalf("%d of %d replicas are in pools", len(before), len(all))
			}
			e.Replicas = append(append([]state.Replica(nil), all[:gone]...), all[gone+1:]...)
			for _, p := range route.Partition(e, nil, 64) {
				for _, r := range p.Replicas {
					if before[r.ID] != p.ID {
						t.Fatalf("%s moved", r.ID)
					}
				}
			}
		})
	})

	It("creates pools of about 64 replicas for 12,000 replicas", func() {
		e := route.ReplicasChanged{Service: "drafting", Capacity: 12000, Replicas: replicasOf(12000, "a")}
		most := 0
		for _, p := range route.Partition(e, nil, 64) {
			most = max(most, len(p.Replicas))
		}
		Expect(most).To(BeNumerically("<", 90))
	})

	// Two regions are partitioned from each other, and each sees only its own daemons.
	// Callers in a region must not notice.
	It("keeps each region's homes during a partition between regions", Label("failure:regions-parted"), func() {
		regions := map[state.FailureDomain]state.Region{"a": "north", "b": "south"}
		peers := func(region state.Region) (out []route.Peer) {
			for i := range 5 {
				id := state.DaemonID(fmt.Sprintf("%s-%d", region, i))
				out = append(out, route.Peer{Member: state.Member{ID: id, Incarnation: 1}, Region: region})
			}
			return out
		}
		self := peers("north")[0].Member
		r := route.New(route.Config{Self: self, Region: "north", Regions: regions}, rand.New(rand.NewPCG(1, 1)))
		e := route.ReplicasChanged{Service: "drafting", Capacity: 500, Replicas: replicasOf(500, "a", "b")}
		r.Step(time.Time{}.Add(time.Second), e)
		r.Step(time.Time{}.Add(time.Second), route.ViewChanged{Live: append(peers("north"), peers("south")...)})
		homes := map[home.PoolID]state.DaemonID{}
		for _, p := range route.Partition(e, regions, 64) {
			homes[p.ID], _ = r.Home(p.ID)
			Expect(string(homes[p.ID])).To(HavePrefix(string(regions[p.Replicas[0].FailureDomain])))
		}
		r.Step(time.Time{}.Add(2*time.Second), route.ViewChanged{Live: peers("north")})
		for _, p := range route.Partition(e, regions, 64) {
			if regions[p.Replicas[0].FailureDomain] == "north" {
				now, _ := r.Home(p.ID)
				Expect(now).To(Equal(homes[p.ID]))
			}
		}
	})
})

var _ = Describe("a fleet under random faults", func() {
	It("ends each request once, leaks no slot, and runs nothing without a grant", func() {
		total := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newCluster(5, rapid.IntRange(1, 6).Draw(t, "replicas"), 3, float64(rapid.IntRange(2, 20).Draw(t, "rate")))
			for range rapid.IntRange(1, 12).Draw(t, "faults") {
				s.injectFault(t)
				s.loop.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			s.Drop = nil
			s.SyncViews()
			s.drain()
			if w := s.violation(); w != "" {
				t.Fatal(w)
			}
			total += len(s.jobs)
		})
		Expect(total).To(BeNumerically(">", 100))
	})
})

// injectFault injects one random fault.
func (s *cluster) injectFault(t *rapid.T) {
	i := rapid.IntRange(0, len(s.Daemons)-1).Draw(t, "daemon")
	d := s.Daemons[i]
	switch rapid.SampledFrom([]string{"kill", "drop", "no-drop", "partial-view", "full-view", "leaving", "drain", "engine"}).Draw(t, "fault") {
	case "kill":
		if len(s.Peers()) > 2 && !d.Dead {
			s.Kill(d, time.Second)
		}
	case "drop":
		s.Drop = func(from, to state.DaemonID, _ home.Message) bool { return from != to && s.rng.IntN(10) == 0 }
	case "no-drop":
		s.Drop = nil
	case "partial-view":
		var rest []route.Peer
		for _, p := range s.Peers() {
			if p.Member.ID == d.Member.ID || s.rng.IntN(2) == 0 {
				rest = append(rest, p)
			}
		}
		d.SetView(rest)
	case "full-view":
		s.SyncViews()
	case "leaving":
		if len(s.specs) > 1 {
			d.NotifyLeaving(s.specs[0].ID)
		}
	case "drain":
		d.Draining = i > 0
		s.SyncViews()
	case "engine":
		e := s.Engines[s.specs[len(s.specs)-1].ID]
		e.Dead = !e.Dead
	}
}
