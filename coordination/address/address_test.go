package address_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/address"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var t0 = time.Unix(1_000_000, 0)

// cluster returns n daemons, assigned round-robin to the three failure domains of one
// region.
func cluster(n int) []address.Candidate {
	domains := []state.FailureDomain{"ernakulam", "kottayam", "alappuzha"}
	cs := make([]address.Candidate, n)
	for i := range cs {
		cs[i] = address.Candidate{
			ID:      state.DaemonID(fmt.Sprintf("entry-%d", i)),
			Address: fmt.Sprintf("http://10.0.0.%d:8080", i),
			Domain:  domains[i%len(domains)],
			Region:  "kerala-south",
		}
	}
	return cs
}

func caller(i int, domain state.FailureDomain) address.Query {
	return address.Query{Customer: "large", Caller: fmt.Sprintf("10.9.%d.%d", i/250, i%250), Domain: domain}
}

// countFirst counts how often each daemon is named first to n callers.
func countFirst(cs []address.Candidate, n int, domain state.FailureDomain) map[state.DaemonID]int {
	count := make(map[state.DaemonID]int)
	for i := range n {
		count[address.Order(address.Config{}, caller(i, domain), cs)[0].ID]++
	}
	return count
}

var _ = Describe("order", func() {
	It("distributes the callers of one customer evenly over equal daemons", func() {
		const callers = 9000
		for _, n := range countFirst(cluster(9), callers, "") {
			Expect(n).To(BeNumerically("~", callers/9, callers/9*0.15))
		}
	})

	It("distributes callers in proportion to free capacity", func() {
		cs := cluster(2)
		cs[0].Load = 0.5
		got := countFirst(cs, 9000, "")
		Expect(got["entry-0"]).To(BeNumerically("~", 3000, 300))
	})

	It("keeps callers in their failure domain until its load rises, then moves them gradually", func() {
		inside := func(load float64) int {
			cs := cluster(9)
			for i := 0; i < len(cs); i += 3 {
				cs[i].Load = load
			}
			got := countFirst(cs, 1000, "ernakulam")
			return got["entry-0"] + got["entry-3"] + got["entry-6"]
		}
		Expect(inside(0.6)).To(Equal(1000))
		Expect(inside(0.85)).To(And(BeNumerically(">", 200), BeNumerically("<", 900)))
		Expect(inside(0.95)).To(Equal(0))
	})

	It("names a second failure domain even when the first could fill the answer", func() {
		var cs []address.Candidate
		for i, c := range cluster(60) {
			if i%3 == 0 || i == 1 {
				cs = append(cs, c)
			}
		}
		got := address.Order(address.Config{}, caller(1, "ernakulam"), cs)
		Expect(got).To(HaveLen(address.DefaultMaxAddresses))
		Expect(got[0].Domain).To(Equal(state.FailureDomain("ernakulam")))
		Expect(got[len(got)-1].Domain).To(Equal(state.FailureDomain("kottayam")))
	})
})

var _ = Describe("a planned stop", func() {
	// A caller asks a peer for addresses just before the peer learns that entry-0
	// drains, and connects to entry-0 just before the answer expires. If entry-0 timed
	// its stop by its own answers alone, it would refuse a caller that was given its
	// address.
	It("accepts connections until the last answer of any peer has expired", Label("failure:planned-stop"), func() {
		cfg := address.Config{TTL: 15 * time.Second, DrainPropagationBound: 10 * time.Second}
		self := address.New(cfg, "entry-0")
		peer := address.New(cfg, "entry-1")
		cs := cluster(3)
		until := self.Drain(t0)

		learned := t0.Add(cfg.DrainPropagationBound)
		a := peer.Resolve(learned, learned, caller(1, ""), cs)
		Expect(a.Daemons).To(HaveLen(3))
		Expect(learned.Add(a.TTL)).NotTo(BeTemporally(">", until))
		Expect(self.Drain(t0.Add(time.Hour))).To(Equal(until))
	})

	// A peer is paused or partitioned while entry-0 drains and stops. It resumes with
	// its old view and answers a caller before hearing from any other daemon. With the
	// full TTL the caller would cache a dead address for that long.
	It("gives short-lived answers from an outdated view", Label("failure:planned-stop"), func() {
		cfg := address.Config{TTL: 15 * time.Second, DrainPropagationBound: 10 * time.Second, MinTTL: time.Second}
		peer := address.New(cfg, "entry-1")
		woke := t0.Add(30 * time.Second)
		Expect(peer.Resolve(woke, t0, caller(1, ""), cluster(3)).TTL).To(Equal(cfg.MinTTL))
		Expect(peer.Resolve(woke, woke, caller(1, ""), cluster(3)).TTL).To(Equal(cfg.TTL))
	})
})

// Every answer that names a daemon has expired when that daemon closes, whichever
// daemon gave it and in whatever order answers, propagation and drain occur, as long as
// the answering peer is in contact or reports that it is not.
func TestNoAnswerOutlivesTheDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := address.Config{
			TTL:                   time.Duration(rapid.IntRange(2, 20).Draw(t, "valid")) * time.Second,
			DrainPropagationBound: time.Duration(rapid.IntRange(1, 10).Draw(t, "notice")) * time.Second,
			MinTTL:                time.Millisecond,
		}
		self := address.New(cfg, "entry-0")
		peer := address.New(cfg, "entry-1")
		drainAt := time.Duration(rapid.IntRange(0, 20).Draw(t, "drain")) * time.Second
		until := t0.Add(drainAt)
		last := until
		touch := t0
		for s := range 60 {
			now := t0.Add(time.Duration(s) * time.Second)
			if now.Equal(t0.Add(drainAt)) {
				until = self.Drain(now)
			}
			if rapid.Bool().Draw(t, "in touch") {
				touch = now
			}
			// A peer in contact later than drain + notice knows of the drain.
			knows := touch.After(t0.Add(drainAt + cfg.DrainPropagationBound))
			cs := cluster(2)
			cs[0].Draining = knows
			for _, b := range []*address.Resolver{self, peer} {
				at := touch
				if b == self {
					at = now
				}
				a := b.Resolve(now, at, caller(s, ""), cs)
				for _, d := range a.Daemons {
					if d.Draining || (b == self && !now.Before(t0.Add(drainAt))) && d.ID == "entry-0" {
						t.Fatalf("%s named while draining", d.ID)
					}
					if d.ID == "entry-0" && a.TTL > cfg.MinTTL && now.Add(a.TTL).After(last) {
						last = now.Add(a.TTL)
					}
				}
			}
		}
		if last.After(until) {
			t.Fatalf("an answer expires at %v, the daemon closes at %v", last, until)
		}
	})
}
