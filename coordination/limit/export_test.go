package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Counts reports, by seat, whether m as owner counts it for the key's shard.
func (m *Limiter) Counts(now time.Time, key Key) []bool {
	var counts []bool
	for _, until := range m.owner.shards[key.shard(m.cfg.Shards)].lent {
		counts = append(counts, until.After(now))
	}
	return counts
}

// Account brings a copy of m's account of key to now and returns what it may
// still give, the burst of the seats counted, and what holders may still spend.
func (m *Limiter) Account(now time.Time, key Key) (level float64, burst int, out map[state.Member]int) {
	s := &m.owner.shards[key.shard(m.cfg.Shards)]
	out = make(map[state.Member]int)
	held := s.buckets[key]
	if held == nil {
		return 0, 0, out
	}
	b := *held
	b.batches = slices.Clone(held.batches)
	b.settle(now, s.seats(now, m.cfg.outlast(m.cfg.BatchTTL)), &m.cfg)
	for i := range b.batches {
		out[b.batches[i].holder] += b.batches[i].rest()
	}
	burst, _ = b.limit.share(s.seats(now, 0), m.cfg.Total)
	return b.level, burst, out
}

// SpendableOf is Spendable of the batches that one owner gave.
func (m *Limiter) SpendableOf(now time.Time, key Key, owner state.Member) int {
	n := 0
	if e := m.entries[key]; e != nil {
		for i := range e.held {
			if e.held[i].owner == owner {
				n += e.held[i].rest(now)
			}
		}
	}
	return n
}
