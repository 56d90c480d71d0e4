package standin

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
)

// maxCacheEvents limits the cache events that an engine retains.
const maxCacheEvents = 4096

// prefixCache holds the most recently used prompt blocks.
type prefixCache struct {
	blocks *lru.Cache[uint64, struct{}]
	lag    time.Duration
	gap    int
	seq    uint64
	events []cacheEvent
	now    time.Time // time of the current lookup, for the eviction callback
}

type cacheEvent struct {
	engine.CacheEvent
	publishAt time.Time // time of publication
}

func newPrefixCache(blocks int, lag time.Duration, gap int) *prefixCache {
	c := &prefixCache{lag: lag, gap: gap}
	cache, err := lru.NewWithEvict(blocks, func(prefix uint64, _ struct{}) { c.emit(prefix, true) })
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.blocks = cache
	return c
}

// lookUp looks up the blocks of a prompt, adds the missing ones and returns their
// number.
func (c *prefixCache) lookUp(prefixes []uint64, now time.Time) int {
	c.now = now
	missing := 0
	for _, p := range prefixes {
		if _, ok := c.blocks.Get(p); ok {
			continue
		}
		missing++
		c.blocks.Add(p, struct{}{})
		c.emit(p, false)
	}
	return missing
}

func (c *prefixCache) emit(prefix uint64, evicted bool) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	ev := engine.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, cacheEvent{ev, c.now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// published returns the events after seq that have been published by now.
func (c *prefixCache) published(seq uint64, now time.Time) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, ev := range c.events {
		if ev.Seq > seq && !ev.publishAt.After(now) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

// samplesPerLag is the number of load samples per lag, which sets the resolution of a
// lagging load report.
const samplesPerLag = 16

// loadReport reports the load as it was one lag ago.
type loadReport struct {
	lag     time.Duration
	samples []loadSample // oldest first
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

func newLoadReport(lag time.Duration) *loadReport {
	return &loadReport{lag: lag, samples: []loadSample{{}}}
}

func (r *loadReport) record(now time.Time, load engine.Load) {
	last := &r.samples[len(r.samples)-1]
	if now.Sub(last.at) < r.lag/samplesPerLag || r.lag == 0 {
		last.load = load
		return
	}
	r.samples = append(r.samples, loadSample{now, load})
	for len(r.samples) > 2 && now.Sub(r.samples[1].at) > r.lag {
		r.samples = r.samples[1:]
	}
}

func (r *loadReport) reported(now time.Time) engine.Load {
	load := r.samples[0].load
	for _, s := range r.samples {
		if now.Sub(s.at) < r.lag {
			break
		}
		load = s.load
	}
	return load
}
