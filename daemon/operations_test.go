package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// load keeps summaries and notes running at daemons until it is stopped, and
// counts their outcomes.
type load struct {
	h    *harness
	name string // prefix of the idempotency keys
	stop chan struct{}
	wg   sync.WaitGroup

	mu         sync.Mutex
	complete   int
	refused    map[state.Reason]int
	unexpected []string
}

// startLoad starts callers that each send one request after another,
// alternating between the given daemons.
func (h *harness) startLoad(callers int, daemons ...*daemon.Daemon) *load {
	h.loads++
	l := &load{h: h, name: fmt.Sprintf("load-%d", h.loads), stop: make(chan struct{}), refused: make(map[state.Reason]int)}
	for c := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			defer GinkgoRecover()
			l.caller(c, daemons)
		}()
	}
	return l
}

// caller submits repeatable summaries and never-repeat notes alternately until the load
// is stopped, and counts their outcomes. c is the number of the caller.
func (l *load) caller(c int, daemons []*daemon.Daemon) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		key := fmt.Sprintf("%s-%d-%d", l.name, c, i)
		submission := summary(key)
		if i%2 == 0 {
			submission = note(key)
		}
		stream, outcome := daemons[(c+i)%len(daemons)].Submit(l.h.ctx, submission)
		if outcome == nil {
			_, outcome = l.h.read(stream, -1)
		}
		l.count(key, outcome)
	}
}

func (l *load) count(key string, o state.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch o := o.(type) {
	case state.Completed:
		l.complete++
	case state.Refused:
		l.refused[o.Reason]++
	default:
		l.unexpected = append(l.unexpected, fmt.Sprintf("%s: %#v", key, o))
	}
}

// completed returns the number of completed requests.
func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// stopAndWait stops the callers once their current requests have ended.
func (l *load) stopAndWait() {
	close(l.stop)
	l.wg.Wait()
}

