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
	start     following.Startup
	startedAt time.Duration
	knownAt   time.Duration // when it knows the feed; zero for not yet
	reading   bool
}

// startTogether starts daemons that query each other, and read the store after a delay. It returns
// how long after its start the last daemon knows the feed, and how many have read the store.
func startTogether(daemons int, readAfter func(following.Startup) time.Duration) (last time.Duration, reads int) {
	const (
		step     = 5 * time.Millisecond
		round    = 25 * time.Millisecond  // between two queries of a daemon
		decoding = 150 * time.Millisecond // of 3,000 rows, on 0.4 of a core
		transfer = 2 * time.Millisecond   // of 900 KB, on the store's link
	)
	rng := rand.New(rand.NewPCG(3, 4))
	all := make([]*starter, daemons)
	for i := range all {
		all[i] = &starter{start: following.Startup{Daemons: daemons, Jitter: rng.Float64()}, startedAt: time.Duration(rng.Int64N(int64(50 * time.Millisecond)))}
	}
	var link time.Duration // busy until then
	known := 0
	for now := time.Duration(0); known < daemons; now += step {
		for _, s := range all {
			switch {
			case now < s.startedAt || s.knownAt > 0 || (now-s.startedAt)/step%(round/step) != 0:
			case s.reading:
			case now-s.startedAt >= readAfter(s.start):
				s.reading = true
				reads++
				link = max(link, now) + transfer
				s.knownAt = link + decoding
			default:
				for range 2 {
					if other := all[rng.IntN(daemons)]; other.knownAt > 0 && other.knownAt <= now {
						s.knownAt = now + step
					}
				}
			}
		}
		known = 0
		for _, s := range all {
			if s.knownAt > 0 && s.knownAt <= now {
				known++
				last = max(last, s.knownAt-s.startedAt)
			}
		}
	}
	return last, reads
}

var _ = Describe("Daemons that start together", func() {
	// maxWait is how long a request waits for a daemon that has just started.
	const maxWait = 500 * time.Millisecond

	// Guards against rejected callers after all daemons were killed: each daemon reads all rows
	// from the store, whose link is saturated, while other daemons could provide them.
	It("know a large feed before requests are rejected, and few of them read it", Label("failure:all-read-at-once"), func() {
		for _, n := range []int{7, 30, 100, 300, 420} {
			last, reads := startTogether(n, func(s following.Startup) time.Duration { return s.StoreReadDelay(true) })
			Expect(last).To(BeNumerically("<=", maxWait), "of %d", n)
			Expect(reads).To(BeNumerically("<=", 40), "of %d", n)
		}
	})

	It("do not wait long for others if none of them answers", func() {
		Expect(following.Startup{Daemons: 300, Jitter: 1}.StoreReadDelay(false)).To(BeNumerically("<=", maxWait))
	})
})
