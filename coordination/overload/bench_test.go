package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
)

// BenchmarkDecide is the decision for one stream along ten hops, with ten classes of demand.
func BenchmarkDecide(b *testing.B) {
	m, demand := overload.NewModel(), overload.NewDemand()
	var p pathing.Prediction
	for i := range 10 {
		p.Hops = append(p.Hops, pathing.HopPrediction{Kind: fmt.Sprintf("kind-%d", i%5), PauseMS: 6})
	}
	now := time.Unix(1000, 0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c := urgency.Class{Customer: i % 2, Route: i % 5}
		demand.Add(now, c, 900)
		s := streamOf(demand.MoreUrgent(now, c))
		m.Observe(now, p, 80*time.Millisecond)
		s.Decide(m.Outlook(now, p))
	}
	b.ReportAllocs()
}
