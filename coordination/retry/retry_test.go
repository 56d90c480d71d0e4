package retry_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

var epoch = time.Unix(1_000_000, 0)

func newBudgets(cfg retry.Config) *retry.Budgets {
	return retry.New(cfg, epoch, rand.New(rand.NewPCG(1, 2)))
}

func TestBudgetsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio = 0.5
		cfg := retry.Config{Window: 10 * time.Second, ServiceFloor: 4, CustomerFloor: 2}
		b := newBudgets(cfg)
		type record struct {
			at       time.Time
			customer state.CustomerID
			retry    bool
		}
		var log []record
		now := epoch
		// count returns the number of records of one customer (or all) younger than
		// age.
		count := func(customer state.CustomerID, retries bool, age time.Duration) int {
			n := 0
			for _, r := range log {
				if r.retry == retries && now.Sub(r.at) < age && (customer == "" || r.customer == customer) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			customer := state.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"))
			if rapid.Bool().Draw(t, "success") {
				b.Succeeded(now, "s", customer)
				log = append(log, record{now, customer, false})
				continue
			}
			f := retry.Failure{
				Service: "s", Customer: customer,
				Policy:     service.Retry{MaxAttempts: 3, BudgetRatio: ratio},
				Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
				Execution:  rapid.SampledFrom([]state.Execution{state.ExecutionNotRun, state.ExecutionStarted, state.ExecutionUnknown}).Draw(t, "execution"),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
				Replica:    state.ReplicaID(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "replica")),
				Deadline:   now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "left")) * time.Millisecond),
			}
			again, ok := b.Decide(now, f).(retry.Allow)
			if !ok {
				continue
			}
			log = append(log, record{now, customer, true})
			if f.Execution != state.ExecutionNotRun && !f.Repeatable {
				t.Fatalf("retried %+v", f)
			}
			if f.Attempts >= 3 || !now.Add(again.After).Before(f.Deadline) || again.After < 0 {
				t.Fatalf("retried beyond its bounds: %+v %+v", f, again)
			}
			if len(again.Exclude) == 0 || again.Exclude[0] != f.Replica {
				t.Fatalf("%s has just failed but is not excluded: %v", f.Replica, again.Exclude)
			}
			// The sliding window spans between 9 and 10 of its 10 one-second buckets,
			// so the retries of 9 s are within the budget of 10 s of successes.
			for _, c := range []struct {
				customer state.CustomerID
				floor    int
			}{{"", 4}, {customer, 2}} {
				budget := math.Max(float64(c.floor), ratio*float64(count(c.customer, false, 10*time.Second)))
				if got := count(c.customer, true, 9*time.Second); float64(got) > budget {
					t.Fatalf("customer %q: %d retries with a budget of %v", c.customer, got, budget)
				}
			}
		}
	})
}

// attempt is one dispatch of the outage model, which ends at end.
type attempt struct {
	end time.Time
	n   int
}

type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].end.Before(a[j].end) }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// outage simulates 100 requests per second for 70 s. From second 10 on a share of all
// dispatches fails after 50 ms. It returns the dispatches per request and the share of
// requests completed, both during the outage.
func outage(failShare float64, policy service.Retry, cfg retry.Config) (amplification, completed float64) {
	b := newBudgets(cfg)
	rng := rand.New(rand.NewPCG(3, 4))
	var queue attempts
	for i := range 7000 {
		queue = append(queue, attempt{epoch.Add(time.Duration(i)*10*time.Millisecond + 50*time.Millisecond), 1})
	}
	heap.Init(&queue)
	requests, dispatches, done := 0, 0, 0
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(attempt)
		in := a.end.Sub(epoch) >= 10*time.Second
		if in {
			dispatches++
			if a.n == 1 {
				requests++
			}
		}
		if !in || rng.Float64() >= failShare {
			b.Succeeded(a.end, "s", "c")
			if in {
				done++
			}
			continue
		}
		d := b.Decide(a.end, retry.Failure{
			Service: "s", Customer: "c", Policy: policy, Attempts: a.n,
			Cause: state.RetryStageFailed, Execution: state.ExecutionStarted, Repeatable: true,
			Replica: state.ReplicaID(fmt.Sprint("r", rng.IntN(40))),
		})
		if again, ok := d.(retry.Allow); ok {
			heap.Push(&queue, attempt{a.end.Add(again.After + 50*time.Millisecond), a.n + 1})
		}
	}
	return float64(dispatches) / float64(requests), float64(done) / float64(requests)
}

