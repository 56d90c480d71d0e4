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

// cluster runs catalogs that exchange messages in virtual time.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	nodes      []*catalog.Catalog
	inFlight   []delivery
	loss       float64
	bytes      int
	messages   int
	violation  string
	lastTables []map[state.ServiceID]controller.ReplicaTable
}

type delivery struct {
	at       time.Time
	from, to int
	msg      catalog.Message
}

func id(i int) state.DaemonID { return state.DaemonID(fmt.Sprintf("entry-%03d", i)) }

func newCluster(seed uint64, n int) *cluster {
	cl := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0)}
	for i := range n {
		cl.nodes = append(cl.nodes, catalog.New(catalog.DefaultConfig(), rand.New(rand.NewPCG(seed, uint64(i)))))
		cl.lastTables = append(cl.lastTables, map[state.ServiceID]controller.ReplicaTable{})
	}
	for i := range n {
		var peers []state.DaemonID
		for j := range n {
			if j != i {
				peers = append(peers, id(j))
			}
		}
		cl.step(i, catalog.Members{Live: peers})
	}
	return cl
}

func (cl *cluster) step(i int, ev catalog.Event) {
	for _, a := range cl.nodes[i].Step(cl.now, ev) {
		switch a := a.(type) {
		case catalog.TableChanged:
			if !a.Table.Newer(cl.lastTables[i][a.Table.Service]) {
				cl.violation = fmt.Sprintf("%s went back to fencing number %d, serial number %d", id(i), a.Table.Fencing, a.Table.Serial)
			}
			cl.lastTables[i][a.Table.Service] = a.Table
		case catalog.Send:
			b, _ := msgpack.Marshal(a.Msg)
			cl.bytes += len(b)
			cl.messages++
			var to int
			_, _ = fmt.Sscanf(string(a.To), "entry-%d", &to)
			if cl.rng.Float64() >= cl.loss {
				cl.inFlight = append(cl.inFlight, delivery{cl.now.Add(time.Duration(cl.rng.IntN(40)+1) * time.Millisecond), i, to, a.Msg})
			}
		}
	}
}

func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); cl.now = cl.now.Add(10 * time.Millisecond) {
		due := cl.inFlight
		cl.inFlight = nil
		for _, x := range due {
			if x.at.After(cl.now) {
				cl.inFlight = append(cl.inFlight, x)
				continue
			}
			cl.step(x.to, catalog.Received{From: state.Member{ID: id(x.from)}, Msg: x.msg})
		}
		for i, c := range cl.nodes {
			if !cl.now.Before(c.NextTick()) {
				cl.step(i, catalog.Tick{})
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

// TestAllConverge publishes random tables from lease holders with increasing fencing numbers,
// some of them stale, over a network that loses and reorders messages. It checks that no daemon
// goes back to an older table and that all end with the newest one.
func TestAllConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "daemons"))
		cl.loss = rapid.Float64Range(0, 0.5).Draw(t, "lost")
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
			cl.step(rapid.IntRange(0, len(cl.nodes)-1).Draw(t, "at"), catalog.OfferTable{Table: next})
			cl.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		}
		cl.loss = 0
		cl.run(15 * time.Second)
		if cl.violation != "" {
			t.Fatal(cl.violation)
		}
		for i, c := range cl.nodes {
			got, _ := c.Get("drafts")
			if fmt.Sprint(got) != fmt.Sprint(newest) {
				t.Fatalf("%s has %v, want %v", id(i), got, newest)
			}
		}
	})
}

// measureChange runs n daemons with a table of 800 replicas and changes one replica. It returns
// the time until all daemons have the change, and the bytes sent per daemon for the change and
// in one second without changes.
func measureChange(seed uint64, n int) (took time.Duration, bytes, idle float64) {
	cl := newCluster(seed, n)
	first := table("drafts", 1, 1)
	for i := range 800 {
		first.Replicas = append(first.Replicas, replica(i, false))
	}
	for i := range n {
		cl.step(i, catalog.OfferTable{Table: first})
	}
	cl.run(2 * time.Second)
	cl.bytes = 0
	cl.run(2 * time.Second)
	idle = float64(cl.bytes) / 2 / float64(n)
	cl.bytes = 0
	next := table("drafts", 1, 2, slices.Clone(first.Replicas)...)
	next.Replicas[17].Leaving = true
	begin := cl.now
	cl.step(0, catalog.OfferTable{Table: next})
	for reached := 0; reached < n && cl.now.Sub(begin) < time.Minute; {
		cl.run(10 * time.Millisecond)
		reached = 0
		for _, c := range cl.nodes {
			if got, _ := c.Get("drafts"); got.Serial == 2 {
				reached++
			}
		}
	}
	took = cl.now.Sub(begin)
	return took, float64(cl.bytes)/float64(n) - idle*took.Seconds(), idle
}

var _ = Describe("catalog", func() {
	// A chain of servers fails in a site of up to 420 daemons, the planned size. Every daemon keeps sending requests to it
	// until the daemon receives the change, so the change must reach all daemons within
	// seconds, at a cost that does not grow with the number of daemons.
	It("propagates a change to 420 daemons", func() {
		for _, n := range []int{9, 50, 150, 420} {
			longest, bytes, idle := time.Duration(0), 0.0, 0.0
			for seed := range uint64(4) {
				took, b, i := measureChange(seed, n)
				longest, bytes, idle = max(longest, took), max(bytes, b), max(idle, i)
			}
			AddReportEntry(fmt.Sprintf("%d daemons", n), fmt.Sprintf(
				"all after %v; %.0f bytes a daemon for the change; %.0f B/s a daemon idle (worst of 4)", longest, bytes, idle))
			Expect(longest).To(BeNumerically("<", 4*time.Second))
		}
	})

	// The store is down when a daemon starts: it has no tables, and must receive all of them
	// from a peer.
	It("populates a new daemon from a peer alone", Label("failure:daemon-replaced-during-store-outage"), func() {
		cl := newCluster(5, 3)
		first := table("drafts", 1, 1)
		for i := range 800 {
			first.Replicas = append(first.Replicas, replica(i, false))
		}
		cl.step(0, catalog.OfferTable{Table: first})
		cl.run(3 * time.Second)
		got, ok := cl.nodes[2].Get("drafts")
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