var _ = Describe("A site under load", func() {
	// Guards against failed requests in a planned stop: callers use the
	// addresses that they were given for a while after a daemon has begun to
	// drain. The process ends by itself.
	It("interrupts no request when a daemon is drained", Label("failure:planned-stop"), func() {
		h := newHarness(3, time.Millisecond)
		l := h.startLoad(4, h.Daemons[1])
		Eventually(l.completed).WithTimeout(testTimeout).Should(BeNumerically(">", 4))
		h.Daemons[1].Drain(h.ctx)
		Eventually(func() []string {
			return h.Daemons[0].Addresses(h.ctx, caller.AddressQuery{}).Addresses
		}).WithTimeout(testTimeout).Should(HaveLen(2))
		before := l.completed()
		Eventually(l.completed).WithTimeout(testTimeout).Should(BeNumerically(">", before), "it keeps serving until its address answers expire")
		l.stopAndWait()
		Eventually(h.Daemons[1].Done()).WithTimeout(testTimeout).Should(BeClosed())
		Expect(l.unexpected).To(BeEmpty())
		h.expectNoViolations()
	})

	// Guards against new work on a backend server that leaves. The platform's
	// list reports it only much later, so the server's own report is polled and
	// spread to all daemons.
	It("gives a leaving backend server no new work", Label("failure:backend-leaving", "failure:lagging-instance-list"), func() {
		h := newHarness(3, time.Millisecond)
		h.Platform.InstanceLag(10 * time.Second)
		l := h.startLoad(6, h.Daemons...)
		Eventually(l.completed).WithTimeout(testTimeout).Should(BeNumerically(">", 10))
		leaving := h.Engines[chains.Engine(1, 1)]
		leaving.Leave()
		// Once all daemons know, a round of requests at each of them adds no
		// work at the leaving server; that takes at most 3 s.
		Eventually(func(g Gomega) {
			startedBefore, before := leaving.StartedAfterLeave(0), l.completed()
			Eventually(l.completed).WithTimeout(testTimeout).Should(BeNumerically(">", before+12))
			g.Expect(leaving.StartedAfterLeave(0)).To(Equal(startedBefore))
		}).WithTimeout(testTimeout).Should(Succeed())
		l.stopAndWait()
		Expect(leaving.StartedAfterLeave(3 * time.Second)).To(Equal(0))
		Expect(h.Engines[chains.Engine(2, 1)].Connections()).To(BeNumerically(">", 0))
		Expect(l.unexpected).To(BeEmpty())
		h.expectNoViolations()
	})

	// Guards against lost or reverted edits. Concurrent edits of one document
	// are based on the same version: one is accepted, the others get a conflict
	// with the current document. Every daemon soon has the accepted one, and
	// none goes back to an older one.
	It("accepts exactly one of several concurrent edits", Label("failure:concurrent-edits"), func() {
		h := newHarness(3, time.Millisecond)
		watch := h.watchVersions()
		accepted := state.DocumentVersion(0)
		for round := range 5 {
			base, _ := h.Daemons[0].Document(h.ctx, drafts)
			results := h.editAtOnce(base.Version, round)
			won := 0
			for _, res := range results {
				if res.Status == caller.EditAccepted {
					won++
					accepted = res.Version
					continue
				}
				Expect(res.Status).To(Equal(caller.EditConflict))
				Expect(res.Current.Version).To(Equal(base.Version + 1))
			}
			Expect(won).To(Equal(1))
			h.awaitVersion(accepted)
		}
		Expect(watch()).To(BeEmpty(), "a daemon went back to an older document")
	})

	// Guards against a daemon that can't start during an outage of the table
	// service: it reads the documents from its peers.
	It("reads documents from peers while the store is down", Label("failure:daemon-replaced-during-store-outage"), func() {
		h := newHarness(3, time.Millisecond)
		version := h.apply(0, draftsDocument())
		h.awaitVersion(version)
		h.Platform.Down(true)
		h.Daemons[1].Kill()
		d := h.replaceDaemon(1, func(set *settings.Settings) {
			set.Peers.Seeds = []string{h.Daemons[0].PeerAddress(), h.Daemons[1].PeerAddress()}
		})
		Eventually(func() state.DocumentVersion {
			v, _ := d.Document(h.ctx, drafts)
			return v.Version
		}).WithTimeout(testTimeout).Should(Equal(version))
		Eventually(func(g Gomega) {
			tokens, outcome := h.read(h.submit(1, summary("a")), -1)
			g.Expect(outcome).To(Equal(state.Completed{Tokens: len(tokens)}))
			expectComplete(tokens, outcome, "a")
		}).WithTimeout(testTimeout).Should(Succeed())
	})

	// Guards against serving with outdated documents. A daemon that has lost
	// both the store and all peers refuses new work as not run, and finishes
	// what it already runs.
	It("refuses new work while its documents may be outdated", Label("failure:isolated-daemon"), func() {
		h := newHarness(3, slowStepTime)
		isolated := h.Daemons[0]
		running := h.submit(0, summary("running"))
		h.read(running, 2)
		h.Platform.Down(true)
		h.Daemons[1].Kill()
		h.Daemons[2].Kill()
		Eventually(func() bool { return isolated.DaemonStatus(h.ctx).Isolated }).WithTimeout(testTimeout).Should(BeTrue())
		_, outcome := isolated.Submit(h.ctx, summary("late"))
		Expect(outcome).To(BeAssignableToTypeOf(state.Refused{}))
		Expect(outcome.(state.Refused).Reason).To(Equal(state.ReasonIsolated))
		_, outcome = h.read(running, -1)
		Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
		Expect(h.runCount("late")).To(Equal(0))
		h.Platform.Down(false)
		Eventually(func() bool { return isolated.DaemonStatus(h.ctx).Isolated }).WithTimeout(testTimeout).Should(BeFalse())
	})

	// Guards against a new replica that stays idle. It joins while callers wait
	// for slots and serves requests within seconds; no request fails.
	It("uses a replica that joins under load", Label("failure:instance-joins-under-load"), func() {
		h := newHarness(2, time.Millisecond)
		l := h.startLoad(24, h.Daemons[0])
		Eventually(l.completed).WithTimeout(testTimeout).Should(BeNumerically(">", 10))
		h.addReplica(3)
		Eventually(func() int { return h.Engines[chains.Engine(3, 1)].Served() }).WithTimeout(testTimeout).Should(BeNumerically(">", 0))
		l.stopAndWait()
		Expect(l.unexpected).To(BeEmpty())
		h.expectNoViolations()
	})

	// Guards against failed requests while every daemon is replaced in turn,
	// each under load at the others.
	It("replaces every daemon in turn", Label("failure:planned-stop"), func() {
		h := newHarness(3, time.Millisecond)
		for old := range 3 {
			l := h.startLoad(3, h.Daemons[(old+1)%3])
			stream := h.submit(old, note(fmt.Sprintf("turn-%d", old)))
			h.Daemons[old].Drain(h.ctx)
			_, outcome := h.read(stream, -1)
			Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
			Eventually(h.Daemons[old].Done()).WithTimeout(testTimeout).Should(BeClosed())
			h.replaceDaemon(old, nil)
			l.stopAndWait()
			Expect(l.unexpected).To(BeEmpty())
		}
		h.expectNoViolations()
	})
})

// editAtOnce sends three concurrent edits, one to each daemon.
func (h *harness) editAtOnce(base state.DocumentVersion, round int) []caller.EditResult {
	results := make([]caller.EditResult, 3)
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			doc := draftsDocument()
			doc.Capacity.QueuePerClass = 100 + 10*round + i
			results[i] = h.Daemons[i].Apply(h.ctx, caller.Edit{
				Base: base, EditID: fmt.Sprintf("operator-%d-%d", i, round), Text: doc.Encode(),
			})
		}()
	}
	wg.Wait()
	return results
}

// awaitVersion waits until at least this version is active at every live
// daemon.
func (h *harness) awaitVersion(version state.DocumentVersion) {
	GinkgoHelper()
	for _, d := range h.Live() {
		Eventually(func() state.DocumentVersion {
			v, _ := d.Document(h.ctx, drafts)
			return v.Version
		}).WithTimeout(testTimeout).Should(BeNumerically(">=", version))
	}
}

// watchVersions reads every daemon's version continuously. The returned
// function stops it and returns every decrease that was seen.
func (h *harness) watchVersions() func() []string {
	ctx, cancel := context.WithCancel(h.ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var reverts []string
	for i, d := range h.Daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last := state.DocumentVersion(0)
			for ctx.Err() == nil {
				v, _ := d.Document(h.ctx, drafts)
				if v.Version < last {
					mu.Lock()
					reverts = append(reverts, fmt.Sprintf("daemon %d: %d after %d", i, v.Version, last))
					mu.Unlock()
				}
				last = v.Version
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return func() []string {
		cancel()
		wg.Wait()
		return reverts
	}
}
