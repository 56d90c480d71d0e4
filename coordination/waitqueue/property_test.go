package waitqueue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("Bounds on starvation", func() {
	// Guards against classes and customers that are never served beside others that ask for more than
	// there is.
	It("hold for each request that is aged", Label("failure:starved-in-queue"), func() {
		rapid.Check(GinkgoT(), checkAgedBound)
	})

	It("hold for customers that are served at the same time", Label("failure:starved-in-queue"), func() {
		rapid.Check(GinkgoT(), checkFairness)
	})
})

// checkAgedBound checks that a request that is aged is served after at most AgedEvery*(n+1)
// departures, where n requests were aged before it.
func checkAgedBound(t *rapid.T) {
	cfg := waitqueue.DefaultConfig()
	cfg.MinAge = time.Duration(rapid.IntRange(50, 500).Draw(t, "min age")) * time.Millisecond
	cfg.MaxAge = cfg.MinAge * time.Duration(rapid.IntRange(1, 4).Draw(t, "max age"))
	cfg.AgedEvery = rapid.IntRange(1, 8).Draw(t, "aged every")
	w := newWorld(cfg)
	classes := []urgency.Class{urgent, usual, background}
	agedAt := func(r waitqueue.Request) time.Time {
		return r.Place.Add(cfg.MinAge + time.Duration(r.Level*float64(cfg.MaxAge-cfg.MinAge)))
	}
	bounds := make(map[*waitqueue.Waiter]int) // departures until each aged request is served at the latest
	now := at(0)
	for range rapid.IntRange(100, 400).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
		for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
			// Most are urgent, so that others would starve.
			class := classes[max(rapid.IntRange(-4, 2).Draw(t, "class"), 0)]
			r := request(now, state.CustomerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer"))), class)
			r.RejectAt = now.Add(time.Hour)
			w.arrive(now, r)
		}
		for waiter := range w.waiters {
			if _, known := bounds[waiter]; known || now.Before(agedAt(waiter.Request())) {
				continue
			}
			before := 0
			for other := range w.waiters {
				if other != waiter && !agedAt(other.Request()).After(agedAt(waiter.Request())) {
					before++
				}
			}
			bounds[waiter] = cfg.AgedEvery * (before + 1)
		}
		if len(w.waiters) == 0 {
			continue
		}
		if !w.depart(now) {
			t.Fatalf("nothing was served while %d requests wait", len(w.waiters))
		}
		for waiter := range w.waiters {
			if left, ok := bounds[waiter]; ok {
				if bounds[waiter]--; left <= 1 {
					t.Fatalf("a request that is aged since %v has not been served", now.Sub(agedAt(waiter.Request())))
				}
			}
		}
	}
}

// checkFairness checks that the tokens served to two customers that have requests all the time
// differ by at most the sum of their largest requests, in any interval.
func checkFairness(t *rapid.T) {
	cfg := waitqueue.DefaultConfig()
	cfg.MaxWaiting = 4096
	w := newWorld(cfg)
	customers := rapid.IntRange(2, 6).Draw(t, "customers")
	largest := make([]float64, customers)
	arrive := func(c int) {
		r := request(at(0), state.CustomerID(fmt.Sprint(c)), usual)
		r.Tokens = float64(rapid.IntRange(1, 1000).Draw(t, "tokens"))
		largest[c] = max(largest[c], r.Tokens)
		r.RejectAt = at(time.Hour)
		w.arrive(at(0), r)
	}
	for c := range customers {
		arrive(c)
		arrive(c)
	}
	history := [][]float64{make([]float64, customers)}
	for range rapid.IntRange(20, 150).Draw(t, "departures") {
		w.depart(at(0))
		last := w.served[len(w.served)-1]
		sums := append([]float64(nil), history[len(history)-1]...)
		for c := range customers {
			if last.Customer == state.CustomerID(fmt.Sprint(c)) {
				sums[c] += last.Tokens
				arrive(c)
			}
		}
		history = append(history, sums)
	}
	for from := range history {
		for to := from + 1; to < len(history); to++ {
			for x := range customers {
				for y := range x {
					dx, dy := history[to][x]-history[from][x], history[to][y]-history[from][y]
					if diff := max(dx-dy, dy-dx); diff > largest[x]+largest[y] {
						t.Fatalf("customers %d and %d were served %v and %v tokens", x, y, dx, dy)
					}
				}
			}
		}
	}
}

// BenchmarkCustomers measures a request that joins a queue of 480 customers, is woken and served.
func BenchmarkCustomers(b *testing.B) {
	const customers = 480
	q := newQueue(waitqueue.DefaultConfig())
	classes := []urgency.Class{urgent, usual, background}
	join := func(now time.Time, i int) {
		r := request(now, state.CustomerID(fmt.Sprint(i%customers)), classes[i%len(classes)])
		r.RejectAt = now.Add(time.Hour)
		q.Join(now, r, waitqueue.NoneAvailable)
	}
	for i := range customers {
		join(at(0), i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := at(time.Duration(i) * time.Millisecond)
		join(now, i)
		w := q.Wake(now, waitqueue.Released)
		if next := q.Tried(now, w, waitqueue.Served); next != nil {
			q.Tried(now, next, waitqueue.NoneAvailable)
		}
	}
}
