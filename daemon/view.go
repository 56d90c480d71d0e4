package daemon

import (
	"maps"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// view is the control state as traffic goroutines see it. It is immutable; the
// control goroutine publishes a new one at each change.
type view struct {
	documents  map[state.ServiceID]*service.Versioned
	members    *membership.View
	ready      bool // the documents have been current at least once
	isolated   bool
	draining   bool
	freshUntil time.Time
}

// publish replaces the view by a changed copy. Only the control goroutine calls
// it.
func (d *Daemon) publish(change func(*view)) {
	next := *d.view()
	change(&next)
	d.current.Store(&next)
}

func (d *Daemon) view() *view {
	return d.current.Load()
}

// copyWith returns a copy of m with one entry set.
func copyWith[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[K]V)
	}
	next[k] = v
	return next
}

// refusalReason returns why this daemon currently accepts no new requests, or
// "". The freshness of the documents is compared with the clock here, so that a
// daemon that was paused refuses requests before its control goroutine has
// noticed the pause.
func (v *view) refusalReason(now time.Time) state.Reason {
	switch {
	case v.draining:
		return state.ReasonDraining
	case v.isolated || !v.ready || now.After(v.freshUntil):
		return state.ReasonIsolated
	}
	return ""
}
