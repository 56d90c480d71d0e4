package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var sizes = []int{9, 50, 150, 420}

// BenchmarkFleet gives the figures of docs/design/membership.md. Times are virtual.
//
//	go test ./coordination/membership -run xxx -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("idle/%d", n), func(b *testing.B) { benchIdle(b, n) })
		b.Run(fmt.Sprintf("death/%d", n), func(b *testing.B) { benchDeath(b, n) })
		b.Run(fmt.Sprintf("backend-fact/%d", n), func(b *testing.B) { benchFact(b, n) })
		b.Run(fmt.Sprintf("parted/%d", n), func(b *testing.B) { benchParted(b, n) })
		b.Run(fmt.Sprintf("pause/%d", n), func(b *testing.B) { benchPause(b, n) })
		for _, loss := range []float64{0.01, 0.05, 0.2} {
			b.Run(fmt.Sprintf("loss-%v/%d", loss, n), func(b *testing.B) { benchLoss(b, n, loss) })
		}
	}
}

func started(b *testing.B, n int) *fleet {
	f := newFleet(uint64(n), membership.Config{})
	f.start(n, 90*time.Second)
	if !f.converged() {
		b.Fatalf("%d daemons did not find each other", n)
	}
	f.clear()
	return f
}

// traffic reports what the daemons sent over d.
func (f *fleet) traffic(b *testing.B, d time.Duration) {
	var bytes, messages, worst int
	for _, n := range f.living() {
		bytes += n.bytes
		messages += n.messages
		worst = max(worst, n.bytes)
	}
	per := float64(len(f.living())) * d.Seconds()
	b.ReportMetric(float64(bytes)/per, "B/s/daemon")
	b.ReportMetric(float64(worst)/d.Seconds(), "B/s-worst")
	b.ReportMetric(float64(messages)/per, "msg/s/daemon")
	b.ReportMetric(0, "ns/op")
}

func benchIdle(b *testing.B, n int) {
	f := started(b, n)
	for _, d := range f.nodes {
		clear(d.peers)
	}
	begin := time.Now()
	f.run(2 * time.Minute)
	b.ReportMetric(float64(time.Since(begin).Microseconds())/120/float64(n), "cpu-us/s/daemon")
	f.traffic(b, 2*time.Minute)
	peers := 0
	for _, d := range f.nodes {
		peers += len(d.peers)
	}
	b.ReportMetric(float64(peers)/float64(n), "peers")
}

const trials = 10

// spread reports the median and the longest of times.
func spread(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-median")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
	b.ReportMetric(0, "ns/op")
}

func benchDeath(b *testing.B, n int) {
	f := started(b, n)
	var times []time.Duration
	for t := range min(trials, n/2) {
		victim := f.nodes[t]
		victim.dead = true
		d, ok := f.runUntil(time.Minute, func() bool { return f.allSee(victim.id, membership.Dead) })
		if !ok {
			b.Fatalf("the death of %s stayed unknown", victim.id)
		}
		times = append(times, d)
		f.run(10 * time.Second)
	}
	spread(b, times)
}

func benchFact(b *testing.B, n int) {
	f := started(b, n)
	for _, loss := range []float64{0, 0.2} {
		f.loss = loss
		var times []time.Duration
		for t := range trials {
			id := state.BackendID(fmt.Sprintf("engine-%v-%d", loss, t))
			f.step(f.nodes[t%n], membership.ReportBackend{Backend: id, Kind: membership.BackendLeaving})
			d, ok := f.runUntil(time.Minute, func() bool {
				return f.all(func(_ *node, v *membership.View) bool { return v.Backends[id].Kind == membership.BackendLeaving })
			})
			if !ok {
				b.Fatalf("%s stayed unknown", id)
			}
			times = append(times, d)
			f.run(10 * time.Second)
		}
		slices.Sort(times)
		b.ReportMetric(times[len(times)-1].Seconds(), fmt.Sprintf("s-max-loss-%v", loss))
	}
	b.ReportMetric(0, "ns/op")
}

func benchParted(b *testing.B, n int) {
	f := started(b, n)
	side := func(n *node) bool { return n.self.Meta.Domain > "domain-1" }
	f.cut = func(from, to *node) bool { return side(from) != side(to) }
	f.run(2 * time.Minute)
	f.traffic(b, 2*time.Minute)
	f.cut = nil
	f.clear()
	d, ok := f.runUntil(2*time.Minute, f.converged)
	if !ok {
		b.Fatal("the sides did not find each other")
	}
	healing := 0
	for _, n := range f.nodes {
		healing += n.bytes
	}
	b.ReportMetric(d.Seconds(), "s-to-heal")
	b.ReportMetric(float64(healing)/float64(n), "B-to-heal/daemon")
	b.ReportMetric(float64(f.tally().died), "deaths-while-healing")
}

func benchPause(b *testing.B, n int) {
	f := started(b, n)
	f.pause(f.nodes[1], 30*time.Second)
	f.run(30 * time.Second)
	f.clear()
	d, ok := f.runUntil(time.Minute, f.converged)
	if !ok {
		b.Fatal("the paused daemon did not come back")
	}
	b.ReportMetric(d.Seconds(), "s-to-return")
	f.run(20 * time.Second)
	b.ReportMetric(float64(f.tally().died), "false-deaths")
	b.ReportMetric(0, "ns/op")
}

func benchLoss(b *testing.B, n int, loss float64) {
	f := started(b, n)
	f.loss = loss
	f.run(2 * time.Minute)
	f.traffic(b, 2*time.Minute)
	t := f.tally()
	b.ReportMetric(float64(t.refuted), "suspicions")
	b.ReportMetric(float64(t.died), "false-deaths")
}
