package gateway

import (
	"fmt"
	"testing"
	"time"

	plannedcover "github.com/hibiscuswick/hibiscuswick/coordination/cover"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// BenchmarkControlStart simulates the start of a site: servers list themselves within 3 s,
// and then their layers within 6 s, in up to 100 batches per second.
func BenchmarkControlStart(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c := newTestControl(b)
				benchStart(c, servers)
			}
		})
	}
}

func benchStart(c *control, servers int) {
	const (
		step    = 10 * time.Millisecond
		listing = 3 * time.Second
		loading = 6 * time.Second
	)
	revision := uint64(1)
	list := func(from, to int, layers bool) {
		var b site.Batch[fleet.Server]
		for i := from; i < to; i++ {
			s := benchServer(i)
			if layers {
				s.Layers = fleet.Range{From: i * 7 % 70, To: i*7%70 + 10}
			}
			revision++
			b.Items = append(b.Items, site.Item[fleet.Server]{Key: string(s.ID), Revision: revision, Value: s})
		}
		b.Revision = revision
		c.serverFeed.applyStoreAnswer(b, batchInfo{complete: from == 0 && !layers})
	}
	steps := 0
	spread := func(over time.Duration, layers bool) {
		n := int(over / step)
		at := 0
		for i := range n {
			c.now = c.now.Add(step)
			if to := servers * (i + 1) / n; to > at {
				list(at, to, layers)
				at = to
			}
			c.tick()
			steps++
		}
	}
	spread(listing, false)
	for range int(2 * time.Second / step) {
		c.now = c.now.Add(step)
		c.tick()
	}
	spread(loading, true)
}

// BenchmarkChoose measures the choice of a path at one of 300 daemons, with 60 streams in
// flight.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{100, 1000, 3000, 12000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := newTestControl(b)
			benchList(c, servers)
			v, shared := c.g.currentView.Load(), c.g.shared
			svc := v.config.Services["llm"]
			req := pathing.Request{Domain: "a", PromptTokens: 760, MaxTokens: 600}
			now := time.Now()
			for range 60 {
				path, ok := shared.choosePath(now, v, &svc, req, nil, &serverSearch{})
				if !ok {
					b.Fatal("no path")
				}
				shared.recordAnswerStart(now, path, 100*time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				path, _ := shared.choosePath(now, v, &svc, req, nil, &serverSearch{})
				shared.releasePath(path, req.ExpectedTokens())
			}
		})
	}
}

// benchList lists servers with an assignment of layers.
func benchList(c *control, servers int) {
	var batch site.Batch[fleet.Server]
	var all []fleet.Server
	for i := range servers {
		all = append(all, benchServer(i))
	}
	for i, a := range plannedcover.Plan(benchEngine(), all) {
		s := a.Server
		s.Layers = a.Layers
		batch.Items = append(batch.Items, site.Item[fleet.Server]{Key: string(s.ID), Revision: uint64(i + 1), Value: s})
	}
	batch.Revision = uint64(servers + 1)
	c.serverFeed.applyStoreAnswer(batch, batchInfo{complete: true})
	c.tick()
}
