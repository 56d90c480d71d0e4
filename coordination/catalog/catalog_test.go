package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/catalog"
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// fleet runs catalogs that talk to each other in virtual time.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	nodes    []*catalog.Catalog
	late     []delivery
	lost     float64
	bytes    int
	messages int
	backward string
	seen     []map[state.ServiceID]controller.ReplicaTable
}

type delivery struct {
	at       time.Time
	from, to int
	msg      catalog.Message
}

func id(i int) state.DaemonID { return state.DaemonID(fmt.Sprintf("entry-%03d", i)) }

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0)}
	for i := range n {
		f.nodes = append(f.nodes, catalog.New(catalog.DefaultConfig(), rand.New(rand.NewPCG(seed, uint64(i)))))
		f.seen = append(f.seen, map[state.ServiceID]controller.ReplicaTable{})
	}
	for i := range n {
		var peers []state.DaemonID
		for j := range n {
			if j != i {
				peers = append(peers, id(j))
			}
		}
		f.step(i, catalog.Members{Live: peers})
	}
	return f
}

func (f *fleet) step(i int, ev catalog.Event) {
	for _, a := range f.nodes[i].Step(f.now, ev) {
		switch a := a.(type) {
		case catalog.TableChanged:
			if !a.Table.Newer(f.seen[i][a.Table.Service]) {
				f.backward = fmt.Sprintf("%s went back to %d/%d", id(i), a.Table.Fencing, a.Table.Serial)
			}
			f.seen[i][a.Table.Service] = a.Table
		case catalog.Send:
			b, _ := msgpack.Marshal(a.Msg)
			f.bytes += len(b)
			f.messages++
			var to int
			_, _ = fmt.Sscanf(string(a.To), "entry-%d", &to)
			if f.rng.Float64() >= f.lost {
				f.late = append(f.late, delivery{f.now.Add(time.Duration(f.rng.IntN(40)+1) * time.Millisecond), i, to, a.Msg})
			}
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		due := f.late
		f.late = nil
		for _, x := range due {
			if x.at.After(f.now) {
				f.late = append(f.late, x)
				continue
			}
			f.step(x.to, catalog.Received{From: state.Member{ID: id(x.from)}, Msg: x.msg})
		}
		for i, c := range f.nodes {
			if !f.now.Before(c.NextTick()) {
				f.step(i, catalog.Tick{})
			}
		}
	}
}

func table(service state.ServiceID, fencing state.FencingNumber, serial uint64, replicas ...controller.Replica) controller.ReplicaTable {
	return controller.ReplicaTable{Service: service, Document: 1, Fencing: fencing, Serial: serial, Replicas: replicas}
}

func replica(i int, leaving bool) controller.Replica {
	c := controller.Chain{ID: state.ReplicaID(fmt.Sprintf("drafts-%04d", i))}
	for j := range 4 {
		c.Stages = append(c.Stages, controller.Stage{
			Backend:    state.BackendID(fmt.Sprintf("engine-%05d", 4*i+j)),
			Assignment: controller.Assignment{Model: "kerala-notes", Version: "2026-11-30", Layers: state.LayerRange{First: 20 * j, End: 20*j + 20}},
		})
	}
	return controller.Replica{Chain: c, Leaving: leaving}
}

// TestAllConverge publishes random tables by holders whose numbers grow, some of
// them stale, over a network that loses and reorders, and checks that no daemon
// goes back and that all end with the newest table.
func TestAllConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "daemons"))
		f.lost = rapid.Float64Range(0, 0.5).Draw(t, "lost")
		newest := table("drafts", 0, 0)
		serials := map[state.FencingNumber]uint64{}
		for range rapid.IntRange(1, 100).Draw(t, "tables") {
			fencing := state.FencingNumber(rapid.IntRange(1, 3).Draw(t, "fencing"))
			serials[fencing]++
			next := table("drafts", fencing, serials[fencing])
			for i := range rapid.IntRange(0, 6).Draw(t, "replicas") {
				next.Replicas = append(next.Replicas, replica(i, rapid.Bool().Draw(t, "leaving")))
			}
			if next.Newer(newest) {
				newest = next
			}
			f.step(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "at"), catalog.OfferTable{Table: next})
			f.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		}
		f.lost = 0
		f.run(15 * time.Second)
		if f.backward != "" {
			t.Fatal(f.backward)
		}
		for i, c := range f.nodes {
			got, _ := c.Get("drafts")
			if fmt.Sprint(got) != fmt.Sprint(newest) {
				t.Fatalf("%s has %v, want %v", id(i), got, newest)
			}
		}
	})
}

