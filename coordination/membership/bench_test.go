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

// BenchmarkFleet measures the figures of docs/design/membership.md in virtual time.
//
//	go test ./coordination/membership -run xxx -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("idle/%d", n), func(b *testing.B) { benchIdle(b, n) })
		b.Run(fmt.Sprintf("death/%d", n), func(b *testing.B) { benchDeath(b, n) })
		b.Run(fmt.Sprintf("backend-fact/%d", n), func(b *testing.B) { benchFact(b, n) })
		b.Run(fmt.Sprintf("parted/%d", n), func(b *testing.B) { benchPartition(b, n) })
		b.Run(fmt.Sprintf("pause/%d", n), func(b *testing.B) { benchPause(b, n) })
		for _, loss := range []float64{0.01, 0.05, 0.2} {
			b.Run(fmt.Sprintf("loss-%v/%d", loss, n), func(b *testing.B) { benchLoss(b, n, loss) })
		}
	}
}

func started(b *testing.B, n int) *cluster {
	c := newCluster(uint64(n), membership.Config{})
	c.start(n, 90*time.Second)
	if !c.converged() {
		b.Fatalf("%d daemons did not converge", n)
	}
	c.clear()
	return c
}

// traffic reports what the daemons sent during d.
func (c *cluster) traffic(b *testing.B, d time.Duration) {
	var bytes, messages, worst int
	for _, n := range c.running() {
		bytes += n.bytes
		messages += n.messages
		worst = max(worst, n.bytes)
	}
	per := float64(len(c.running())) * d.Seconds()
	b.ReportMetric(float64(bytes)/per, "B/s/daemon")
	b.ReportMetric(float64(worst)/d.Seconds(), "B/s-worst")
	b.ReportMetric(float64(messages)/per, "msg/s/daemon")
	b.ReportMetric(0, "ns/op")
}

func benchIdle(b *testing.B, n int) {
	c := started(b, n)
	for _, d := range c.nodes {
		clear(d.peers)
	}
	begin := time.Now()
	c.run(2 * time.Minute)
	b.ReportMetric(float64(time.Since(begin).Microseconds())/120/float64(n), "cpu-us/s/daemon")
	c.traffic(b, 2*time.Minute)
	peers := 0
	for _, d := range c.nodes {
		peers += len(d.peers)
	}
	b.ReportMetric(float64(peers)/float64(n), "peers")
}

const trials = 10

// reportTimes reports the median and the maximum of times.
func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-median")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
	b.ReportMetric(0, "ns/op")
}

func benchDeath(b *testing.B, n int) {
	c := started(b, n)
	var times []time.Duration
	for t := range min(trials, n/2) {
		victim := c.nodes[t]
		victim.dead = true
		d, ok := c.runUntil(time.Minute, func() bool { return c.allHold(victim.id, membership.Dead) })
		if !ok {
			b.Fatalf("the death of %s was not detected by every daemon", victim.id)
		}
		times = append(times, d)
		c.run(10 * time.Second)
	}
	reportTimes(b, times)
}

func benchFact(b *testing.B, n int) {
	c := started(b, n)
	for _, loss := range []float64{0, 0.2} {
		c.loss = loss
		var times []time.Duration
		for t := range trials {
			id := state.BackendID(fmt.Sprintf("engine-%v-%d", loss, t))
			c.step(c.nodes[t%n], membership.ReportBackend{Backend: id, Kind: membership.BackendLeaving})
			d, ok := c.runUntil(time.Minute, func() bool {
				return c.everyView(func(_ *node, v *membership.View) bool { return v.Backends[id].Kind == membership.BackendLeaving })
			})
			if !ok {
				b.Fatalf("the fact about %s did not reach every daemon", id)
			}
			times = append(times, d)
			c.run(10 * time.Second)
		}
		slices.Sort(times)
		b.ReportMetric(times[len(times)-1].Seconds(), fmt.Sprintf("s-max-loss-%v", loss))
	}
	b.ReportMetric(0, "ns/op")
}

func benchPartition(b *testing.B, n int) {
	c := started(b, n)
	side := func(n *node) bool { return n.self.Meta.Domain > "domain-1" }
	c.blocked = func(from, to *node) bool { return side(from) != side(to) }
	c.run(2 * time.Minute)
	c.traffic(b, 2*time.Minute)
	c.blocked = nil
	c.clear()
	d, ok := c.runUntil(2*time.Minute, c.converged)
	if !ok {
		b.Fatal("the partitions did not converge")
	}
	healing := 0
	for _, n := range c.nodes {
		healing += n.bytes
	}
	b.ReportMetric(d.Seconds(), "s-to-heal")
	b.ReportMetric(float64(healing)/float64(n), "B-to-heal/daemon")
	b.ReportMetric(float64(c.tally().died), "deaths-while-healing")
}

func benchPause(b *testing.B, n int) {
	c := started(b, n)
	c.pause(c.nodes[1], 30*time.Second)
	c.run(30 * time.Second)
	c.clear()
	d, ok := c.runUntil(time.Minute, c.converged)
	if !ok {
		b.Fatal("the paused daemon did not rejoin")
	}
	b.ReportMetric(d.Seconds(), "s-to-return")
	c.run(20 * time.Second)
	b.ReportMetric(float64(c.tally().died), "false-deaths")
	b.ReportMetric(0, "ns/op")
}

func benchLoss(b *testing.B, n int, loss float64) {
	c := started(b, n)
	c.loss = loss
	c.run(2 * time.Minute)
	c.traffic(b, 2*time.Minute)
	t := c.tally()
	b.ReportMetric(float64(t.refuted), "suspicions")
	b.ReportMetric(float64(t.died), "false-deaths")
}
