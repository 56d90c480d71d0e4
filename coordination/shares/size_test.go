package shares_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	largeSite          = 420
	manyCustomers      = 480
	requestsPerSecond  = 26 // per daemon
	maxBytesPerDaemon  = 3000
	envelopeBytes      = 30 // of a message between daemons, beside its body
	measuredSeconds    = 5
	learningTimeTarget = 3 * time.Second
)

// skewed returns a customer of a site where the i-th largest has a part of i^-skew of the requests.
func skewed(rng *rand.Rand, skew float64) shares.Customer {
	if skew == 0 {
		return customer(rng.IntN(manyCustomers))
	}
	return customer(int(rand.NewZipf(rng, skew, 1, manyCustomers-1).Uint64()))
}

// overloaded returns a site at the planned size, of which one daemon finds the service overloaded.
func overloaded(fanout int, skew float64, duration time.Duration) *world {
	w := newWorld(12, largeSite, fanout)
	for _, d := range w.daemons {
		w.load(w.now.Add(duration), time.Second/requestsPerSecond, func() { w.charge(d, skewed(w.rng, skew), requestTokens) })
	}
	w.load(w.now.Add(duration), 500*time.Millisecond, func() { w.mark(w.daemons[0]) })
	return w
}

// sent is what the daemons of a site send, per daemon and second.
type sent struct {
	mean, most, messages, peers float64
	over                        int // daemons that send more than maxBytesPerDaemon
}

func (s sent) String() string {
	return fmt.Sprintf("%.0f bytes, busiest daemon %.0f, %d daemons over %d; %.1f messages; busiest daemon to %.0f others",
		s.mean, s.most, s.over, maxBytesPerDaemon, s.messages, s.peers)
}

func measure(w *world) sent {
	for _, d := range w.daemons {
		d.bytes, d.messages, d.peers = 0, 0, make(map[state.DaemonID]bool)
	}
	w.run(w.now.Add(measuredSeconds * time.Second))
	var out sent
	for _, d := range w.daemons {
		bytes := float64(d.bytes+envelopeBytes*d.messages) / measuredSeconds
		out.mean += bytes / largeSite
		out.most = max(out.most, bytes)
		out.over += lo.Ternary(bytes > maxBytesPerDaemon, 1, 0)
		out.messages += float64(d.messages) / measuredSeconds / largeSite
		out.peers = max(out.peers, float64(len(d.peers)))
	}
	return out
}

// ownerPerCustomer computes what daemons would send if each customer had an owner that all daemons
// with requests of that customer report to, and that answers each of them.
func ownerPerCustomer(skew float64) sent {
	rng := rand.New(rand.NewPCG(13, 1))
	ids := lo.Times(largeSite, func(i int) state.DaemonID { return state.DaemonID(fmt.Sprintf("g%d", i)) })
	report := len(encode(shares.Report{Service: model, Depth: 1, Leaf: true, Number: 100, Daemons: 1, ContendedMS: 3000,
		Customers: []shares.Customer{1 << 30}, Admitted: []uint32{5000}, Rejected: []uint32{0}}))
	answer := len(encode(shares.Table{Service: model, Depth: 1, Root: "g100", Incarnation: 1 << 60, Number: 100, Daemons: 100,
		ContendedMS: 3000, Total: 1 << 20, Share: 1 << 16, Customers: []shares.Customer{1 << 30}, Used: []uint32{5000}}))
	bytes, messages, peers := make(map[state.DaemonID]int), 0, make(map[state.DaemonID]map[state.DaemonID]bool)
	for _, from := range ids {
		for range measuredSeconds {
			for c := range lo.Keyify(lo.Times(requestsPerSecond, func(int) shares.Customer { return skewed(rng, skew) })) {
				owner, _ := rendezvous.Owner(fmt.Sprint(model, c), ids)
				bytes[from] += report + envelopeBytes
				bytes[owner] += answer + envelopeBytes
				messages += 2
				for _, pair := range [][2]state.DaemonID{{from, owner}, {owner, from}} {
					if peers[pair[0]] == nil {
						peers[pair[0]] = make(map[state.DaemonID]bool)
					}
					peers[pair[0]][pair[1]] = true
				}
			}
		}
	}
	var out sent
	for _, id := range ids {
		b := float64(bytes[id]) / measuredSeconds
		out.mean += b / largeSite
		out.most = max(out.most, b)
		out.over += lo.Ternary(b > maxBytesPerDaemon, 1, 0)
		out.peers = max(out.peers, float64(len(peers[id])))
	}
	out.messages = float64(messages) / measuredSeconds / largeSite
	return out
}

var _ = Describe("At 420 daemons and 480 customers", func() {
	for _, skew := range []float64{0, 1.2} {
		It(fmt.Sprintf("daemons send little while a service is overloaded, with a skew of %.1f", skew), func() {
			w := overloaded(8, skew, 12*time.Second)
			w.run(epoch.Add(5 * time.Second))
			tree, direct := measure(w), ownerPerCustomer(skew)
			GinkgoWriter.Printf("tree: %s\nowner per customer: %s\n", tree, direct)
			Expect(tree.mean).To(BeNumerically("<", maxBytesPerDaemon))
			Expect(tree.over).To(BeNumerically("<", largeSite/20))
			Expect(tree.most).To(BeNumerically("<", direct.most))
			Expect(tree.messages).To(BeNumerically("<", direct.messages))
		})
	}

	It("all daemons learn of the largest customer in time", func() {
		w := overloaded(8, 1.2, 12*time.Second)
		w.run(epoch.Add(learningTimeTarget))
		for _, d := range w.daemons {
			Expect(d.machine.Excess(w.now, model, customer(0))).To(BeNumerically(">", 0.25), string(d.id))
		}
	})
})

func BenchmarkRequest480(b *testing.B) {
	w := newWorld(14, 1, 8)
	m := w.daemons[0].machine
	for i := range manyCustomers {
		m.Charge(w.now, model, customer(i), requestTokens*float64(1+i%5))
	}
	w.mark(w.daemons[0])
	w.run(epoch.Add(time.Second))
	ids := lo.Times(manyCustomers, customer)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		c := ids[i%manyCustomers]
		m.MarkContended(w.now, model)
		m.Excess(w.now, model, c)
		m.Charge(w.now, model, c, requestTokens)
		i++
	}
}

func BenchmarkRoot480(b *testing.B) {
	w := newWorld(15, 9, 8)
	for i := range manyCustomers {
		w.charge(w.daemons[i%9], customer(i), requestTokens*float64(1+i%5))
	}
	b.ReportAllocs()
	for b.Loop() {
		w.mark(w.daemons[0])
		w.run(w.now.Add(shares.ReportInterval))
	}
}
