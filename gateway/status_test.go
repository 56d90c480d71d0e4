package gateway_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("A gateway's status", func() {
	It("shows the layer assignment, the coverage and the gateway's snapshot, and no API key", func() {
		h := newHarness()
		h.populate()
		e0 := engineNamed("e0")
		e0.Layers, e0.Draining = fleet.Range{From: 0, To: 4}, true
		h.serverFeed.set("e0", e0)
		var s gateway.Status
		var text string
		Eventually(func(g Gomega) {
			w := httptest.NewRecorder()
			h.gateway.StatusHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
			g.Expect(w.Code).To(Equal(http.StatusOK))
			text = w.Body.String()
			s = gateway.Status{}
			g.Expect(json.Unmarshal(w.Body.Bytes(), &s)).To(Succeed())
			g.Expect(s.Services).To(HaveLen(2))
			g.Expect(s.Services[1].CompleteDomains).To(Equal([]state.FailureDomain{"b"}))
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		Expect(s.Daemon).To(BeEquivalentTo("g1"))
		Expect(s.Ready).To(BeTrue())
		Expect(s.Config.Version).To(BeEquivalentTo(1))
		Expect(s.Config.AgeSeconds).To(BeNumerically("<", 5))
		llm := s.Services[1]
		Expect(llm.ID).To(BeEquivalentTo("llm"))
		Expect(llm.LayerCopies).To(Equal(map[string]int{"0-4": 1, "4-8": 2}))
		Expect(llm.UncoveredLayers).To(BeZero())
		Expect(llm.Servers[0].Draining).To(BeTrue())
		Expect(llm.Servers[0].Layers).To(Equal("0-4"))
		Expect(llm.RetriesLeft).To(BeNumerically(">", 0))
		Expect(strings.Contains(text, "secret")).To(BeFalse())
	})

	It("is unavailable once the gateway is closed", func() {
		h := newHarness()
		h.gateway.Close()
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.gateway.StatusHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
		}()
		Eventually(done).WithTimeout(2 * time.Second).Should(BeClosed())
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	})
})
