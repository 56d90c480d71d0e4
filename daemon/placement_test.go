package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/catalog"
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// Engines of two kinds: a replica takes two of either.
var (
	checking = site.Spares{Prefix: "large", Kind: "large", ChecksFencing: true, ModelLayers: 8, Domain: site.Domains[0]}
	ignoring = site.Spares{Prefix: "small", Kind: "small", ModelLayers: 8, Domain: site.Domains[1]}
)

// placed is a site whose drafts are placed automatically.
type placed struct {
	*rig
	log *eventLog
}

// newPlaced starts daemons before engines that hold nothing, and has the drafts
// placed on them.
func newPlaced(daemons, large, small, replicas int) *placed {
	GinkgoHelper()
	log := &eventLog{}
	s, err := site.New(telemetry.NewLog(telemetry.LogConfig{Level: "debug", Output: io.MultiWriter(GinkgoWriter, log)}))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	r := &placed{rig: &rig{Site: s, ctx: ctx}, log: log}
	for _, spares := range []site.Spares{checking, ignoring} {
		spares.Count = large
		if spares.Kind == ignoring.Kind {
			spares.Count = small
		}
		Expect(s.AddSpares(spares, standin.EngineConfig{StepTime: time.Millisecond, LayerLoadTime: 5 * time.Millisecond})).To(Succeed())
	}
	for range daemons {
		r.addDaemon(nil)
	}
	r.apply(0, placedDocument("1", replicas))
	r.awaitServing(1)
	r.awaitPlaced("1", replicas)
	return r
}

func placedDocument(version string, replicas int) service.Document {
	doc := draftsDocument()
	doc.Model.Version = version
	doc.Capacity.Replicas = replicas
	doc.Placement = service.Placement{Mode: service.PlacementAuto}
	doc.BackendKinds = []service.BackendKind{
		{Kind: checking.Kind, ChecksFencing: true, Speed: 1, MemoryLayers: 4},
		{Kind: ignoring.Kind, Speed: 0.5, MemoryLayers: 4},
	}
	return doc
}

// awaitLoaded waits until engines hold whole replicas of a version.
func (r *placed) awaitLoaded(version string, replicas int) {
	GinkgoHelper()
	Eventually(func() int { return r.held(version) }).WithTimeout(patience).Should(Equal(replicas * chains.Layers))
}

// awaitPlaced waits until engines hold whole replicas of a version, and no other.
func (r *placed) awaitPlaced(version string, replicas int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		g.Expect(r.held(version)).To(Equal(replicas * chains.Layers))
		g.Expect(r.layers(checking.Kind) + r.layers(ignoring.Kind)).To(Equal(replicas * chains.Layers))
	}).WithTimeout(patience).Should(Succeed())
}

// held counts the layers of a version that live engines hold.
func (r *placed) held(version string) int {
	sum := 0
	for _, e := range r.Engines {
		if st := e.State(); e.Alive() && !st.Loading && st.Version == version {
			sum += st.Layers.Len()
		}
	}
	return sum
}

// awaitWhole waits until a request gets its whole answer at a daemon.
func (r *placed) awaitWhole(n int, key string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		k := fmt.Sprintf("%s-%d", key, time.Now().UnixNano())
		stream, refused := r.Daemons[n].Submit(r.ctx, summary(k))
		g.Expect(refused).To(BeNil())
		tokens, outcome := r.read(stream, -1)
		g.Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
	}).WithTimeout(patience).Should(Succeed())
}

// eventLog counts the lines of a site's log by event.
type eventLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count counts the lines of an event that are about the drafts.
func (l *eventLog) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range bytes.Split(l.text.Bytes(), []byte("\n")) {
		if bytes.Contains(line, []byte(`"event":"`+event+`"`)) && bytes.Contains(line, []byte(`"service":"drafts"`)) {
			n++
		}
	}
	return n
}

// holder returns which daemon the drafts' lease row names; -1 for none.
func (r *placed) holder() int {
	for _, row := range r.Platform.Rows(lease.Table) {
		var l lease.Row
		if row.Key != string(drafts) || json.Unmarshal(row.Value, &l) != nil {
			continue
		}
		for n, d := range r.Daemons {
			if d.DaemonStatus(r.ctx).ID == l.Holder.ID {
				return n
			}
		}
	}
	return -1
}

