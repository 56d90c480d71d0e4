package daemon_test

import (
	"context"
	"fmt"
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
	patience   = 20 * time.Second // bound of everything that is waited for
	noteTokens = 30
	drafts     = state.ServiceID("drafts")
	alerts     = state.ServiceID("alerts")
	advocates  = state.CustomerID("advocates")
)

var chains = site.Chains{Prefix: "drafter", Replicas: 2, Stages: 2, Layers: 8}

// rig is a site with daemons in service.
type rig struct {
	*site.Site
	ctx context.Context
}

// newRig starts daemons before two replicas of two stages and one plain server,
// and waits until all serve.
func newRig(daemons int, step time.Duration) *rig {
	GinkgoHelper()
	s, err := site.New(telemetry.Discard())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	r := &rig{Site: s, ctx: ctx}
	cfg := standin.EngineConfig{Service: drafts, Model: site.Model, Version: site.Version, Kind: "large", StepTime: step}
	Expect(s.AddChains(chains, cfg)).To(Succeed())
	Expect(s.AddPlain(standin.PlainConfig{ID: "alert-1"}, site.Domains[0])).To(Succeed())
	for range daemons {
		r.addDaemon(nil)
	}
	r.apply(0, draftsDocument())
	r.apply(0, alertsDocument())
	r.awaitServing(2)
	r.awaitLimits()
	return r
}

// awaitLimits waits until every daemon is lent tokens: the first lives of the
// seats lend nothing until any loan of lives before them would have run out.
func (r *rig) awaitLimits() {
	GinkgoHelper()
	for i, d := range r.Daemons {
		Eventually(func(g Gomega) {
			stream, refused := d.Submit(r.ctx, summary(fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano())))
			g.Expect(refused).To(BeNil())
			r.read(stream, -1)
		}).WithTimeout(patience).Should(Succeed())
	}
}

func (r *rig) addDaemon(change func(*settings.Settings)) *daemon.Daemon {
	GinkgoHelper()
	d, err := r.AddDaemon(change)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// replaceDaemon starts a daemon in place of one that has stopped.
func (r *rig) replaceDaemon(n int, change func(*settings.Settings)) *daemon.Daemon {
	GinkgoHelper()
	id := r.Daemons[n].DaemonStatus(r.ctx).ID
	d := r.addDaemon(func(set *settings.Settings) {
		set.ID = id
		set.Instance = state.InstanceID(id)
		if change != nil {
			change(set)
		}
	})
	last := len(r.Daemons) - 1
	r.Daemons[n] = d
	r.Daemons = r.Daemons[:last]
	r.awaitServing(2)
	r.awaitLimits()
	return d
}

func draftsDocument() service.Document {
	classes := []service.Class{
		{Name: "note", Priority: 0, Deadline: service.Duration(patience), NeverRepeat: true, MaxTokens: noteTokens},
		{Name: "summary", Priority: 1, Deadline: service.Duration(patience), MaxTokens: noteTokens},
	}
	return site.ModelDocument(drafts, chains, 8, classes, site.Customers(advocates))
}

func alertsDocument() service.Document {
	classes := []service.Class{{Name: "alert", Deadline: service.Duration(patience), NeverRepeat: true}}
	return site.PlainDocument(alerts, []state.BackendID{"alert-1"}, 8, classes, site.Customers(advocates))
}

// apply edits a document at one daemon, based on the version in force there.
func (r *rig) apply(n int, doc service.Document) state.DocumentVersion {
	GinkgoHelper()
	current, _ := r.Daemons[n].Document(r.ctx, doc.Service)
	res := r.Daemons[n].Apply(r.ctx, caller.Edit{
		Base: current.Version, EditID: fmt.Sprintf("%s-%d", doc.Service, time.Now().UnixNano()), Text: doc.Encode(),
	})
	Expect(res.Status).To(Equal(caller.EditAccepted), "%v", res.Faults)
	return res.Version
}

// awaitServing waits until all live daemons know each other and have documents.
func (r *rig) awaitServing(documents int) {
	GinkgoHelper()
	live := r.Live()
	for _, d := range live {
		Eventually(func(g Gomega) {
			s := d.DaemonStatus(r.ctx)
			g.Expect(s.Documents).To(HaveLen(documents))
			g.Expect(s.Isolated).To(BeFalse())
			alive := 0
			for _, m := range s.Members {
				if m.State == "alive" {
					alive++
				}
			}
			g.Expect(alive).To(Equal(len(live)))
		}).WithTimeout(patience).Should(Succeed())
	}
}

// addReplica starts one more replica and names it in the document.
func (r *rig) addReplica(n int) {
	GinkgoHelper()
	more := chains
	more.Replicas = n
	for stage := 1; stage <= chains.Stages; stage++ {
		Expect(r.AddEngine(standin.EngineConfig{
			ID: more.Engine(n, stage), Service: drafts, Model: site.Model, Version: site.Version, Kind: "large",
			StepTime: time.Millisecond, Layers: more.Range(stage), ModelLayers: more.Layers,
		}, site.Domains[0])).To(Succeed())
	}
	doc := draftsDocument()
	doc.Placement = more.Placement()
	doc.Capacity.Replicas = n
	r.apply(0, doc)
}

// promptOf returns a prompt for key whose answer is as long as the class allows.
func promptOf(key string) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("prompt of %s, %d", key, i)
		if len(standin.ExpectedTokens(prompt, noteTokens)) == noteTokens {
			return prompt
		}
	}
}

// note is a request that is never to be repeated; summary one that may be.
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

// submit sends a request that has to be taken. On a machine that is busy the
// daemons' loans of a customer's limit may run out for a moment; the request is
// then sent again, as its refusal says.
func (r *rig) submit(n int, s caller.Submission) caller.Stream {
	GinkgoHelper()
	var stream caller.Stream
	Eventually(func() state.Outcome {
		var outcome state.Outcome
		stream, outcome = r.Daemons[n].Submit(r.ctx, s)
		if refused, ok := outcome.(state.Refused); ok && refused.Reason == state.ReasonCustomerLimit {
			return outcome
		}
		Expect(outcome).To(BeNil())
		return nil
	}).WithTimeout(patience).Should(BeNil())
	return stream
}

// read takes tokens until n are there or the answer ends; n < 0 reads to the end.
func (r *rig) read(stream caller.Stream, n int) ([]caller.Token, state.Outcome) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(r.ctx, patience)
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

// expectWhole checks an answer against what the model makes of its prompt.
func expectWhole(tokens []caller.Token, outcome state.Outcome, key string) {
	GinkgoHelper()
	Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
	want := standin.ExpectedTokens(promptOf(key), noteTokens)
	Expect(tokens).To(HaveLen(len(want)))
	for i, t := range tokens {
		Expect(t.Index).To(Equal(i))
		Expect(t.Value).To(Equal(want[i]))
	}
}

// expectSound checks what the stand-ins saw: no layer twice or out of order.
func (r *rig) expectSound() {
	GinkgoHelper()
	Expect(r.Ledger.Violations()).To(BeEmpty())
}

// runs counts the executions of a key's prompt that began.
func (r *rig) runs(key string) int {
	return r.Ledger.Runs(promptOf(key))
}

// replicaOf returns which replica runs a request, counted from 1.
func (r *rig) replicaOf(id state.RequestID) int {
	for n := 1; n <= chains.Replicas; n++ {
		if r.Engines[chains.Engine(n, 1)].Runs(id) {
			return n
		}
	}
	return 0
}
