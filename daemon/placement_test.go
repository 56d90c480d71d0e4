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
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// Two kinds of engine; a replica needs two engines of either.
var (
	fencedSpares   = site.Spares{Prefix: "large", Kind: "large", ChecksFencing: true, ModelLayers: 8, Domain: site.Domains[0]}
	unfencedSpares = site.Spares{Prefix: "small", Kind: "small", ModelLayers: 8, Domain: site.Domains[1]}
)

// autoHarness is a cluster with automatic placement of the drafts service.
type autoHarness struct {
	*harness
	log *eventLog
}

// newAutoHarness starts daemons and empty engines, and waits until the drafts
// service is placed on them.
func newAutoHarness(daemons, large, small, replicas int) *autoHarness {
	GinkgoHelper()
	log := &eventLog{}
	s, err := site.New(telemetry.NewLog(telemetry.LogConfig{Level: "debug", Output: io.MultiWriter(GinkgoWriter, log)}))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	h := &autoHarness{harness: &harness{Site: s, ctx: ctx}, log: log}
	for _, spares := range []site.Spares{fencedSpares, unfencedSpares} {
		spares.Count = large
		if spares.Kind == unfencedSpares.Kind {
			spares.Count = small
		}
		Expect(s.AddSpares(spares, standin.EngineConfig{StepTime: time.Millisecond, LayerLoadTime: 5 * time.Millisecond})).To(Succeed())
	}
	for range daemons {
		h.addDaemon(nil)
	}
	h.apply(0, autoDocument("1", replicas))
	h.awaitServing(1)
	h.awaitPlaced("1", replicas)
	return h
}

func autoDocument(version string, replicas int) service.Document {
	doc := draftsDocument()
	doc.Model.Version = version
	doc.Capacity.Replicas = replicas
	doc.Placement = service.Placement{Mode: service.PlacementAuto}
	doc.BackendKinds = []service.BackendKind{
		{Kind: fencedSpares.Kind, ChecksFencing: true, Speed: 1, MemoryLayers: 4},
		{Kind: unfencedSpares.Kind, Speed: 0.5, MemoryLayers: 4},
	}
	return doc
}

// awaitLoaded waits until engines hold complete replicas of a version.
func (h *autoHarness) awaitLoaded(version string, replicas int) {
	GinkgoHelper()
	Eventually(func() int { return h.loadedLayers(version) }).WithTimeout(testTimeout).Should(Equal(replicas * chains.Layers))
}

// awaitPlaced waits until engines hold complete replicas of a version and
// nothing else.
func (h *autoHarness) awaitPlaced(version string, replicas int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		g.Expect(h.loadedLayers(version)).To(Equal(replicas * chains.Layers))
		g.Expect(h.layersOnKind(fencedSpares.Kind) + h.layersOnKind(unfencedSpares.Kind)).To(Equal(replicas * chains.Layers))
	}).WithTimeout(testTimeout).Should(Succeed())
}

// loadedLayers counts the layers of a version that live engines hold.
func (h *autoHarness) loadedLayers(version string) int {
	sum := 0
	for _, e := range h.Engines {
		if st := e.State(); e.Alive() && !st.Loading && st.Version == version {
			sum += st.Layers.Len()
		}
	}
	return sum
}

// awaitComplete waits until a request at a daemon is answered completely.
func (h *autoHarness) awaitComplete(n int, key string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		k := fmt.Sprintf("%s-%d", key, time.Now().UnixNano())
		stream, refused := h.Daemons[n].Submit(h.ctx, summary(k))
		g.Expect(refused).To(BeNil())
		tokens, outcome := h.read(stream, -1)
		g.Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
	}).WithTimeout(testTimeout).Should(Succeed())
}

// eventLog counts the log lines of a cluster by event.
type eventLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *eventLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count counts the lines of an event for the drafts service.
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