// awaitHolder waits until another daemon than n holds the drafts' lease.
func (r *placed) awaitHolder(n int) int {
	GinkgoHelper()
	Eventually(r.holder).WithTimeout(patience).ShouldNot(Or(Equal(n), Equal(-1)))
	return r.holder()
}

// awaitOwnChains waits until replicas of the controller's own chains are published,
// and no others.
func (r *placed) awaitOwnChains(replicas int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		rows := lo.Filter(r.Platform.Rows(catalog.Table), func(row platform.Row, _ int) bool { return row.Key == string(drafts) })
		g.Expect(rows).To(HaveLen(1))
		var t controller.ReplicaTable
		g.Expect(json.Unmarshal(rows[0].Value, &t)).To(Succeed())
		g.Expect(t.Replicas).To(HaveLen(replicas))
		for _, replica := range t.Replicas {
			g.Expect(string(replica.Chain.ID)).NotTo(HavePrefix("drafts/" + chains.Prefix))
		}
	}).WithTimeout(patience).Should(Succeed())
}

// took reports how long a recovery took; nothing is asserted of it.
func took(what string, since time.Time) {
	AddReportEntry(what, time.Since(since).Round(10*time.Millisecond).String())
}

// load runs requests at all live daemons until the returned function is called,
// which expects that each ran once and to its end.
func (r *placed) load() (stop func()) {
	GinkgoHelper()
	r.awaitLimits()
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range 2 * len(r.Daemons) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer GinkgoRecover()
			for n := 0; !ended.Load(); n++ {
				s := summary(fmt.Sprintf("load-%d-%d", i, n))
				if n%2 == 0 {
					s.Class = "note"
				}
				tokens, outcome := r.read(r.submit(i%len(r.Daemons), s), -1)
				expectWhole(tokens, outcome, string(s.IdempotencyKey))
				Expect(r.runs(string(s.IdempotencyKey))).To(Equal(1))
			}
		}()
	}
	return func() {
		ended.Store(true)
		wg.Wait()
	}
}

