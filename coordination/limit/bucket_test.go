package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// A bucket that is advanced rarely must not add more tokens than one advanced each
// millisecond, whatever is taken, reported and expires in between.
func TestRareSettlingMintsNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Total: 9, MaxClockDrift: 0.01, BatchTTL: 800 * time.Millisecond}
		l := Limit{PerSecond: 20, Burst: 12}
		now := time.Unix(1000, 0)
		rare := &bucket{limit: l, settledAt: now, seats: 9}
		often := &bucket{limit: l, settledAt: now, seats: 9}
		seats := 9
		holder := state.Member{ID: "h"}
		var id uint64
		for range rapid.IntRange(1, 30).Draw(t, "ops") {
			for range rapid.IntRange(0, 1000).Draw(t, "ms") {
				now = now.Add(time.Millisecond)
				often.advanceTo(now, seats, &cfg)
			}
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				rare.advanceTo(now, seats, &cfg)
				n := rare.take(rapid.IntRange(1, 12).Draw(t, "need"), 0, &cfg)
				if got := often.take(n, 0, &cfg); got != n {
					t.Fatalf("the rarely advanced bucket gave %d tokens, the reference %d", n, got)
				}
				id++
				b := batch{id: id, holder: holder, size: uint32(n), deadline: now.Add(cfg.BatchTTL)}
				rare.batches = append(rare.batches, b)
				often.batches = append(often.batches, b)
			case 1:
				rare.advanceTo(now, seats, &cfg)
				u := BatchUsage{ID: rapid.Uint64Range(0, id).Draw(t, "id"), Spent: 1, Closed: rapid.Bool().Draw(t, "closed")}
				rare.applyUsage(holder, u)
				often.applyUsage(holder, u)
			case 2:
				// A loss of seats is not noticed. Gains are not tested here: before
				// a gain the bucket is always advanced.
				seats = rapid.IntRange(0, seats).Draw(t, "seats")
			}
			check := *rare
			check.batches = append([]batch(nil), rare.batches...)
			check.advanceTo(now, seats, &cfg)
			if check.level > often.level+1e-6 {
				t.Fatalf("level %v, reference %v", check.level, often.level)
			}
		}
	})
}

// No tokens must be added for the time when a seat was not lent to the owner.
func TestRegainedSeatsMintNothingForTheirAbsence(t *testing.T) {
	cfg := Config{Self: state.Member{ID: "a", Incarnation: 1}, Seats: []state.DaemonID{"a", "b", "c"}}.withDefaults()
	key := Key{Service: "s", Customer: "c"}
	start := time.Unix(1000, 0)
	o := newOwner(&cfg, start, map[Key]Limit{key: {PerSecond: 1, Burst: 30}})
	lend := func(now time.Time, uses ...Usage) {
		for _, id := range cfg.Seats {
			echo := stamp(start, now)
			o.handleReport(now, state.Member{ID: id, Incarnation: 1}, 1, Report{Stamp: echo, Echo: echo, To: 1, Lent: ^uint64(0), Usages: uses})
		}
	}
	lend(start.Add(time.Second), Usage{Service: "s", Customer: "c", Need: 1})
	lend(start.Add(20 * time.Second))
	s := &o.shards[key.shard(cfg.Shards)]
	b := s.buckets[key]
	b.advanceTo(start.Add(20*time.Second), s.seats(start.Add(20*time.Second), 0), &cfg)
	if b.level > 3 {
		t.Fatalf("%v tokens after seats were lent for 2 s of 20 s", b.level)
	}
}
