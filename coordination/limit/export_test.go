package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Counts reports for each seat whether m, as owner, counts it for the key's shard.
func (m *Limiter) Counts(now time.Time, key Key) []bool {
	var counts []bool
	for _, until := range m.owner.shards[key.shard(m.cfg.Shards)].loanExpiry {
		counts = append(counts, until.After(now))
	}
	return counts
}

// Account advances a copy of m's bucket of key to now. It returns the tokens that
// m may still give out, the burst of the seats that it counts, and the tokens that
// holders may still spend.
func (m *Limiter) Account(now time.Time, key Key) (level float64, burst int, outstanding map[state.Member]int) {
	s := &m.owner.shards[key.shard(m.cfg.Shards)]
	outstanding = make(map[state.Member]int)
	original := s.buckets[key]
	if original == nil {
		return 0, 0, outstanding
	}
	b := *original
	b.batches = slices.Clone(original.batches)
	b.advanceTo(now, s.seats(now, m.cfg.addClockDrift(m.cfg.BatchTTL)), &m.cfg)
	for i := range b.batches {
		outstanding[b.batches[i].holder] += b.batches[i].remaining()
	}
	burst, _ = b.limit.share(s.seats(now, 0), m.cfg.Total)
	return b.level, burst, outstanding
}

// SpendableOf is Spendable for the batches of one owner.
func (m *Limiter) SpendableOf(now time.Time, key Key, owner state.Member) int {
	n := 0
	if e := m.entries[key]; e != nil {
		for i := range e.held {
			if e.held[i].owner == owner {
				n += e.held[i].remaining(now)
			}
		}
	}
	return n
}
