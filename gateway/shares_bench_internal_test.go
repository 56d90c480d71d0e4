package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BenchmarkShares480 measures what a request of a contended service costs at 480 customers.
func BenchmarkShares480(b *testing.B) {
	const service, customers = "llm", 480
	g := &Gateway{self: state.Member{ID: "g1", Incarnation: 1}}
	g.settings.Store(&Settings{Contention: Contention{Shares: true}})
	s := newSharesState(g)
	now := time.Now()
	ids := make([]state.CustomerID, customers)
	for i := range ids {
		ids[i] = state.CustomerID(fmt.Sprintf("customer-%03d", i))
		s.charge(now, service, ids[i], 800)
	}
	s.machine.MarkContended(now, service)
	s.machine.Step(now, shares.Tick{})
	s.machine.Step(now.Add(time.Second), shares.Tick{})
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.excess(now, service, ids[i%customers])
		s.charge(now, service, ids[i%customers], 800)
		i++
	}
}
