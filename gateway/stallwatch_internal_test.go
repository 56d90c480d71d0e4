package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The watch of a silent stream", func() {
	const interval, tolerance = 25 * time.Millisecond, 200 * time.Millisecond

	// Guards against streams that are given up as lost since their daemon did not run for a while.
	It("begins again after a pause of the daemon", Label("failure:quiet-daemon-answer-lost"), func() {
		var w stallWatch
		w.begin(0)
		now := time.Duration(0)
		check := func(late time.Duration) {
			w.schedule(now + interval)
			now += interval + late
			w.checked(now, tolerance)
		}
		for range 10 {
			check(tolerance / 2)
		}
		Expect(w.watchedFor(now)).To(Equal(now))
		check(3 * time.Second)
		Expect(w.watchedFor(now)).To(BeZero())
		check(0)
		Expect(w.watchedFor(now)).To(Equal(interval))
	})
})