// lines returns the daemons that wrote an event about a backend server, one for each line.
func (l *eventLog) lines(event string, id state.BackendID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range bytes.Lines(l.text.Bytes()) {
		var fields struct{ Event, Backend, Daemon string }
		if json.Unmarshal(line, &fields) == nil && fields.Event == event && fields.Backend == string(id) {
			out = append(out, fields.Daemon)
		}
	}
	return out
}

// holder returns the index of the daemon in the drafts lease row, or -1.
func (h *autoHarness) holder() int {
	for _, row := range h.Platform.Rows(lease.Table) {
		var l lease.Row
		if row.Key != string(drafts) || json.Unmarshal(row.Value, &l) != nil {
			continue
		}
		for n, d := range h.Daemons {
			if d.DaemonStatus(h.ctx).ID == l.Holder.ID {
				return n
			}
		}
	}
	return -1
}

// awaitHolder waits until a daemon other than n holds the drafts lease.
func (h *autoHarness) awaitHolder(n int) int {
	GinkgoHelper()
	Eventually(h.holder).WithTimeout(testTimeout).ShouldNot(Or(Equal(n), Equal(-1)))
	return h.holder()
}

// awaitOwnChains waits until the published table has only replicas of the
// controller's own chains.
func (h *autoHarness) awaitOwnChains(replicas int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		rows := lo.Filter(h.Platform.Rows(catalog.Table), func(row platform.Row, _ int) bool { return row.Key == string(drafts) })
		g.Expect(rows).To(HaveLen(1))
		var t controller.ReplicaTable
		g.Expect(json.Unmarshal(rows[0].Value, &t)).To(Succeed())
		g.Expect(t.Replicas).To(HaveLen(replicas))
		for _, replica := range t.Replicas {
			g.Expect(string(replica.Chain.ID)).NotTo(HavePrefix("drafts/" + chains.Prefix))
		}
	}).WithTimeout(testTimeout).Should(Succeed())
}

// reportDuration adds the duration of a recovery to the test report; there is
// no assertion on it.
func reportDuration(what string, since time.Time) {
	AddReportEntry(what, time.Since(since).Round(10*time.Millisecond).String())
}

// load sends requests to all live daemons until the returned function is
// called. It expects that each ran once and completed.
func (h *autoHarness) load() (stop func()) {
	GinkgoHelper()
	h.awaitLimits()
	var wg sync.WaitGroup
	var ended atomic.Bool
	for i := range 2 * len(h.Daemons) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer GinkgoRecover()
			for n := 0; !ended.Load(); n++ {
				s := summary(fmt.Sprintf("load-%d-%d", i, n))
				if n%2 == 0 {
					s.Class = "note"
				}
				tokens, outcome := h.read(h.submit(i%len(h.Daemons), s), -1)
				expectComplete(tokens, outcome, string(s.IdempotencyKey))
				Expect(h.runCount(string(s.IdempotencyKey))).To(Equal(1))
			}
		}()
	}
	return func() {
		ended.Store(true)
		wg.Wait()
	}
}

