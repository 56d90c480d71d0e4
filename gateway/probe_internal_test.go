package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A server that has died comes back among hundreds of daemons that had streams across it, and
// gets more probes than requests while it starts. Cause: each probed it as often as one daemon
// may. From 300 daemons it got 600 a second by their interval.
var _ = Describe("Probes of a dead server", func() {
	It("are bounded over all daemons together", Label("failure:probes-kept-alone"), func() {
		for daemons := 1; daemons <= 420; daemons++ {
			each := reprobeAfter(daemons)
			Expect(each).To(BeNumerically(">=", reprobeEvery))
			Expect(float64(daemons) * float64(time.Second) / float64(each)).To(BeNumerically("<=", reprobesMost))
		}
		Expect(reprobeAfter(9)).To(Equal(reprobeEvery))
	})
})
