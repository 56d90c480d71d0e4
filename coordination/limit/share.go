package limit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Key names what one limit is for.
type Key struct {
	Service  state.ServiceID
	Customer state.CustomerID
}

// Limit is requests a second, with a burst of at least one request.
type Limit struct {
	PerSecond float64
	Burst     int
}

// shard returns the number of the key's shard, below shards.
func (k Key) shard(shards int) int {
	h := xxhash.Sum64String(string(k.Service)) * 31
	h += xxhash.Sum64String(string(k.Customer))
	return int((h ^ h>>32) % uint64(shards))
}

// share returns the part of l that an owner with seats of total seats may give
// out: whole tokens at one time, and tokens a second.
//
// Whatever disjoint sets of seats the owners of one key have, the bursts sum to
// at most l.Burst and the rates to at most l.PerSecond: an owner without a
// majority takes its proportion, rounded down; the one owner that can have a
// majority takes what the others, together at best one owner, can't. Rounding
// that way lets a limit with a burst of one token work at all: no owner has
// nine ninths of a token while one seat of nine is lost.
func (l Limit) share(seats, total int) (burst int, perSecond float64) {
	whole := max(1, l.Burst)
	part := l.PerSecond * float64(seats) / float64(total)
	if 2*seats <= total {
		burst = whole * seats / total
		if burst == 0 {
			return 0, 0
		}
		return burst, part
	}
	others := whole * (total - seats) / total
	if others == 0 {
		return whole, l.PerSecond
	}
	return whole - others, part
}
