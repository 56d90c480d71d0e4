package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	testTimeout = 20 * time.Second // bound of every wait
	noteTokens  = 30
	drafts      = state.ServiceID("drafts")
	alerts      = state.ServiceID("alerts")
	advocates   = state.CustomerID("advocates")
)

var chains = site.Chains{Prefix: "drafter", Replicas: 2, Stages: 2, Layers: 8}

// harness is a cluster of daemons with fake backend servers and platform.
type harness struct {
	*site.Site
	ctx   context.Context
	loads int // number of started loads, whose requests must not share idempotency keys
}

// newHarness starts daemons, two replicas of two stages and one plain server,
// and waits until all serve.
func newHarness(daemons int, step time.Duration) *harness {
	GinkgoHelper()
	return newLoggedHarness(daemons, step, telemetry.Discard())
}

func newLoggedHarness(daemons int, step time.Duration, log *telemetry.Log) *harness {
	GinkgoHelper()
	s, err := site.New(log)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	h := &harness{Site: s, ctx: ctx}
	cfg := standin.EngineConfig{Service: drafts, Model: site.Model, Version: site.Version, Kind: "large", StepTime: step}
	Expect(s.AddChains(chains, cfg)).To(Succeed())
	Expect(s.AddPlain(standin.PlainConfig{ID: "alert-1"}, site.Domains[0])).To(Succeed())
	for range daemons {
		h.addDaemon(nil)
	}
	h.apply(0, draftsDocument())
	h.apply(0, alertsDocument())
	h.awaitServing(2)
	h.awaitLimits()
	return h
}

// awaitLimits waits until every daemon has tokens on loan. The first
// incarnations of the seats grant none until any loan of earlier incarnations
// would have expired.
func (h *harness) awaitLimits() {
	GinkgoHelper()
	for i, d := range h.Daemons {
		Eventually(func(g Gomega) {
			stream, refused := d.Submit(h.ctx, summary(fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())))
			g.Expect(refused).To(BeNil())
			h.read(stream, -1)
		}).WithTimeout(testTimeout).Should(Succeed())
	}
}

func (h *harness) addDaemon(change func(*settings.Settings)) *daemon.Daemon {
	GinkgoHelper()
	d, err := h.AddDaemon(change)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// replaceDaemon starts a daemon in place of one that has stopped.
func (h *harness) replaceDaemon(n int, change func(*settings.Settings)) *daemon.Daemon {
	GinkgoHelper()
	id := h.Daemons[n].DaemonStatus(h.ctx).ID
	d := h.addDaemon(func(set *settings.Settings) {
		set.ID = id
		set.Instance = state.InstanceID(id)
		if change != nil {
			change(set)
		}
	})
	last := len(h.Daemons) - 1
	h.Daemons[n] = d
	h.Daemons = h.Daemons[:last]
	h.awaitServing(2)
	h.awaitLimits()
	return d
}

func draftsDocument() service.Document {
	classes := []service.Class{
		{Name: "note", Priority: 0, Deadline: service.Duration(testTimeout), NeverRepeat: true, MaxTokens: noteTokens},
		{Name: "summary", Priority: 1, Deadline: service.Duration(testTimeout), MaxTokens: noteTokens},
	}
	return site.ModelDocument(drafts, chains, 8, classes, site.Customers(advocates))
}

func alertsDocument() service.Document {
	classes := []service.Class{{Name: "alert", Deadline: service.Duration(testTimeout), NeverRepeat: true}}
	return site.PlainDocument(alerts, []state.BackendID{"alert-1"}, 8, classes, site.Customers(advocates))
}

// apply edits a document at one daemon, based on the version active there.
func (h *harness) apply(n int, doc service.Document) state.DocumentVersion {
	GinkgoHelper()
	current, _ := h.Daemons[n].Document(h.ctx, doc.Service)
	res := h.Daemons[n].Apply(h.ctx, caller.Edit{
		Base: current.Version, EditID: fmt.Sprintf("%s-%d", doc.Service, time.Now().UnixNano()), Text: doc.Encode(),
	})
	Expect(res.Status).To(Equal(caller.EditAccepted), "%v", res.Faults)
	return res.Version
}

// awaitServing waits until all live daemons know each other and have the
// documents.
func (h *harness) awaitServing(documents int) {
	GinkgoHelper()
	live := h.Live()
	for _, d := range live {
		Eventually(func(g Gomega) {
			s := d.DaemonStatus(h.ctx)
			g.Expect(s.Documents).To(HaveLen(documents))
			g.Expect(s.Isolated).To(BeFalse())
			alive := 0
			for _, m := range s.Members {
				if m.State == "alive" {
					alive++
				}
			}
			g.Expect(alive).To(Equal(len(live)))
		}).WithTimeout(testTimeout).Should(Succeed())
	}
}

// addReplica starts one more replica and adds it to the document.
func (h *harness) addReplica(n int) {
	GinkgoHelper()
	more := chains
	more.Replicas = n
	for stage := 1; stage <= chains.Stages; stage++ {
		Expect(h.AddEngine(standin.EngineConfig{
			ID: more.Engine(n, stage), Service: drafts, Model: site.Model, Version: site.Version, Kind: "large",
			StepTime: time.Millisecond, Layers: more.Range(stage), ModelLayers: more.Layers,
		}, site.Domains[0])).To(Succeed())
	}
	doc := draftsDocument()
	doc.Placement = more.Placement()
	doc.Capacity.Replicas = n
	h.apply(0, doc)
}

// promptOf returns a prompt for key whose answer has the maximum length of the
// class.
func promptOf(key string) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("prompt of %s, %d", key, i)
		if len(standin.ExpectedTokens(prompt, noteTokens)) == noteTokens {
			return prompt
		}
	}
}

