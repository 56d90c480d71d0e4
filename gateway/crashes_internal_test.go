package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Guards against a cost for every request, few of which run beside a server that ends.
var _ = Describe("A request whose content is not suspected", func() {
	It("is judged without allocations", func() {
		s := newSharedState(Settings{BudgetWindow: 10 * time.Second})
		r := &requestHandler{g: &Gateway{shared: s}, service: &fleet.Service{}, parts: partFingerprints("llm", []string{"a", "b"}),
			req: &Request{Method: "POST", Target: "/x", Body: make([]byte, 4096)}}
		judge := func() { r.judge(time.Unix(1000, 0)) }
		Expect(testing.AllocsPerRun(100, judge)).To(BeZero())
		s.implicate(time.Unix(1000, 0), state.BackendIncarnation{ID: "e1"}, crashes.Run{Content: 7, Phase: crashes.Fresh})
		s.partsEnded(time.Unix(1000, 0), state.BackendIncarnation{ID: "e1"}, true, crashes.PartRun{Content: 7, Parts: []crashes.Fingerprint{8}})
		Expect(testing.AllocsPerRun(100, judge)).To(BeZero())
	})
})
