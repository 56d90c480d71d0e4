package daemon_test

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

var _ = Describe("A stage whose link drops everything", func() {
	// Guards against a content that is quarantined although it has crashed nothing: the
	// links to a stage of each replica drop everything for a while, and the stages live.
	It("is not blamed on the content that runs there", Label("failure:unreachable-server-blamed-on-contents"), func() {
		log := &eventLog{}
		h := newLoggedHarness(2, 20*time.Millisecond, telemetry.NewLog(telemetry.LogConfig{Output: io.MultiWriter(GinkgoWriter, log)}))
		h.warmUpReplicas(0)
		stream := h.submit(0, summary("a"))
		first, _ := h.read(stream, 5)
		for n := range chains.Replicas {
			Expect(h.Engines[chains.Engine(n+1, 2)].DropLink()).To(Succeed())
		}
		Eventually(func() int { return len(log.lines("request_retried", "")) }).WithTimeout(testTimeout).Should(BeNumerically(">=", 2))
		for n := range chains.Replicas {
			Expect(h.Engines[chains.Engine(n+1, 2)].RestoreLink()).To(Succeed())
		}
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(log.lines("request_implicated", "")).To(BeEmpty())
		Expect(log.lines("request_quarantined", "")).To(BeEmpty())
		h.expectNoViolations()
	})

	// Guards against an answer that may not be repeated and is given up although its stage
	// lives and can be asked again.
	It("continues an answer that must not be repeated once the link works again", Label("failure:unreachable-server-taken-for-gone"), func() {
		log := &eventLog{}
		h := newLoggedHarness(2, 20*time.Millisecond, telemetry.NewLog(telemetry.LogConfig{Output: io.MultiWriter(GinkgoWriter, log)}))
		stream := h.submit(0, note("a"))
		first, _ := h.read(stream, 5)
		stage := chains.Engine(h.replicaOf(stream.ID()), 2)
		Expect(h.Engines[stage].DropLink()).To(Succeed())
		Eventually(func() []string { return log.lines("backend_died", stage) }).WithTimeout(testTimeout).ShouldNot(BeEmpty())
		Expect(h.Engines[stage].RestoreLink()).To(Succeed())
		rest, outcome := h.read(stream, -1)
		expectComplete(append(first, rest...), outcome, "a")
		Expect(h.runCount("a")).To(Equal(1))
		h.expectNoViolations()
	})
})