var _ = Describe("A retry storm", Label("failure:stage-dies-mid-stream"), func() {
	// All stages of one kind die, so that each request of the service fails 50 ms after
	// dispatch. Without a budget each request is tried up to its attempt limit and the
	// backend servers get a multiple of the normal load while they restart. With the
	// budget the multiple stays near one, and a partial outage remains invisible to
	// most callers.
	unlimited := retry.Config{ServiceFloor: 1 << 30, CustomerFloor: 1 << 30}

	DescribeTable("is limited to the amplification that the budget permits",
		func(failShare, maxAmplification, minCompleted float64) {
			policy := service.Retry{MaxAttempts: 4, BudgetRatio: 0.2}
			with, doneWith := outage(failShare, policy, retry.Config{})
			without, doneWithout := outage(failShare, policy, unlimited)
			AddReportEntry(fmt.Sprintf(
				"%3.0f%% of dispatches fail: amplification %.2f (%.1f%% completed) with budget, %.2f (%.1f%%) without",
				100*failShare, with, 100*doneWith, without, 100*doneWithout), ReportEntryVisibilityAlways)
			Expect(with).To(BeNumerically("<=", maxAmplification))
			Expect(with).To(BeNumerically("<=", without))
			Expect(doneWith).To(BeNumerically(">=", minCompleted))
		},
		Entry("5% fail", 0.05, 1.06, 0.999),
		Entry("half fail", 0.5, 1.2, 0.55),
		Entry("all fail", 1.0, 1.1, 0.0),
	)
})

var _ = Describe("A request that may run only once", func() {
	It("is retried if and only if no attempt ran", func() {
		b := newBudgets(retry.Config{})
		f := retry.Failure{Service: "s", Customer: "c", Attempts: 1, Cause: state.RetryNotStarted, Execution: state.ExecutionNotRun}
		Expect(b.Decide(epoch, f)).To(BeAssignableToTypeOf(retry.Allow{}))
		f.Execution = state.ExecutionUnknown
		Expect(b.Decide(epoch, f)).To(Equal(retry.Deny{Denial: retry.DenialNotRepeatable}))
	})
})

var _ = Describe("A replica that just failed", func() {
	It("is excluded from all retries of the service for a while", func() {
		b := newBudgets(retry.Config{FailureTTL: time.Second, MaxFailedReplicas: 2})
		fail := func(at time.Duration, id state.ReplicaID) []state.ReplicaID {
			d := b.Decide(epoch.Add(at), retry.Failure{Service: "s", Customer: "c", Attempts: 1, Repeatable: true, Replica: id})
			return d.(retry.Allow).Exclude
		}
		Expect(fail(0, "r1")).To(ConsistOf(state.ReplicaID("r1")))
		Expect(fail(500*time.Millisecond, "r2")).To(ConsistOf(state.ReplicaID("r1"), state.ReplicaID("r2")))
		Expect(b.FailedReplicas(epoch.Add(1200*time.Millisecond), "s")).To(ConsistOf(state.ReplicaID("r2")))
		Expect(b.FailedReplicas(epoch.Add(1500*time.Millisecond), "s")).To(BeEmpty())
	})
})

func BenchmarkDecide(b *testing.B) {
	budgets := newBudgets(retry.Config{ServiceFloor: 1 << 30, CustomerFloor: 1 << 30})
	f := retry.Failure{Service: "s", Customer: "c", Attempts: 1, Repeatable: true, Replica: "r"}
	b.ReportAllocs()
	for i := range b.N {
		budgets.Decide(epoch.Add(time.Duration(i)*time.Microsecond), f)
	}
}

func BenchmarkSucceeded(b *testing.B) {
	budgets := newBudgets(retry.Config{})
	b.ReportAllocs()
	for i := range b.N {
		budgets.Succeeded(epoch.Add(time.Duration(i)*time.Microsecond), "s", "c")
	}
}
