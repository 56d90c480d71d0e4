package permits_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// size is some daemons before a server with a limit.
type size struct {
	daemons   int
	perSecond float64
}

var sizes = []size{
	{1, 0.1}, {1, 5}, {2, 0.5}, {9, 0.1}, {9, 1.3}, {9, 2.6}, {9, 100},
	{69, 2}, {195, 10}, {420, 0.5}, {420, 3}, {420, 500},
}

func (s size) String() string { return fmt.Sprintf("%d daemons, %g a second", s.daemons, s.perSecond) }

// measured is how long a limit is measured, after daemons have had time to learn it.
const measured = 20 * time.Second

// outcome is what a limit comes to.
type outcome struct {
	busiest int     // requests in a window
	used    float64 // of the limit
}

// keep runs daemons that want some times what a server takes; at one daemon alone, or spread
// over all.
func (s size) keep(newWay func() way, times float64, alone bool) outcome {
	w := newWorld(1, s.daemons, max(times*s.perSecond, 2), alone, newWay)
	w.run(2 * time.Second)
	w.name(s.perSecond)
	w.run(settles)
	from := w.now
	w.run(measured)
	return outcome{busiest: w.busiest(from), used: float64(w.got(from)) / (measured.Seconds() * s.perSecond)}
}

func (o outcome) String() string { return fmt.Sprintf("%d in 4 s, %.2f used", o.busiest, o.used) }

var _ = Describe("Permits", func() {
	for _, s := range sizes {
		It("hold a limit that is named, and use it whole: "+s.String(), func() {
			for _, alone := range []bool{false, true} {
				o := s.keep(newIssued, 3, alone)
				Expect(o.busiest).To(BeNumerically("<=", allowed(s.perSecond)))
				Expect(o.used).To(BeNumerically(">=", 0.8-1/(measured.Seconds()*s.perSecond)))
			}
		})
	}

	It("use more of a limit than equal parts that each daemon keeps alone", func() {
		var issued, split float64
		for _, s := range sizes {
			for _, alone := range []bool{false, true} {
				a, b := s.keep(newIssued, 3, alone), s.keep(newSplit, 3, alone)
				issued, split = issued+a.used, split+b.used
				AddReportEntry(fmt.Sprintf("%v, %d allowed, at one daemon %v: issued %v; equal parts %v", s, allowed(s.perSecond), alone, a, b))
			}
		}
		Expect(issued).To(BeNumerically(">", split))
	})
})
