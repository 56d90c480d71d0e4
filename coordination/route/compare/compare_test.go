package compare_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuswick/hibiscuswick/coordination/route/compare"
)

var full = flag.Bool("compare", false, "run the full comparison of policies and print its tables")

// TestCompare prints the tables of docs/design/shared-load.md.
func TestCompare(t *testing.T) {
	if !*full {
		t.Skip("only with -compare")
	}
	for _, load := range []float64{0.7, 0.9, 0.98, 2} {
		s := compare.LargeSetup(load)
		fmt.Printf("\n40 drafting replicas, load %.2f of %.1f requests/s\n", load, s.Bound())
		table(s)
	}
	s := compare.SmallSetup(0.9)
	fmt.Printf("\n3 counter replicas, load 0.90 of %.1f requests/s\n", s.Bound())
	table(s)
}

// TestAffinity prints the prefix table of docs/design/shared-load.md.
func TestAffinity(t *testing.T) {
	if !*full {
		t.Skip("only with -compare")
	}
	for _, load := range []float64{0.7, 0.9} {
		s := compare.LargeSetup(load)
		s.Prefixes, s.DraftPrefill = 400, 2*time.Second
		fmt.Printf("\nload %.2f, 400 prefixes: no affinity; affinity with events at once; 5 s late; 5 s late and 30%% lost; all lost\n", load)
		table(s, compare.HomePerPoolOf64)
		s.Affinity = true
		table(s, compare.HomePerPoolOf64)
		s.CacheLag = 5 * time.Second
		table(s, compare.HomePerPoolOf64)
		s.CacheLoss = 0.3
		table(s, compare.HomePerPoolOf64)
		s.CacheLoss = 1
		table(s, compare.HomePerPoolOf64)
	}
}

// TestManyPools prints how pools of 64 compare to a single pool for a service with many
// replicas.
func TestManyPools(t *testing.T) {
	if !*full {
		t.Skip("only with -compare")
	}
	s := compare.LargeSetup(0.9)
	s.Daemons, s.Duration = 32, 3*time.Minute
	one := s.Speeds
	for len(s.Speeds) < 640 {
		s.Speeds = append(s.Speeds, one...)
	}
	fmt.Printf("\n640 replicas, 32 daemons, load 0.9 of %.0f requests/s\n", s.Bound())
	table(s, compare.TwoChoicesCounted, compare.HomePerReplica, compare.HomePerPoolOf8, compare.HomePerPoolOf64, compare.OnePool)
}

func table(s compare.Setup, policies ...compare.Policy) {
	if len(policies) == 0 {
		policies = compare.Policies()
	}
	fmt.Println("policy | throughput | goodput | check missed | check wait p50/p95/p99 ms | check first p50/p95/p99 ms | draft missed | draft wait | draft first | prefix hits | draft mean total s | msgs | bytes")
	for _, p := range policies {
		r := compare.Run(s, p)
		c, d := compare.Check, compare.Draft
		fmt.Printf("%s | %.3f | %.3f | %.2f%% | %s | %s | %.2f%% | %s | %s | %.0f%% | %.2f | %.2f | %.0f\n",
			p, r.Throughput, r.Goodput, 100*r.Missed[c], q(r.Wait[c]), q(r.First[c]),
			100*r.Missed[d], q(r.Wait[d]), q(r.First[d]), 100*r.Hits, r.Total[d].Mean()/1e6, r.Messages, r.Bytes)
	}
}

func q(h *hdrhistogram.Histogram) string {
	ms := func(p float64) int64 { return h.ValueAtQuantile(p) / 1000 }
	return fmt.Sprintf("%d/%d/%d", ms(50), ms(95), ms(99))
}