// change runs n daemons that hold a table of 800 replicas and changes one. It
// returns when all had it, and the bytes that each sent, for the change and in a
// second without one.
func change(seed uint64, n int) (took time.Duration, bytes, idle float64) {
	f := newFleet(seed, n)
	first := table("drafts", 1, 1)
	for i := range 800 {
		first.Replicas = append(first.Replicas, replica(i, false))
	}
	for i := range n {
		f.step(i, catalog.OfferTable{Table: first})
	}
	f.run(2 * time.Second)
	f.bytes = 0
	f.run(2 * time.Second)
	idle = float64(f.bytes) / 2 / float64(n)
	f.bytes = 0
	next := table("drafts", 1, 2, slices.Clone(first.Replicas)...)
	next.Replicas[17].Leaving = true
	begin := f.now
	f.step(0, catalog.OfferTable{Table: next})
	for reached := 0; reached < n && f.now.Sub(begin) < time.Minute; {
		f.run(10 * time.Millisecond)
		reached = 0
		for _, c := range f.nodes {
			if got, _ := c.Get("drafts"); got.Serial == 2 {
				reached++
			}
		}
	}
	took = f.now.Sub(begin)
	return took, float64(f.bytes)/float64(n) - idle*took.Seconds(), idle
}

var _ = Describe("catalog", func() {
	// A chain dies at plan size. Callers of every daemon are routed to it until
	// the change has come there, so it must come to all within seconds and cost
	// little, whatever the number of daemons.
	It("brings a change to 420 daemons", func() {
		for _, n := range []int{9, 50, 150, 420} {
			longest, bytes, idle := time.Duration(0), 0.0, 0.0
			for seed := range uint64(4) {
				took, b, i := change(seed, n)
				longest, bytes, idle = max(longest, took), max(bytes, b), max(idle, i)
			}
			AddReportEntry(fmt.Sprintf("%d daemons", n), fmt.Sprintf(
				"all after %v; %.0f bytes a daemon for the change; %.0f B/s a daemon idle (worst of 4)", longest, bytes, idle))
			Expect(longest).To(BeNumerically("<", 4*time.Second))
		}
	})

	// The store is down when a daemon starts: it knows no table, and gets all
	// from a peer.
	It("fills a new daemon from a peer alone", Label("failure:daemon-replaced-during-store-outage"), func() {
		f := newFleet(5, 3)
		first := table("drafts", 1, 1)
		for i := range 800 {
			first.Replicas = append(first.Replicas, replica(i, false))
		}
		f.step(0, catalog.OfferTable{Table: first})
		f.run(3 * time.Second)
		got, ok := f.nodes[2].Get("drafts")
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(first))
	})
})

func BenchmarkApplyChange(b *testing.B) {
	c := catalog.New(catalog.DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	t := table("drafts", 1, 1)
	for i := range 800 {
		t.Replicas = append(t.Replicas, replica(i, false))
	}
	c.Step(time.Unix(0, 0), catalog.OfferTable{Table: t})
	b.ReportAllocs()
	for b.Loop() {
		from := catalog.Version{Fencing: 1, Serial: t.Serial}
		t.Serial++
		c.Step(time.Unix(0, 0), catalog.Received{Msg: catalog.Delta{
			Service: "drafts", From: from, To: catalog.Version{Fencing: 1, Serial: t.Serial},
			Set: []controller.Replica{replica(17, t.Serial%2 == 0)}, Parts: 1,
		}})
	}
}
