package limit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Key identifies the service and the customer of a limit.
type Key struct {
	Service  state.ServiceID
	Customer state.CustomerID
}

// Limit is a rate in requests per second, with a burst of at least one request.
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
// out: the burst in whole tokens and the rate in tokens per second.
//
// Whatever disjoint sets of seats the owners of one key have, the bursts sum to at
// most l.Burst and the rates to at most l.PerSecond. An owner without a majority
// gets its proportion, rounded down. The one owner that can have a majority gets
// the rest, computed as if all other seats belonged to a single owner. Without
// this rounding a limit with a burst of one token would not work at all while one
// of nine seats is lost: no owner would have nine ninths of a token.
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
