package daemon_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Engines of two kinds: a replica takes two of either.
var (
	checking = site.Spares{Prefix: "large", Kind: "large", ChecksFencing: true, ModelLayers: 8, Domain: site.Domains[0]}
	ignoring = site.Spares{Prefix: "small", Kind: "small", ModelLayers: 8, Domain: site.Domains[1]}
)

// newPlaced starts daemons before engines that hold nothing, and has the drafts
// placed on them.
func newPlaced(daemons, large, small, replicas int) *rig {
	GinkgoHelper()
	s, err := site.New(telemetry.NewLog(telemetry.LogConfig{Level: "debug", Format: "text", Output: GinkgoWriter}))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	r := &rig{Site: s, ctx: ctx}
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
	r.awaitLimits()
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

// awaitPlaced waits until engines hold whole replicas of a version, and no other.
func (r *rig) awaitPlaced(version string, replicas int) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		layers, other := 0, 0
		for _, e := range r.Engines {
			st := e.State()
			switch {
			case !e.Alive() || st.Loading:
			case st.Version == version:
				layers += st.Layers.Len()
			default:
				other += st.Layers.Len()
			}
		}
		g.Expect(layers).To(Equal(replicas*8), "layers of version %s", version)
		g.Expect(other).To(BeZero(), "layers of other versions")
	}).WithTimeout(patience).Should(Succeed())
}

// awaitWhole waits until a request gets its whole answer at a daemon.
func (r *rig) awaitWhole(n int, key string) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		k := fmt.Sprintf("%s-%d", key, time.Now().UnixNano())
		stream, refused := r.Daemons[n].Submit(r.ctx, summary(k))
		g.Expect(refused).To(BeNil())
		tokens, outcome := r.read(stream, -1)
		g.Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
	}).WithTimeout(patience).Should(Succeed())
}

var _ = Describe("A service placed automatically", func() {
	// A team writes a document without a word of servers. Both kinds of engine,
	// those that check fencing numbers and those that don't, are loaded and serve
	// at every daemon.
	It("is loaded on both kinds of engine and serves", func() {
		r := newPlaced(3, 2, 2, 2)
		for n := range r.Daemons {
			r.awaitWhole(n, "first")
		}
		r.expectSound()
	})
})