var _ = Describe("A service placed automatically", func() {
	// A team writes a document without a word of servers. Both kinds of engine,
	// those that check fencing numbers and those that don't, are loaded and serve
	// at every daemon. An edit that fits on no engines leaves them as they are.
	It("is loaded on both kinds of engine and serves", func() {
		r := newPlaced(3, 2, 2, 2)
		for n := range r.Daemons {
			r.awaitWhole(n, "first")
		}
		doc := placedDocument("2", 2)
		doc.BackendKinds[0].MemoryLayers, doc.BackendKinds[1].MemoryLayers = 1, 1
		r.apply(0, doc)
		Eventually(func() int { return r.log.count("placement_short") }).WithTimeout(patience).Should(Equal(1))
		Consistently(func() int { return r.held("1") }).WithTimeout(400 * time.Millisecond).Should(Equal(2 * chains.Layers))
		r.awaitWhole(0, "second")
		r.expectSound()
	})

	// A clerk reads a summary when a stage of its chain dies. The clerk sees a
	// pause and then the rest. Soon the service has two replicas again: a spare
	// holds the lost layers, and the chain's other stage was not loaded anew.
	// Cause: a stage is lost with its memory.
	It("repairs a chain that lost a stage with a spare", Label("failure:stage-dies-mid-stream"), func() {
		r := newPlaced(3, 3, 2, 2)
		r.awaitLimits()
		stream := r.submit(0, summary("a"))
		first, _ := r.read(stream, 3)
		var lost state.BackendID
		for id, e := range r.Engines {
			if e.Runs(stream.ID()) && e.State().Layers.First > 0 {
				lost = id
			}
		}
		Expect(lost).NotTo(BeEmpty())
		began := time.Now()
		r.Engines[lost].Kill()
		rest, outcome := r.read(stream, -1)
		expectWhole(append(first, rest...), outcome, "a")
		r.awaitPlaced("1", 2)
		took("stage death to repaired", began)
		for id, e := range r.Engines {
			loads := lo.CountBy(e.Orders(), func(o engine.Order) bool { return o.Kind == engine.OrderLoad })
			Expect(loads).To(BeNumerically("<=", 1), "loads of %s", id)
		}
		for n := range r.Daemons {
			r.awaitWhole(n, "after")
		}
		r.expectSound()
	})

	// A new version is rolled out in the busy hour, with too few engines for both
	// versions at one time; two more join meanwhile. No caller sees anything: each
	// request runs once and to its end, also those that may not be repeated. Cause:
	// the chains of the old version are replaced while they have work.
	It("rolls a new version out under load without breaking a request", Label("failure:instance-joins-under-load"), func() {
		r := newPlaced(3, 2, 2, 2)
		stop := r.load()
		began := time.Now()
		r.apply(0, placedDocument("2", 2))
		joined := checking
		joined.Prefix = "joined"
		joined.Count = 2
		Expect(r.AddSpares(joined, standin.EngineConfig{StepTime: time.Millisecond, LayerLoadTime: 5 * time.Millisecond})).To(Succeed())
		r.awaitPlaced("2", 2)
		took("edit to rolled out", began)
		stop()
		r.expectSound()
	})

	// A team whose chains were written by hand hands the placement over under load.
	// No caller sees anything, and nothing is loaded anew: the engines already hold
	// what is wanted.
	It("takes chains over that were fixed before", func() {
		r := &placed{rig: newRig(3, time.Millisecond), log: &eventLog{}}
		stop := r.load()
		doc := placedDocument("1", chains.Replicas)
		r.apply(0, doc)
		Eventually(r.holder).WithTimeout(patience).ShouldNot(Equal(-1))
		r.awaitOwnChains(chains.Replicas)
		stop()
		for id, e := range r.Engines {
			Expect(lo.CountBy(e.Orders(), func(o engine.Order) bool { return o.Kind != engine.OrderSetRole })).To(BeZero(), "orders to %s", id)
		}
		r.expectSound()
	})

	// The platform takes an engine back under load, and the engine says so. No
	// caller sees anything: a spare is loaded, the chain of the engine that leaves
	// drains meanwhile, and then another chain has its place.
	It("replaces an engine that leaves without breaking a request", Label("failure:backend-leaving"), func() {
		r := newPlaced(3, 3, 2, 2)
		stop := r.load()
		began := time.Now()
		id := r.holding(checking.Kind)
		r.Engines[id].Leave()
		Eventually(func() int { return r.Engines[id].State().Layers.Len() }).WithTimeout(patience).Should(BeZero())
		took("word of leaving to drained", began)
		r.awaitPlaced("1", 2)
		stop()
		r.expectSound()
	})

	// A second team's service comes to the same site. Each has its own engines, and
	// neither is loaded on the other's. Cause: each service has a controller of its
	// own, at another daemon perhaps.
	It("shares the site with another service", func() {
		r := newPlaced(3, 4, 0, 1)
		doc := placedDocument("1", 1)
		doc.Service = "checks"
		r.apply(0, doc)
		Eventually(func() map[state.ServiceID]int {
			held := make(map[state.ServiceID]int)
			for _, e := range r.Engines {
				held[e.State().Service] += e.State().Layers.Len()
			}
			return held
		}).WithTimeout(patience).Should(Equal(map[state.ServiceID]int{drafts: chains.Layers, "checks": chains.Layers}))
		for id, e := range r.Engines {
			Expect(e.Orders()).NotTo(BeEmpty(), "%s", id)
			for _, o := range e.Orders() {
				Expect(o.Service).To(Equal(e.State().Service), "order to %s", id)
			}
		}
	})

	// The daemon that controls the service dies. Nobody notices; an edit made
	// afterwards is carried out as ever. Cause: its lease runs out and another
	// daemon takes it.
	It("is controlled by another daemon once its holder died", Label("failure:daemon-dies-mid-stream"), func() {
		r := newPlaced(3, 4, 0, 1)
		n := r.holder()
		began := time.Now()
		r.Daemons[n].Kill()
		next := r.awaitHolder(n)
		took("holder death to takeover", began)
		r.apply(next, placedDocument("2", 1))
		r.awaitLoaded("2", 1)
		took("holder death to a later edit carried out", began)
		r.awaitWhole(next, "after")
		r.expectSound()
	})

	// The daemon that controls the service is stopped as planned while requests
	// run. No request is broken, and another daemon controls the service at once.
	// Cause: it releases the lease once no order is under way.
	It("is handed on by a daemon that stops", Label("failure:planned-stop"), func() {
		r := newPlaced(3, 4, 0, 1)
		n := r.holder()
		began := time.Now()
		r.Daemons[n].Drain(r.ctx)
		next := r.awaitHolder(n)
		took("planned stop to takeover", began)
		r.apply(next, placedDocument("2", 1))
		r.awaitLoaded("2", 1)
		Eventually(r.Daemons[n].Done()).WithTimeout(patience).Should(BeClosed())
		Expect(r.log.count("lease_released")).To(Equal(1))
		Expect(r.log.count("lease_lost")).To(BeZero())
		r.expectSound()
	})

	// The table service is down when two chains lose a stage. The one on engines
	// that check fencing numbers is repaired at once; on the others nothing is
	// touched until the store is back. Cause: the lease can't be renewed, and a
	// successor could not be told from the holder by engines that ignore numbers.
	It("orders only servers that check fencing while the store is down", Label("failure:store-down"), func() {
		r := newPlaced(3, 3, 3, 2)
		r.Platform.Down(true)
		Eventually(func() int { return r.log.count("orders_frozen") }).WithTimeout(patience).Should(BeNumerically(">", 0))
		lost := r.holding(checking.Kind)
		began := time.Now()
		r.Engines[lost].Kill()
		Eventually(func() int { return r.layers(checking.Kind) }).WithTimeout(patience).Should(Equal(8))
		took("stage death to repaired, store down", began)
		r.Engines[r.holding(ignoring.Kind)].Kill()
		Eventually(func() int { return r.log.count("placement_repaired") }).WithTimeout(patience).Should(Equal(2), "the layout has a spare for it")
		r.awaitWhole(0, "meanwhile")
		Consistently(func() int { return r.layers(ignoring.Kind) }).WithTimeout(700 * time.Millisecond).Should(Equal(4))
		r.Platform.Down(false)
		back := time.Now()
		r.awaitPlaced("1", 2)
		took("store back to repaired", back)
		r.expectSound()
	})

	// An order of a former holder arrives long after it was sent. An engine that
	// checks fencing numbers refuses it. One that ignores them takes it and loses
	// its layers; callers see retries until the holder has put it right. Cause: a
	// process or a network held the order up.
	It("undoes a stale order to a server that ignores fencing", Label("failure:fencing-ignored", "failure:stale-holder-acts"), func() {
		r := newPlaced(3, 2, 2, 2)
		stale := engine.Order{Kind: engine.OrderUnload, Service: drafts}
		answer := func(id state.BackendID) engine.OrderStatus {
			c := enginehttp.New(r.Engines[id].Address(), enginehttp.Options{})
			res, err := c.Order(r.ctx, stale)
			Expect(err).NotTo(HaveOccurred())
			return res.Status
		}
		Expect(answer(r.holding(checking.Kind))).To(Equal(engine.OrderStale))
		began := time.Now()
		Expect(answer(r.holding(ignoring.Kind))).To(Equal(engine.OrderApplied))
		Expect(r.layers(ignoring.Kind)).To(Equal(4))
		r.awaitPlaced("1", 2)
		took("stale order to undone", began)
		Expect(r.log.count("order_undone")).To(Equal(1))
		for n := range r.Daemons {
			r.awaitWhole(n, "after")
		}
		r.expectSound()
	})
})

// holding returns an engine of a kind that holds layers.
func (r *placed) holding(kind string) state.BackendID {
	GinkgoHelper()
	for id, e := range r.Engines {
		if e.Alive() && e.Config().Kind == kind && e.State().Layers.Len() > 0 {
			return id
		}
	}
	Fail("no engine of kind " + kind + " holds layers")
	return ""
}

// layers counts the layers that the live engines of a kind hold.
func (r *placed) layers(kind string) int {
	sum := 0
	for _, e := range r.Engines {
		if st := e.State(); e.Alive() && e.Config().Kind == kind && !st.Loading {
			sum += st.Layers.Len()
		}
	}
	return sum
}
