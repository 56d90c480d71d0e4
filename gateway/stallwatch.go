package gateway

import (
	"sync/atomic"
	"time"
)

// stallWatch tells for how long a silent stream has been checked on time. Silence that includes a
// pause of this daemon says nothing about the stream. Times are since the start of the daemon.
type stallWatch struct {
	since atomic.Int64 // since when checks have been on time, in ns
	due   atomic.Int64 // when the next check is due, in ns
}

// begin starts to watch.
func (w *stallWatch) begin(now time.Duration) { w.since.Store(int64(now)) }

// schedule records when the next check is due.
func (w *stallWatch) schedule(due time.Duration) { w.due.Store(int64(due)) }

// checked records a check. One that is later than tolerance ends the time that was watched.
func (w *stallWatch) checked(now, tolerance time.Duration) {
	if now-time.Duration(w.due.Load()) > tolerance {
		w.since.Store(int64(now))
	}
}

// watchedFor returns for how long checks have been on time.
func (w *stallWatch) watchedFor(now time.Duration) time.Duration {
	return now - time.Duration(w.since.Load())
}
