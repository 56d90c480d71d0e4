package following_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
)

// starter is one of many daemons that start together, in virtual time.
type starter struct {
	start   following.Startup
	began   time.Duration
	knows   time.Duration // when it does; zero for not yet
	reading bool
}

// startTogether starts daemons that ask each other, and read the store some time after their
// start. It returns how long after its start the last one knows the feed, and how many have
// read the store.
func startTogether(daemons int, readAfter func(following.Startup) time.Duration) (last time.Duration, reads int) {
	const (
		step     = 5 * time.Millisecond
		round    = 25 * time.Millisecond  // between two questions of a daemon
		decoding = 150 * time.Millisecond // of 3,000 rows, on 0.4 of a core
		transfer = 2 * time.Millisecond   // of 900 KB, on the store's link
	)
	rng := rand.New(rand.NewPCG(3, 4))
	all := make([]*starter, daemons)
	for i := range all {
		all[i] = &starter{start: following.Startup{Daemons: daemons, Jitter: rng.Float64()}, began: time.Duration(rng.Int64N(int64(50 * time.Millisecond)))}
	}
	var link time.Duration // until when it is busy
	known := 0
	for now := time.Duration(0); known < daemons; now += step {
		for _, s := range all {
			switch {
			case now < s.began || s.knows > 0 || (now-s.began)/step%(round/step) != 0:
			case s.reading:
			case now-s.began >= readAfter(s.start):
				s.reading = true
				reads++
				link = max(link, now) + transfer
				s.knows = link + decoding
			default:
				for range 2 {
					if other := all[rng.IntN(daemons)]; other.knows > 0 && other.knows <= now {
						s.knows = now + step
					}
				}
			}
		}
		known = 0
		for _, s := range all {
			if s.knows > 0 && s.knows <= now {
				known++
				last = max(last, s.knows-s.began)
			}
		}
	}
	return last, reads
}

var _ = Describe("Daemons that start together", func() {
	// waits is how long a request waits for a daemon that has just started.
	const waits = 500 * time.Millisecond

	// Guards against callers that are turned away after all daemons were ended: each daemon
	// reads all rows from the store, whose link is full, while others could give them.
	It("know a large feed before requests are turned away, and few of them read it", Label("failure:all-read-at-once"), func() {
		for _, n := range []int{7, 30, 100, 300, 420} {
			last, reads := startTogether(n, func(s following.Startup) time.Duration { return s.StoreReadDelay(true) })
			Expect(last).To(BeNumerically("<=", waits), "of %d", n)
			Expect(reads).To(BeNumerically("<=", 40), "of %d", n)
		}
	})

	It("do not wait long for others of which none answers", func() {
		Expect(following.Startup{Daemons: 300, Jitter: 1}.StoreReadDelay(false)).To(BeNumerically("<=", waits))
	})
})
