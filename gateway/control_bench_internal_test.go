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

// BenchmarkControlStart is a start of a site: servers list themselves within 3 s, 200
// batches each, then their layers within 6 s, while 100 other messages a second come.
func BenchmarkControlStart(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c := startedControl(b)
				benchStart(c, servers)
			}
		})
	}
}

func benchStart(c *control, servers int) {
	const (
		pass    = 10 * time.Millisecond
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
		c.entries.answered(b, arrival{whole: from == 0 && !layers})
	}
	passes := 0
	spread := func(over time.Duration, layers bool) {
		n := int(over / pass)
		at := 0
		for i := range n {
			c.now = c.now.Add(pass)
			if to := servers * (i + 1) / n; to > at {
				list(at, to, layers)
				at = to
			}
			c.tick()
			passes++
		}
	}
	spread(listing, false)
	for range int(2 * time.Second / pass) {
		c.now = c.now.Add(pass)
		c.tick()
	}
	spread(loading, true)
}

// BenchmarkChoose is the choice of a path at a daemon of 300 that has 60 streams under way.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{100, 1000, 3000, 12000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := startedControl(b)
			benchList(c, servers)
			v, book := c.g.current.Load(), c.g.book
			svc := v.config.Services["llm"]
			want := pathing.Request{Domain: "a", PromptTokens: 760, MaxTokens: 600}
			now := time.Now()
			for range 60 {
				path, ok := book.choose(now, v, &svc, want, nil, &permitRequest{})
				if !ok {
					b.Fatal("no path")
				}
				book.began(now, path, 100*time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				path, _ := book.choose(now, v, &svc, want, nil, &permitRequest{})
				book.release(path, want.ExpectedTokens())
			}
		})
	}
}

// benchList lists servers with the layers of a layout.
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
	c.entries.answered(batch, arrival{whole: true})
	c.tick()
}
