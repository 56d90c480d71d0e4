package limit

import (
	"slices"
	"sort"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// roundOff forgives the rounding of float64 sums when whole tokens are taken.
const roundOff = 1e-9

// bucket is an owner's account of one key: what it may still give out, and what
// holders may still spend. level+outstanding never exceeds the burst of the
// owner's seats, so that nothing is minted for tokens that are out unspent.
type bucket struct {
	limit       Limit
	level       float64
	outstanding int
	settled     time.Time
	seats       int
	batches     []batch // by id, which is also by deadline
}

// batch is tokens given to one holder.
type batch struct {
	id       uint64
	holder   state.Member
	size     uint32
	spent    uint32
	closed   bool
	deadline time.Time // on the owner's clock: nobody can spend it from here on
}

// rest counts the tokens that the holder may still spend.
func (b *batch) rest() int {
	if b.closed {
		return 0
	}
	return int(b.size - b.spent)
}

// settle brings the account to now, when the owner has seats of total seats.
//
// A batch that ran out unreported is taken as spent: its holder may have spent
// it up to its deadline. Minting goes piecewise from deadline to deadline, since
// tokens minted while the burst was out in batches would come on top of it.
func (b *bucket) settle(now time.Time, seats int, cfg *Config) {
	done := 0
	for done < len(b.batches) && !b.batches[done].deadline.After(now) {
		b.mint(b.batches[done].deadline, seats, cfg)
		b.outstanding -= b.batches[done].rest()
		done++
	}
	b.batches = slices.Delete(b.batches, 0, done)
	b.mint(now, seats, cfg)
	b.seats = seats
}

// mint adds what the time since the last settling allows with seats: those left
// now, since a loss may go unnoticed, while each gain is settled before it
// counts. The clock may be fast, so the rate is lowered by the drift.
func (b *bucket) mint(now time.Time, seats int, cfg *Config) {
	burst, rate := b.limit.share(seats, cfg.Total)
	if d := now.Sub(b.settled); d > 0 {
		b.level += rate * (1 - cfg.MaxClockDrift) * d.Seconds()
		b.settled = now
	}
	b.level = max(0, min(b.level, float64(burst-b.outstanding)))
}

// give takes tokens for a holder: all of need if they are there, and for spare
// at most half of what is left, so that one holder's forecast does not empty
// the bucket for others' waiting requests. The account is settled.
func (b *bucket) give(need, spare int, cfg *Config) int {
	burst, _ := b.limit.share(b.seats, cfg.Total)
	there := int(min(b.level, float64(burst-b.outstanding)) + roundOff)
	there = max(0, there)
	n := min(need, there)
	n += min(spare, (there-n)/2)
	b.level = max(0, b.level-float64(n))
	b.outstanding += n
	return n
}

// used applies a holder's report on one batch. The account is settled.
func (b *bucket) used(holder state.Member, u BatchUsage) {
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
	b.level += float64(bt.rest())
	b.outstanding -= bt.rest()
	bt.closed = true
}

// wait estimates when the next token is minted.
func (b *bucket) wait(cfg *Config) time.Duration {
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

// The bounds of Share.WaitMillis: the lower keeps holders of a used-up limit
// from asking for each refused request.
const (
	minWaitHint = 25 * time.Millisecond
	maxWaitHint = 10 * time.Second
)

// full reports whether a new bucket would be no different.
func (b *bucket) full(cfg *Config) bool {
	burst, _ := b.limit.share(b.seats, cfg.Total)
	return len(b.batches) == 0 && b.level >= float64(burst)-roundOff
}
