// Package registry keeps copies of the records of other daemons' requests for a limited time, so
// that a caller whose daemon died can still get its answer.
//
// The records are soft state: losing one costs the caller a new request under its idempotency key,
// never a second execution. Memory is bounded by the number of records, their total size and their
// age.
package registry

import (
	"container/list"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config bounds a Registry.
type Config struct {
	MaxRecords int           // the oldest records are evicted beyond it
	MaxBytes   int           // total size of all records, as given to Put
	TTL        time.Duration // counted from the last Put of the request
}

// DefaultConfig returns the bounds that a daemon uses. With 420 daemons and 11,000 requests per
// second, each daemon is the registrar of about 52 requests per second.
func DefaultConfig() Config {
	return Config{MaxRecords: 20_000, MaxBytes: 64 << 20, TTL: 2 * time.Minute}
}

// Registry holds values of type R by request ID. It must be used by one goroutine only.
type Registry[R any] struct {
	cfg   Config
	byID  map[state.RequestID]*list.Element
	order *list.List // of *entry[R], oldest first
	bytes int
}

type entry[R any] struct {
	id     state.RequestID
	epoch  state.Epoch
	size   int
	at     time.Time
	record R
}

// New returns an empty registry.
func New[R any](cfg Config) *Registry[R] {
	return &Registry[R]{cfg: cfg, byID: make(map[state.RequestID]*list.Element), order: list.New()}
}

// Put stores a record of about size bytes. It does nothing if a record with a higher epoch is held:
// a late update from a superseded owner must not replace the record of its successor.
func (r *Registry[R]) Put(now time.Time, id state.RequestID, epoch state.Epoch, size int, record R) {
	if el, ok := r.byID[id]; ok {
		if el.Value.(*entry[R]).epoch > epoch {
			return
		}
		r.drop(el)
	}
	r.byID[id] = r.order.PushBack(&entry[R]{id: id, epoch: epoch, size: size, at: now, record: record})
	r.bytes += size
	r.trim(now)
}

// Get returns the record of a request.
func (r *Registry[R]) Get(now time.Time, id state.RequestID) (R, bool) {
	r.trim(now)
	if el, ok := r.byID[id]; ok {
		return el.Value.(*entry[R]).record, true
	}
	var none R
	return none, false
}

// Len returns the number of records held.
func (r *Registry[R]) Len() int {
	return r.order.Len()
}

// trim evicts records that are too old or exceed the bounds, oldest first.
func (r *Registry[R]) trim(now time.Time) {
	for el := r.order.Front(); el != nil; el = r.order.Front() {
		over := r.order.Len() > r.cfg.MaxRecords || r.bytes > r.cfg.MaxBytes
		if !over && now.Sub(el.Value.(*entry[R]).at) <= r.cfg.TTL {
			return
		}
		r.drop(el)
	}
}

func (r *Registry[R]) drop(el *list.Element) {
	e := el.Value.(*entry[R])
	r.order.Remove(el)
	delete(r.byID, e.id)
	r.bytes -= e.size
}
