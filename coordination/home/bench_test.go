package home_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// bench returns a home without the simulation's records, so that only the home is
// measured.
func bench(replicaCount, slots int) (*home.Home, func(home.Event)) {
	h := home.New(home.Config{})
	now := start
	step := func(ev home.Event) {
		now = now.Add(time.Microsecond)
		h.Step(now, ev)
	}
	step(home.DocumentChanged{Document: document(1<<20, 10)})
	step(home.PoolsAssigned{Pools: []home.PoolSpec{{ID: poolID, Service: "drafting", Replicas: replicas(replicaCount, slots, 1, 0.7, 0.5, 0.3, 0.2)}}})
	return h, step
}

func slotRequests(n int) []home.SlotRequest {
	out := make([]home.SlotRequest, n)
	for i := range out {
		out[i] = home.SlotRequest{
			ID:   home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-1-%012x", i)), Attempt: 1},
			Pool: poolID, Class: "draft", Customer: customer(i % 10), Budget: time.Hour, Cost: 300,
		}
	}
	return out
}

func received(msg home.Message) home.Received {
	return home.Received{From: entry1, Msg: msg}
}

// BenchmarkGrantAndRelease measures one slot request that finds a free slot, and its
// release, at a half full pool of 64 replicas.
func BenchmarkGrantAndRelease(b *testing.B) {
	_, step := bench(64, 8)
	all := slotRequests(256 + 1024)
	for _, m := range all[:256] {
		step(received(m))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m := all[256+i%1024]
		step(received(m))
		step(received(home.SlotRelease{ID: m.ID, Pool: poolID, Tokens: 300, DecodeTime: time.Second}))
	}
}

// BenchmarkQueueAndGrantNext measures one slot request that queues, and a release that
// grants the next one in the queue, at a full pool of 64 replicas with 200 requests of
// 10 customers waiting.
func BenchmarkQueueAndGrantNext(b *testing.B) {
	_, step := bench(64, 8)
	const slots, waiting = 64 * 7, 200 // one slot of each replica is reserved
	all := slotRequests(slots + waiting + 100_000)
	for _, m := range all[:slots+waiting] {
		step(received(m))
	}
	next := slots + waiting
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		step(received(all[next%len(all)]))
		step(received(home.SlotRelease{ID: all[i%len(all)].ID, Pool: poolID, Tokens: 300, DecodeTime: time.Second}))
		next++
	}
}

// BenchmarkRenewal measures one holder's renewal.
func BenchmarkRenewal(b *testing.B) {
	_, step := bench(64, 8)
	ev := received(home.Renewal{Pools: []home.PoolDigest{{Pool: poolID}}})
	b.ReportAllocs()
	for b.Loop() {
		step(ev)
	}
}

// BenchmarkMemory reports the bytes that the home uses per waiting request and per
// grant, without the strings of the messages.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	for name, slots := range map[string]int{"wait": 1, "grant": 2 * n} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				all := slotRequests(n)
				h, step := bench(1, slots)
				before := heap()
				for _, m := range all {
					step(received(m))
				}
				b.ReportMetric(float64(heap()-before)/n, "B/"+name)
				runtime.KeepAlive(h)
				runtime.KeepAlive(all)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMessages reports the encoded size of each message.
func BenchmarkMessages(b *testing.B) {
	ask := home.SlotRequestID{Request: "entry-1-000000000abc", Attempt: 1}
	summary := home.Summary{Slots: 320, Used: 300, Waiting: 20, Rate: 60}
	request := home.SlotRequest{
		ID: ask, Pool: poolID, Class: "draft", Customer: "customer-1",
		Budget: 10 * time.Second, FirstTokenLatency: 400 * time.Millisecond, Cost: 300,
	}
	for name, m := range map[string]home.Message{
		"SlotRequest": request,
		"SlotGrant":   home.SlotGrant{ID: ask, Pool: poolID, Replica: "replica-017", Summary: summary},
		"SlotRefusal": home.SlotRefusal{ID: ask, Pool: poolID, Reason: state.ReasonDeadline, RetryAfter: 3, Summary: summary},
		"SlotRelease": home.SlotRelease{ID: ask, Pool: poolID, Replica: "replica-017", Tokens: 300, DecodeTime: 8 * time.Second},
		"PoolDigest":  home.Renewal{Pools: []home.PoolDigest{{Pool: poolID, Held: ask.Digest(), Waiting: ask.Digest()}}},
		"HeldGrant":   home.GrantReport{Pool: poolID, Held: []home.HeldGrant{{ID: ask, Replica: "replica-017", Class: "draft"}}},
	} {
		b.Run(name, func(b *testing.B) {
			var out []byte
			for b.Loop() {
				out, _ = msgpack.Marshal(m)
			}
			b.ReportMetric(float64(len(out)), "B/msg")
		})
	}
}
