package home

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// holdersPerPrefix bounds the replicas remembered for one prefix.
const holdersPerPrefix = 4

// prefixCache is the belief of which replicas hold which prompt prefixes. It
// is fed by grants and by cache events that come late and with gaps, so it may
// be wrong either way; see choose.go for what a wrong belief may cost.
type prefixCache struct {
	entries *lru.Cache[uint64, []cached]
	memory  time.Duration
}

// cached is one replica's claim to a prefix.
type cached struct {
	replica state.ReplicaID
	seen    time.Time
}

func newPrefixCache(size int, memory time.Duration) *prefixCache {
	entries, err := lru.New[uint64, []cached](size)
	if err != nil {
		panic("home: " + err.Error()) // the size is positive by withDefaults
	}
	return &prefixCache{entries: entries, memory: memory}
}

// insert notes that the replica holds the prefix.
func (c *prefixCache) insert(now time.Time, prefix uint64, id state.ReplicaID) {
	claims, _ := c.entries.Get(prefix)
	oldest := 0
	for i := range claims {
		if claims[i].replica == id {
			claims[i].seen = now
			return
		}
		if claims[i].seen.Before(claims[oldest].seen) {
			oldest = i
		}
	}
	if len(claims) == holdersPerPrefix {
		claims[oldest] = cached{replica: id, seen: now}
		return
	}
	c.entries.Add(prefix, append(claims, cached{replica: id, seen: now}))
}

// evict notes that the replica dropped the prefix.
func (c *prefixCache) evict(prefix uint64, id state.ReplicaID) {
	claims, _ := c.entries.Peek(prefix)
	kept := claims[:0]
	for _, claim := range claims {
		if claim.replica != id {
			kept = append(kept, claim)
		}
	}
	if len(kept) == 0 {
		c.entries.Remove(prefix)
		return
	}
	c.entries.Add(prefix, kept)
}

// forget drops all claims of a replica: it restarted, or events are missing
// and evictions may be among them.
func (c *prefixCache) forget(id state.ReplicaID) {
	for _, prefix := range c.entries.Keys() {
		c.evict(prefix, id)
	}
}

// claims returns the believed holders of the prefix, some of them perhaps
// older than the memory.
func (c *prefixCache) claims(prefix uint64) []cached {
	claims, _ := c.entries.Get(prefix)
	return claims
}

// fresh reports whether the claim is recent enough to act on.
func (c *prefixCache) fresh(now time.Time, claim cached) bool {
	return now.Sub(claim.seen) <= c.memory
}
