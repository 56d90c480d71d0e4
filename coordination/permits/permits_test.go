package permits_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// size is a number of daemons in front of a server with a limit.
type size struct {
	daemons   int
	perSecond float64
}

var sizes = []size{
	{1, 0.1}, {1, 5}, {2, 0.5}, {9, 0.1}, {9, 1.3}, {9, 2.6}, {9, 100},
	{69, 2}, {195, 10}, {420, 0.5}, {420, 3}, {420, 500},
}

func (s size) String() string { return fmt.Sprintf("%d daemons, %g a second", s.daemons, s.perSecond) }

// measured is how long a limit is measured, after daemons have had time to observe it.
const measured = 20 * time.Second

// outcome is the measured result of a limit.
type outcome struct {
	maxPerWindow int     // requests in a window
	used         float64 // fraction of the limit
}

// simulate runs daemons with a multiple of the demand that a server accepts, at a single daemon or
// distributed over all of them.
func (s size) simulate(newStrategy func() strategy, times float64, oneDaemon bool) outcome {
	sim := newSimulation(1, s.daemons, max(times*s.perSecond, 2), oneDaemon, newStrategy)
	sim.run(2 * time.Second)
	sim.declare(s.perSecond)
	sim.run(convergenceTime)
	from := sim.now
	sim.run(measured)
	return outcome{maxPerWindow: sim.maxPerWindow(from), used: float64(sim.receivedSince(from)) / (measured.Seconds() * s.perSecond)}
}

func (o outcome) String() string { return fmt.Sprintf("%d in 4 s, %.2f used", o.maxPerWindow, o.used) }

var _ = Describe("Permits", func() {
	for _, s := range sizes {
		It("enforce a declared limit and use it fully: "+s.String(), func() {
			for _, oneDaemon := range []bool{false, true} {
				o := s.simulate(newShared, 3, oneDaemon)
				Expect(o.maxPerWindow).To(BeNumerically("<=", allowed(s.perSecond)))
				Expect(o.used).To(BeNumerically(">=", 0.8-1/(measured.Seconds()*s.perSecond)))
			}
		})
	}

	It("use more of a limit than equal parts enforced by each daemon independently", func() {
		var permitsUsed, splitUsed float64
		for _, s := range sizes {
			for _, oneDaemon := range []bool{false, true} {
				a, b := s.simulate(newShared, 3, oneDaemon), s.simulate(newSplit, 3, oneDaemon)
				permitsUsed, splitUsed = permitsUsed+a.used, splitUsed+b.used
				AddReportEntry(fmt.Sprintf("%v, %d allowed, at one daemon %v: permits %v; equal parts %v", s, allowed(s.perSecond), oneDaemon, a, b))
			}
		}
		Expect(permitsUsed).To(BeNumerically(">", splitUsed))
	})
})
