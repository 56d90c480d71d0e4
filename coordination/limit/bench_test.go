package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// BenchmarkFleet measures what one daemon sends, without framing, when each daemon
// gets 26 requests per second for uniformly random customers, which makes 11,000
// per second with 420 daemons. The limits are twice the demand.
func BenchmarkFleet(b *testing.B) {
	for _, f := range []struct{ daemons, seats, keys int }{
		{9, 9, 10}, {9, 9, 100}, {50, 17, 100}, {50, 17, 480}, {150, 17, 480}, {420, 17, 480}, {420, 17, 2400},
	} {
		b.Run(fmt.Sprintf("daemons=%d/seats=%d/keys=%d", f.daemons, f.seats, f.keys), func(b *testing.B) {
			for range b.N {
				fleet(b, f.daemons, f.seats, f.keys)
			}
		})
	}
}

func fleet(b *testing.B, daemons, seats, keys int) {
	const seconds = 5
	total := 26 * float64(daemons)
	var customers []service.Customer
	for i := range keys {
		rate := 2 * total / float64(keys)
		customers = append(customers, service.Customer{
			ID: state.CustomerID(fmt.Sprintf("customer-%04d", i)), RequestsPerSecond: rate, Burst: int(rate) + 1,
		})
	}
	sim := newSimulation(1, daemons, seats, customers...)
	sim.measure = true
	sim.minDelay, sim.maxDelay = time.Millisecond, 10*time.Millisecond
	for k := range keys {
		sim.generateLoad(k, 4*time.Second, (6+seconds)*time.Second, total/float64(keys), sim.anyNode)
	}
	sim.run(6 * time.Second)
	sim.messages = 0
	for _, n := range sim.nodes {
		n.sent = 0
	}
	requested, admitted := sim.totals()
	sim.run((6 + seconds) * time.Second)
	requestedNow, admittedNow := sim.totals()
	sum, most := 0, 0
	for _, n := range sim.nodes {
		sum += n.sent
		most = max(most, n.sent)
	}
	b.ReportMetric(float64(sim.messages)/seconds/float64(daemons), "msg/s/daemon")
	b.ReportMetric(float64(sum)/seconds/float64(daemons), "B/s/daemon")
	b.ReportMetric(float64(most)/seconds, "B/s-most")
	b.ReportMetric(float64(admittedNow-admitted)/float64(requestedNow-requested), "admitted")
}

func (sim *simulation) totals() (requested, admitted int) {
	for _, t := range sim.reference {
		requested += t.requests
		admitted += t.admitted
	}
	return requested, admitted
}

// newSingleSeat returns a daemon that is the only seat and has lent that seat to
// itself.
func newSingleSeat() (*limit.Limiter, time.Time) {
	m := limit.New(limit.Config{Self: state.Member{ID: "a", Incarnation: 1}, Seats: []state.DaemonID{"a"}}, epoch)
	m.Step(epoch, limit.Limits{Service: "s", Customers: []service.Customer{{ID: "c", RequestsPerSecond: 1e9, Burst: 1 << 30}}})
	now := epoch
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		m.Step(now, limit.Tick{})
	}
	return m, now
}

// BenchmarkAsk measures a request for which tokens are available, including the
// reports that obtain them.
func BenchmarkAsk(b *testing.B) {
	m, now := newSingleSeat()
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		if !now.Before(m.NextTick()) {
			m.Step(now, limit.Tick{})
		}
		m.Step(now, limit.Acquire{Call: uint64(i), Service: "s", Customer: "c"})
	}
}

// BenchmarkReport measures an owner's answer to a report with 20 usages.
func BenchmarkReport(b *testing.B) {
	m, now := newSingleSeat()
	from := state.Member{ID: "b", Incarnation: 1}
	r := limit.Report{}
	for range 20 {
		r.Usages = append(r.Usages, limit.Usage{Service: "s", Customer: "c", Need: 1})
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		r.Stamp = int64(i + 1)
		m.Step(now, limit.Received{From: from, Msg: r})
	}
}
