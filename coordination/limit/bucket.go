package limit

import (
	"slices"
	"sort"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// roundingTolerance compensates for float64 rounding errors when whole tokens are
// taken.
const roundingTolerance = 1e-9

// bucket is an owner's token bucket for one key: level is what it may still give
// out, outstanding what holders may still spend. level+outstanding never exceeds
// the burst of the owner's seats, so outstanding tokens are not refilled.
type bucket struct {
	limit       Limit
	level       float64
	outstanding int
	settledAt   time.Time // the time of level and outstanding
	seats       int
	batches     []batch // sorted by id and thereby by deadline
}

// batch is a number of tokens given to one holder.
type batch struct {
	id       uint64
	holder   state.Member
	size     uint32
	spent    uint32
	closed   bool
	deadline time.Time // on the owner's clock: nobody can spend the batch from then on
}

// remaining returns the number of tokens that the holder may still spend.
func (b *batch) remaining() int {
	if b.closed {
		return 0
	}
	return int(b.size - b.spent)
}

// advanceTo advances the bucket to now, with seats of cfg.Total seats.
//
// A batch that has expired without a report counts as spent: its holder may have
// spent it up to its deadline. The bucket is refilled separately up to each
// deadline, because no tokens may be added for the time when the entire burst was
// outstanding in batches.
func (b *bucket) advanceTo(now time.Time, seats int, cfg *Config) {
	done := 0
	for done < len(b.batches) && !b.batches[done].deadline.After(now) {
		b.refill(b.batches[done].deadline, seats, cfg)
		b.outstanding -= b.batches[done].remaining()
		done++
	}
	b.batches = slices.Delete(b.batches, 0, done)
	b.refill(now, seats, cfg)
	b.seats = seats
}

// refill adds the tokens for the time since settledAt. It uses the present number
// of seats: a loss of seats may go unnoticed, whereas the bucket is advanced before
// each gain. The rate is reduced by the drift because the clock may be fast.
func (b *bucket) refill(now time.Time, seats int, cfg *Config) {
	burst, rate := b.limit.share(seats, cfg.Total)
	if d := now.Sub(b.settledAt); d > 0 {
		b.level += rate * (1 - cfg.MaxClockDrift) * d.Seconds()
		b.settledAt = now
	}
	b.level = max(0, min(b.level, float64(burst-b.outstanding)))
}

// take takes tokens for a holder: all of need if they are available, and for
// prefetch at most half of the remaining ones, so that one holder's forecast does
// not empty the bucket for the waiting requests of others. The bucket must have
// been advanced to the present time.
func (b *bucket) take(need, prefetch int, cfg *Config) int {
	burst, _ := b.limit.share(b.seats, cfg.Total)
	available := int(min(b.level, float64(burst-b.outstanding)) + roundingTolerance)
	available = max(0, available)
	n := min(need, available)
	n += min(prefetch, (available-n)/2)
	b.level = max(0, b.level-float64(n))
	b.outstanding += n
	return n
}

// applyUsage applies a holder's report on one batch. The bucket must have been
// advanced to the present time.
func (b *bucket) applyUsage(holder state.Member, u BatchUsage) {
	i := sort.Search(len(b.batches), func(i int) bool {
		return b.batches[i].id >= u.ID
	})
	if i == len(b.batches) || b.batches[i].id != u.ID {
		return
	}
	bt := &b.batches[i]
	if bt.holder != holder || bt.closed || u.Spent > bt.size || u.Spent < bt.spent {
		return
	}
	b.outstanding -= int(u.Spent - bt.spent)
	bt.spent = u.Spent
	if !u.Closed {
		return
	}
	b.level += float64(bt.remaining())
	b.outstanding -= bt.remaining()
	bt.closed = true
}

// nextTokenIn estimates the time until the next token is available.
func (b *bucket) nextTokenIn(cfg *Config) time.Duration {
	_, rate := b.limit.share(b.seats, cfg.Total)
	if rate <= 0 {
		return maxWaitHint
	}
	missing := 1 - (b.level - float64(int(b.level)))
	seconds := missing / rate
	if seconds > maxWaitHint.Seconds() {
		return maxWaitHint
	}
	return max(minWaitHint, time.Duration(seconds*float64(time.Second)))
}

// The bounds of Allocation.WaitMillis. The lower bound keeps holders from sending
// a report for each refused request while the limit is exhausted.
const (
	minWaitHint = 25 * time.Millisecond
	maxWaitHint = 10 * time.Second
)

// full reports whether the bucket is equivalent to a new one.
func (b *bucket) full(cfg *Config) bool {
	burst, _ := b.limit.share(b.seats, cfg.Total)
	return len(b.batches) == 0 && b.level >= float64(burst)-roundingTolerance
}
