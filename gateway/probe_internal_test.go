package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A dead server comes back, and hundreds of daemons that had streams through it probe it.
// If each probes as often as one daemon may, the starting server gets more probes than
// requests: 600 per second from 300 daemons.
var _ = Describe("Probes of a dead server", func() {
	It("are limited over all daemons together", Label("failure:probes-kept-alone"), func() {
		for daemons := 1; daemons <= 420; daemons++ {
			each := reprobeInterval(daemons)
			Expect(each).To(BeNumerically(">=", minReprobeInterval))
			Expect(float64(daemons) * float64(time.Second) / float64(each)).To(BeNumerically("<=", maxReprobeRate))
		}
		Expect(reprobeInterval(9)).To(Equal(minReprobeInterval))
	})
})
