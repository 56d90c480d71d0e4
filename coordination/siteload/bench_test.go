package siteload_test

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BenchmarkReceive is an aggregator's work for one report of 25 daemons with 50 groups each, and the
// size of the report and of its answer.
func BenchmarkReceive(b *testing.B) {
	const daemons, groups = 25, 50
	loads := make(siteload.Loads, groups)
	for g := range groups {
		loads[siteload.Group(1<<31+g*7919)] = uint32(20_000 + g)
	}
	part := siteload.Part{Service: "model-service", Domain: "domain-a"}
	a := siteload.NewAggregator()
	now := time.Unix(1000, 0)
	var totals siteload.Totals
	number := uint64(0)
	for b.Loop() {
		number++
		for d := range daemons {
			from := state.Member{ID: state.DaemonID("daemon-" + string(rune('a'+d))), Incarnation: 1}
			totals = a.Receive(now, from, siteload.Report{Part: part, Number: number, Loads: loads})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*daemons), "ns/report")
	report, err := msgpack.Marshal(siteload.Report{Part: part, Number: number, Loads: loads})
	if err != nil {
		b.Fatal(err)
	}
	answer, err := msgpack.Marshal(totals)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(report)), "B/report")
	b.ReportMetric(float64(len(answer)), "B/answer")
}
