package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// BenchmarkFleet measures what one daemon sends, without framing, when each
// takes 26 requests a second for customers drawn evenly: 11,000 a second at 420
// daemons. The limits leave room.
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
	w := newWorld(1, daemons, seats, customers...)
	w.measure = true
	w.minDelay, w.maxDelay = time.Millisecond, 10*time.Millisecond
	for k := range keys {
		w.load(k, 4*time.Second, (6+seconds)*time.Second, total/float64(keys), w.anyNode)
	}
	w.run(6 * time.Second)
	w.messages = 0
	for _, n := range w.nodes {
		n.sent = 0
	}
	asked, admitted := w.sums()
	w.run((6 + seconds) * time.Second)
	askedNow, admittedNow := w.sums()
	sum, most := 0, 0
	for _, n := range w.nodes {
		sum += n.sent
		most = max(most, n.sent)
	}
	b.ReportMetric(float64(w.messages)/seconds/float64(daemons), "msg/s/daemon")
	b.ReportMetric(float64(sum)/seconds/float64(daemons), "B/s/daemon")
	b.ReportMetric(float64(most)/seconds, "B/s-most")
	b.ReportMetric(float64(admittedNow-admitted)/float64(askedNow-asked), "admitted")
}

func (w *world) sums() (asked, admitted int) {
	for _, t := range w.truth {
		asked += t.asked
		admitted += t.admitted
	}
	return asked, admitted
}

// single returns a daemon that is the only seat, with its own seat lent.
func single() (*limit.Limiter, time.Time) {
	m := limit.New(limit.Config{Self: state.Member{ID: "a", Incarnation: 1}, Seats: []state.DaemonID{"a"}}, epoch)
	m.Step(epoch, limit.Limits{Service: "s", Customers: []service.Customer{{ID: "c", RequestsPerSecond: 1e9, Burst: 1 << 30}}})
	now := epoch
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		m.Step(now, limit.Tick{})
	}
	return m, now
}

// BenchmarkAsk measures a request with its tokens at hand; the reports that
// refill them are in it.
func BenchmarkAsk(b *testing.B) {
	m, now := single()
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		if !now.Before(m.NextTick()) {
			m.Step(now, limit.Tick{})
		}
		m.Step(now, limit.Acquire{Call: uint64(i), Service: "s", Customer: "c"})
	}
}

// BenchmarkReport measures an owner's answer to a report on 20 keys.
func BenchmarkReport(b *testing.B) {
	m, now := single()
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
