// Package registry keeps the records of other daemons' requests for a while, so
// that a caller whose daemon died finds its answer again.
//
// The records are soft state: one that is lost costs the caller a new request
// under its idempotency key, never a second execution. Memory is bounded by the
// number of records and by their age.
package registry

import (
	"container/list"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config bounds a Registry.
type Config struct {
	MaxRecords int           // the oldest is dropped beyond it
	MaxBytes   int           // of all records together, by the caller's measure
	TTL        time.Duration // since the last Put of the request
}

// DefaultConfig returns the bounds used by a daemon: one of 420 daemons at 11,000
// requests a second is registrar of 52 a second.
func DefaultConfig() Config {
	return Config{MaxRecords: 20_000, MaxBytes: 64 << 20, TTL: 2 * time.Minute}
}

// Registry holds values of type R by request. It belongs to one goroutine.
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

// Put stores a record of about size bytes, unless one with a higher epoch is
// held: the late word of an owner that was overtaken must not hide its
// successor.
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

// Len counts the records held.
func (r *Registry[R]) Len() int {
	return r.order.Len()
}

// trim drops what is too old or too much, the oldest first.
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