// note returns a never-repeat request; summary returns a repeatable one.
func note(key string) caller.Submission {
	return caller.Submission{Service: drafts, Customer: advocates, Class: "note", IdempotencyKey: state.IdempotencyKey(key), Prompt: promptOf(key), After: -1}
}

func summary(key string) caller.Submission {
	s := note(key)
	s.Class = "summary"
	return s
}

func alert(key string) caller.Submission {
	s := note(key)
	s.Service = alerts
	s.Class = "alert"
	return s
}

// submit sends a request that must be accepted. On a busy machine a daemon's
// loan of a customer's limit may run out for a moment; the request is then sent
// again, as its refusal allows.
func (h *harness) submit(n int, s caller.Submission) caller.Stream {
	GinkgoHelper()
	var stream caller.Stream
	Eventually(func() state.Outcome {
		var outcome state.Outcome
		stream, outcome = h.Daemons[n].Submit(h.ctx, s)
		if refused, ok := outcome.(state.Refused); ok && refused.Reason == state.ReasonCustomerLimit {
			return outcome
		}
		Expect(outcome).To(BeNil())
		return nil
	}).WithTimeout(testTimeout).Should(BeNil())
	return stream
}

// read reads tokens until it has n or the answer ends; n < 0 reads to the end.
func (h *harness) read(stream caller.Stream, n int) ([]caller.Token, state.Outcome) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(h.ctx, testTimeout)
	defer cancel()
	var tokens []caller.Token
	for n < 0 || len(tokens) < n {
		item, err := stream.Next(ctx)
		Expect(err).NotTo(HaveOccurred(), "answer stalled after %d tokens", len(tokens))
		if item.Token == nil {
			return tokens, item.Outcome
		}
		tokens = append(tokens, *item.Token)
	}
	return tokens, nil
}

// expectComplete compares an answer with the model's output for its prompt.
func expectComplete(tokens []caller.Token, outcome state.Outcome, key string) {
	GinkgoHelper()
	Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
	want := standin.ExpectedTokens(promptOf(key), noteTokens)
	Expect(tokens).To(HaveLen(len(want)))
	for i, t := range tokens {
		Expect(t.Index).To(Equal(i))
		Expect(t.Value).To(Equal(want[i]))
	}
}

// expectNoViolations checks that the fakes saw no layer run twice or out of
// order.
func (h *harness) expectNoViolations() {
	GinkgoHelper()
	Expect(h.Ledger.Violations()).To(BeEmpty())
}

// warmUpReplicas lets a daemon run requests until it has used every replica.
func (h *harness) warmUpReplicas(n int) {
	GinkgoHelper()
	used := make(map[int]bool)
	for i := 0; len(used) < chains.Replicas; i++ {
		var streams []caller.Stream
		for j := range chains.Replicas {
			streams = append(streams, h.submit(n, summary(fmt.Sprintf("warm-replica-%d-%d", i, j))))
		}
		for _, s := range streams {
			h.read(s, -1)
			used[h.replicaOf(s.ID())] = true
		}
	}
}

// metric returns the lines of a metric with a value above 0 at a daemon.
func (h *harness) metric(n int, name telemetry.Name) []string {
	GinkgoHelper()
	res, err := http.Get("http://" + h.Daemons[n].CallerAddress() + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	var out []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "#") && strings.Contains(line, string(name)) && !strings.HasSuffix(line, " 0") {
			out = append(out, line)
		}
	}
	return out
}

// runCount counts the executions of a key's prompt that started.
func (h *harness) runCount(key string) int {
	return h.Ledger.Runs(promptOf(key))
}

// replicaOf returns the number of the replica that runs a request, from 1, or
// 0.
func (h *harness) replicaOf(id state.RequestID) int {
	for n := 1; n <= chains.Replicas; n++ {
		if h.Engines[chains.Engine(n, 1)].HasStarted(id) {
			return n
		}
	}
	return 0
}
