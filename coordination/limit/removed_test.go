package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

var _ = Describe("A customer that a document drops", func() {
	var (
		m     *limit.Limiter
		now   time.Time
		calls uint64
	)
	step := func(ev limit.Event) (admitted bool, refused limit.RefusalReason) {
		for _, a := range m.Step(now, ev) {
			switch a := a.(type) {
			case limit.Admit:
				admitted = true
			case limit.Refuse:
				refused = a.Reason
			}
		}
		return admitted, refused
	}
	acquire := func() (bool, limit.RefusalReason) {
		calls++
		return step(limit.Acquire{Call: calls, Service: "s", Customer: "c"})
	}
	wait := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			step(limit.Tick{})
		}
	}
	BeforeEach(func() {
		now, calls = epoch, 0
		self := state.Member{ID: "entry-1", Incarnation: 1}
		m = limit.New(limit.Config{Self: self, Seats: []state.DaemonID{self.ID}}, now)
		step(limit.Members{Live: []state.Member{self}})
		step(limit.Limits{Service: "s", Customers: []service.Customer{{ID: "c", RequestsPerSecond: 100, Burst: 100}}})
		wait(10 * time.Second)
		Eventually(func() bool {
			wait(100 * time.Millisecond)
			admitted, _ := acquire()
			return admitted
		}).Should(BeTrue())
	})

	// Guards against a removed customer that is served on until its tokens have expired.
	It("is refused at once", Label("failure:removed-customer-served"), func() {
		step(limit.Limits{Service: "s"})
		admitted, reason := acquire()
		Expect(admitted).To(BeFalse())
		Expect(reason).To(Equal(limit.ReasonNoLimit))
	})

	// Guards against requests that wait for a limit that is gone.
	It("has its waiting requests refused", Label("failure:removed-customer-served"), func() {
		for admitted := true; admitted; {
			admitted, _ = acquire()
		}
		_, reason := step(limit.Limits{Service: "s"})
		Expect(reason).To(Equal(limit.ReasonNoLimit))
		step(limit.Limits{Service: "s", Customers: []service.Customer{{ID: "c", RequestsPerSecond: 100, Burst: 100}}})
		wait(time.Second)
		admitted, _ := acquire()
		Expect(admitted).To(BeTrue(), "it is served again once it is back")
	})
})
