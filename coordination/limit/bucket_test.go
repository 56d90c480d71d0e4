package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// An account that is settled rarely must not mint more than one settled each
// millisecond, whatever is given, reported and run out in between.
func TestRareSettlingMintsNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Total: 9, MaxClockDrift: 0.01, BatchTTL: 800 * time.Millisecond}
		l := Limit{PerSecond: 20, Burst: 12}
		now := time.Unix(1000, 0)
		rare := &bucket{limit: l, settled: now, seats: 9}
		often := &bucket{limit: l, settled: now, seats: 9}
		seats := 9
		holder := state.Member{ID: "h"}
		var id uint64
		for range rapid.IntRange(1, 30).Draw(t, "ops") {
			for range rapid.IntRange(0, 1000).Draw(t, "ms") {
				now = now.Add(time.Millisecond)
				often.settle(now, seats, &cfg)
			}
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				rare.settle(now, seats, &cfg)
				n := rare.give(rapid.IntRange(1, 12).Draw(t, "need"), 0, &cfg)
				if got := often.give(n, 0, &cfg); got != n {
					t.Fatalf("gave %d, but %d were there", n, got)
				}
				id++
				b := batch{id: id, holder: holder, size: uint32(n), deadline: now.Add(cfg.BatchTTL)}
				rare.batches = append(rare.batches, b)
				often.batches = append(often.batches, b)
			case 1:
				rare.settle(now, seats, &cfg)
				u := BatchUsage{ID: rapid.Uint64Range(0, id).Draw(t, "id"), Spent: 1, Closed: rapid.Bool().Draw(t, "closed")}
				rare.used(holder, u)
				often.used(holder, u)
			case 2:
				// Seats are lost unnoticed; a gain is settled first.
				seats = rapid.IntRange(0, seats).Draw(t, "seats")
			}
			check := *rare
			check.batches = append([]batch(nil), rare.batches...)
			check.settle(now, seats, &cfg)
			if check.level > often.level+1e-6 {
				t.Fatalf("level %v, exactly %v", check.level, often.level)
			}
		}
	})
}

// A seat that was away for a while must not be minted for in that while.
func TestRegainedSeatsMintNothingForTheirAbsence(t *testing.T) {
	cfg := Config{Self: state.Member{ID: "a", Incarnation: 1}, Seats: []state.DaemonID{"a", "b", "c"}}.withDefaults()
	key := Key{Service: "s", Customer: "c"}
	start := time.Unix(1000, 0)
	o := newOwner(&cfg, start, map[Key]Limit{key: {PerSecond: 1, Burst: 30}})
	lend := func(now time.Time, uses ...Usage) {
		for _, id := range cfg.Seats {
			echo := stamp(start, now)
			o.report(now, state.Member{ID: id, Incarnation: 1}, 1, Report{Stamp: echo, Echo: echo, To: 1, Lent: ^uint64(0), Usages: uses})
		}
	}
	lend(start.Add(time.Second), Usage{Service: "s", Customer: "c", Need: 1})
	lend(start.Add(20 * time.Second))
	s := &o.shards[key.shard(cfg.Shards)]
	b := s.buckets[key]
	b.settle(start.Add(20*time.Second), s.seats(start.Add(20*time.Second), 0), &cfg)
	if b.level > 3 {
		t.Fatalf("%v tokens after 2 s of seats in 20 s", b.level)
	}
}
