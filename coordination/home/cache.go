package home

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxReplicasPerPrefix bounds the replicas remembered per prefix.
const maxReplicasPerPrefix = 4

// prefixCache estimates which replicas have which prompt prefixes cached. It is fed by
// grants and by cache events that arrive late and with gaps, so it may be wrong either
// way. choose.go bounds the cost of a wrong estimate.
type prefixCache struct {
	entries *lru.Cache[uint64, []cacheEntry]
	ttl     time.Duration
}

// cacheEntry records that a replica has a prefix cached.
type cacheEntry struct {
	replica  state.ReplicaID
	lastSeen time.Time
}

func newPrefixCache(size int, ttl time.Duration) *prefixCache {
	entries, err := lru.New[uint64, []cacheEntry](size)
	if err != nil {
		panic("home: " + err.Error()) // cannot happen: withDefaults makes the size positive
	}
	return &prefixCache{entries: entries, ttl: ttl}
}

// insert records that the replica has the prefix.
func (c *prefixCache) insert(now time.Time, prefix uint64, id state.ReplicaID) {
	cached, _ := c.entries.Get(prefix)
	oldest := 0
	for i := range cached {
		if cached[i].replica == id {
			cached[i].lastSeen = now
			return
		}
		if cached[i].lastSeen.Before(cached[oldest].lastSeen) {
			oldest = i
		}
	}
	if len(cached) == maxReplicasPerPrefix {
		cached[oldest] = cacheEntry{replica: id, lastSeen: now}
		return
	}
	c.entries.Add(prefix, append(cached, cacheEntry{replica: id, lastSeen: now}))
}

// evict records that the replica dropped the prefix.
func (c *prefixCache) evict(prefix uint64, id state.ReplicaID) {
	cached, _ := c.entries.Peek(prefix)
	kept := cached[:0]
	for _, entry := range cached {
		if entry.replica != id {
			kept = append(kept, entry)
		}
	}
	if len(kept) == 0 {
		c.entries.Remove(prefix)
		return
	}
	c.entries.Add(prefix, kept)
}

// evictReplica drops all entries of a replica: it restarted, or events are missing and
// evictions may be among them.
func (c *prefixCache) evictReplica(id state.ReplicaID) {
	for _, prefix := range c.entries.Keys() {
		c.evict(prefix, id)
	}
}

// replicasOf returns the entries of the prefix, some of which may be older than the
// TTL.
func (c *prefixCache) replicasOf(prefix uint64) []cacheEntry {
	cached, _ := c.entries.Get(prefix)
	return cached
}

// fresh reports whether the entry is recent enough to be used.
func (c *prefixCache) fresh(now time.Time, entry cacheEntry) bool {
	return now.Sub(entry.lastSeen) <= c.ttl
}