var _ = Describe("A service placed automatically", func() {
	// Both kinds of engine, with and without checks of fencing numbers, are
	// loaded and serve at every daemon. An edit that fits on no engine leaves
	// the loaded ones unchanged.
	It("is loaded on both kinds of engine and serves", func() {
		h := newAutoHarness(3, 2, 2, 2)
		for n := range h.Daemons {
			h.awaitComplete(n, "first")
		}
		doc := autoDocument("2", 2)
		doc.BackendKinds[0].MemoryLayers, doc.BackendKinds[1].MemoryLayers = 1, 1
		h.apply(0, doc)
		Eventually(func() int { return h.log.count("placement_short") }).WithTimeout(testTimeout).Should(Equal(1))
		Consistently(func() int { return h.loadedLayers("1") }).WithTimeout(400 * time.Millisecond).Should(Equal(2 * chains.Layers))
		h.awaitComplete(0, "second")
		h.expectNoViolations()
	})

	// Guards against a service that stays short of a replica after a stage
	// died. A spare engine loads the lost layers; the other stage of the chain
	// is not loaded again.
	It("replaces the lost stage of a chain by a spare engine", Label("failure:stage-dies-mid-stream"), func() {
		h := newAutoHarness(3, 3, 2, 2)
		h.awaitLimits()
		stream := h.submit(0, summary("a"))
		first, _ := h.read(stream, 3)
		var lost state.BackendID
		for id, e := range h.Engines {
			if e.HasStarted(stream.ID()) && e.State().Layers.First > 0 {
				lost = id
			}
		}
		Expect(lost).NotTo(BeEmpty())
		start := time.Now()
		h.Engines[lost].Kill()
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		h.awaitPlaced("1", 2)
		reportDuration("stage death to repaired", start)
		for id, e := range h.Engines {
			loads := lo.CountBy(e.Orders(), func(o engine.Order) bool { return o.Kind == engine.OrderLoad })
			Expect(loads).To(BeNumerically("<=", 1), "loads of %s", id)
		}
		for n := range h.Daemons {
			h.awaitComplete(n, "after")
		}
		h.expectNoViolations()
	})

	// Guards against a replica that serves one request for seconds after its restart,
	// although that request is being answered.
	It("takes a restarted replica for good at its first token", Label("failure:probe-outlasts-its-proof"), func() {
		log := &eventLog{}
		s, err := site.New(telemetry.NewLog(telemetry.LogConfig{Output: io.MultiWriter(GinkgoWriter, log)}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		h := &harness{Site: s, ctx: context.Background()}
		one := chains
		one.Replicas = 1
		Expect(s.AddChains(one, standin.EngineConfig{Service: drafts, Model: site.Model, Version: site.Version, Kind: "large", StepTime: 15 * time.Millisecond})).To(Succeed())
		h.addDaemon(nil)
		h.addDaemon(nil)
		doc := draftsDocument()
		doc.Placement, doc.Capacity.Replicas = one.Placement(), 1
		h.apply(0, doc)
		h.awaitServing(1)
		h.awaitLimits()

		first := h.submit(0, summary("a"))
		h.read(first, 3)
		lost := h.Engines[one.Engine(1, 2)]
		lost.Kill()
		Expect(lost.Restart()).To(Succeed())
		Eventually(func() []string { return log.lines("replica_up", "") }).WithTimeout(testTimeout).ShouldNot(BeEmpty())
		status, _ := h.Daemons[0].Status(h.ctx, first.ID())
		Expect(status.Phase).To(Equal(caller.PhaseRunning), "the answer is not needed as proof")
	})

	// Guards against an operator who counts one death as two: a daemon sees it both by a
	// stream that it cuts and by queries that are not answered.
	It("logs a death once at each daemon", Label("failure:stage-dies-mid-stream"), func() {
		h := newAutoHarness(2, 3, 2, 2)
		h.awaitLimits()
		var streams []caller.Stream
		for n := range h.Daemons {
			streams = append(streams, h.submit(n, summary(fmt.Sprintf("s%d", n))), h.submit(n, summary(fmt.Sprintf("t%d", n))))
		}
		for _, s := range streams {
			h.read(s, 3)
		}
		var lost state.BackendID
		for id, e := range h.Engines {
			if e.HasStarted(streams[0].ID()) && e.State().Layers.First > 0 {
				lost = id
			}
		}
		h.Engines[lost].Kill()
		for _, s := range streams {
			h.read(s, -1)
		}
		h.awaitPlaced("1", 2)
		deaths := h.log.lines("backend_died", lost)
		Expect(deaths).NotTo(BeEmpty())
		Expect(lo.Uniq(deaths)).To(HaveLen(len(deaths)), "%v", deaths)
	})

	// Guards against failed or repeated requests during a roll-out. There are
	// too few engines for both versions at once, two more join meanwhile, and
	// the chains of the old version are replaced while they serve.
	It("rolls out a new version under load without failing a request", Label("failure:instance-joins-under-load"), func() {
		h := newAutoHarness(3, 2, 2, 2)
		stop := h.load()
		start := time.Now()
		h.apply(0, autoDocument("2", 2))
		joined := fencedSpares
		joined.Prefix = "joined"
		joined.Count = 2
		Expect(h.AddSpares(joined, standin.EngineConfig{StepTime: time.Millisecond, LayerLoadTime: 5 * time.Millisecond})).To(Succeed())
		h.awaitPlaced("2", 2)
		reportDuration("edit to rolled out", start)
		stop()
		h.expectNoViolations()
	})

	// Guards against reloads when a service is switched from fixed to automatic
	// placement under load: the engines already hold the requested layers.
	It("adopts chains that were fixed before", func() {
		h := &autoHarness{harness: newHarness(3, time.Millisecond), log: &eventLog{}}
		stop := h.load()
		doc := autoDocument("1", chains.Replicas)
		h.apply(0, doc)
		Eventually(h.holder).WithTimeout(testTimeout).ShouldNot(Equal(-1))
		h.awaitOwnChains(chains.Replicas)
		stop()
		for id, e := range h.Engines {
			Expect(lo.CountBy(e.Orders(), func(o engine.Order) bool { return o.Kind != engine.OrderSetRole })).To(BeZero(), "orders to %s", id)
		}
		h.expectNoViolations()
	})

	// Guards against failed requests when the platform removes an engine under
	// load. The engine reports that it is leaving; a spare is loaded while its
	// chain drains, and a new chain replaces it.
	It("replaces a leaving engine without failing a request", Label("failure:backend-leaving"), func() {
		h := newAutoHarness(3, 3, 2, 2)
		stop := h.load()
		start := time.Now()
		id := h.loadedEngine(fencedSpares.Kind)
		h.Engines[id].Leave()
		Eventually(func() int { return h.Engines[id].State().Layers.Len() }).WithTimeout(testTimeout).Should(BeZero())
		reportDuration("leaving report to drained", start)
		h.awaitPlaced("1", 2)
		stop()
		h.expectNoViolations()
	})

	// Guards against orders to another service's engines. The controllers of
	// two services on one site may run at different daemons.
	It("shares the site with another service", func() {
		h := newAutoHarness(3, 4, 0, 1)
		doc := autoDocument("1", 1)
		doc.Service = "checks"
		h.apply(0, doc)
		Eventually(func() map[state.ServiceID]int {
			held := make(map[state.ServiceID]int)
			for _, e := range h.Engines {
				held[e.State().Service] += e.State().Layers.Len()
			}
			return held
		}).WithTimeout(testTimeout).Should(Equal(map[state.ServiceID]int{drafts: chains.Layers, "checks": chains.Layers}))
		for id, e := range h.Engines {
			Expect(e.Orders()).NotTo(BeEmpty(), "%s", id)
			for _, o := range e.Orders() {
				Expect(o.Service).To(Equal(e.State().Service), "order to %s", id)
			}
		}
	})

	// Guards against a service without a controller after the lease holder
	// died. The lease expires, another daemon acquires it and applies later
	// edits.
	It("is controlled by another daemon after the lease holder dies", Label("failure:daemon-dies-mid-stream"), func() {
		h := newAutoHarness(3, 4, 0, 1)
		n := h.holder()
		start := time.Now()
		h.Daemons[n].Kill()
		next := h.awaitHolder(n)
		reportDuration("holder death to takeover", start)
		h.apply(next, autoDocument("2", 1))
		h.awaitLoaded("2", 1)
		reportDuration("holder death to a later edit carried out", start)
		h.awaitComplete(next, "after")
		h.expectNoViolations()
	})

	// Guards against failed requests and a gap in control when the lease holder
	// is drained: it releases the lease once no order is in flight.
	It("is handed off by a daemon that is drained", Label("failure:planned-stop"), func() {
		h := newAutoHarness(3, 4, 0, 1)
		n := h.holder()
		start := time.Now()
		h.Daemons[n].Drain(h.ctx)
		next := h.awaitHolder(n)
		reportDuration("planned stop to takeover", start)
		h.apply(next, autoDocument("2", 1))
		h.awaitLoaded("2", 1)
		Eventually(h.Daemons[n].Done()).WithTimeout(testTimeout).Should(BeClosed())
		Expect(h.log.count("lease_released")).To(Equal(1))
		Expect(h.log.count("lease_lost")).To(BeZero())
		h.expectNoViolations()
	})

	// Guards against conflicting orders while the lease can't be renewed. The
	// table service is down when two chains lose a stage each. Engines that
	// check fencing numbers are repaired immediately. The others can't tell a
	// successor from the holder, so they get no orders until the store is
	// available again.
	It("sends orders only to servers that check fencing numbers while the store is down", Label("failure:store-down"), func() {
		h := newAutoHarness(3, 3, 3, 2)
		h.Platform.Down(true)
		Eventually(func() int { return h.log.count("orders_frozen") }).WithTimeout(testTimeout).Should(BeNumerically(">", 0))
		lost := h.loadedEngine(fencedSpares.Kind)
		start := time.Now()
		h.Engines[lost].Kill()
		Eventually(func() int { return h.layersOnKind(fencedSpares.Kind) }).WithTimeout(testTimeout).Should(Equal(8))
		reportDuration("stage death to repaired, store down", start)
		h.Engines[h.loadedEngine(unfencedSpares.Kind)].Kill()
		Eventually(func() int { return h.log.count("placement_repaired") }).WithTimeout(testTimeout).Should(Equal(2), "the layout has a spare for it")
		h.awaitComplete(0, "meanwhile")
		Consistently(func() int { return h.layersOnKind(unfencedSpares.Kind) }).WithTimeout(700 * time.Millisecond).Should(Equal(4))
		h.Platform.Down(false)
		restored := time.Now()
		h.awaitPlaced("1", 2)
		reportDuration("store available to repaired", restored)
		h.expectNoViolations()
	})

	// Guards against lasting damage by a former holder's order that a process
	// or the network delayed. An engine that checks fencing numbers rejects it.
	// One that ignores them unloads its layers; callers see retries until the
	// holder has loaded them again.
	It("undoes a stale order to a server that ignores fencing numbers", Label("failure:fencing-ignored", "failure:stale-holder-acts"), func() {
		h := newAutoHarness(3, 2, 2, 2)
		stale := engine.Order{Kind: engine.OrderUnload, Service: drafts}
		answer := func(id state.BackendID) engine.OrderStatus {
			c := enginehttp.New(h.Engines[id].Address(), enginehttp.Options{})
			res, err := c.Order(h.ctx, stale)
			Expect(err).NotTo(HaveOccurred())
			return res.Status
		}
		Expect(answer(h.loadedEngine(fencedSpares.Kind))).To(Equal(engine.OrderStale))
		start := time.Now()
		Expect(answer(h.loadedEngine(unfencedSpares.Kind))).To(Equal(engine.OrderApplied))
		Expect(h.layersOnKind(unfencedSpares.Kind)).To(Equal(4))
		h.awaitPlaced("1", 2)
		reportDuration("stale order to undone", start)
		Expect(h.log.count("order_undone")).To(Equal(1))
		for n := range h.Daemons {
			h.awaitComplete(n, "after")
		}
		h.expectNoViolations()
	})
})

// loadedEngine returns an engine of a kind that holds layers.
func (h *autoHarness) loadedEngine(kind string) state.BackendID {
	GinkgoHelper()
	for id, e := range h.Engines {
		if e.Alive() && e.Config().Kind == kind && e.State().Layers.Len() > 0 {
			return id
		}
	}
	Fail("no engine of kind " + kind + " holds layers")
	return ""
}

// layersOnKind counts the layers that the live engines of a kind hold.
func (h *autoHarness) layersOnKind(kind string) int {
	sum := 0
	for _, e := range h.Engines {
		if st := e.State(); e.Alive() && e.Config().Kind == kind && !st.Loading {
			sum += st.Layers.Len()
		}
	}
	return sum
}
