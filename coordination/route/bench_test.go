package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// largeRouter returns the router of one of 70 daemons in a region with 2,000 replicas
// of one service.
func largeRouter() (*route.Router, []route.Peer, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var peers []route.Peer
	for i := range 70 {
		peers = append(peers, route.Peer{Member: state.Member{ID: state.DaemonID(fmt.Sprintf("entry-%d", i)), Incarnation: 1}})
	}
	r := route.New(route.Config{Self: peers[0].Member}, rand.New(rand.NewPCG(1, 1)))
	r.Step(now, route.ViewChanged{Live: peers})
	r.Step(now, route.ReplicasChanged{Service: "drafting", Capacity: 2000, Replicas: replicasOf(2000, "a")})
	return r, peers, now
}

// BenchmarkRequest measures an AcquireSlot, its grant and its ReleaseSlot.
func BenchmarkRequest(b *testing.B) {
	r, _, now := largeRouter()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-0-%08x", i)), Attempt: 1}
		now = now.Add(time.Millisecond)
		send := r.Step(now, route.AcquireSlot{ID: k, Service: "drafting", Class: "draft", Customer: "a", Deadline: now.Add(time.Second)})[0].(route.Send)
		pool := send.Msg.(home.SlotRequest).Pool
		r.Step(now, route.Received{From: state.Member{ID: send.To, Incarnation: 1}, Msg: home.SlotGrant{ID: k, Pool: pool, Replica: "r00001"}})
		r.Step(now, route.ReleaseSlot{ID: k})
		if i%1000 == 999 {
			r.Step(now, route.Tick{})
		}
	}
}

// BenchmarkView measures a change of the members: the homes of all pools are
// recomputed.
func BenchmarkView(b *testing.B) {
	r, peers, now := largeRouter()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Step(now, route.ViewChanged{Live: peers[:69+i%2]})
	}
}
