package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// minStandstill is how much later than planned a daemon has to run to count as having stood
// still.
const minStandstill = 500 * time.Millisecond

// catchUpShare is how long after a standstill the requests are read that callers sent meanwhile, as
// a share of its length.
const catchUpShare = 0.5

// runClock finds out when the daemon did not run: its process was stopped, or got no processor.
type runClock struct {
	mu       sync.Mutex
	lastRun  time.Time     // when the control goroutine last ran
	interval time.Duration // within which it is to run again; 0 before it runs
	// stoodSince and caughtUp are when the last standstill began, and until when the requests are
	// read that callers sent in it.
	stoodSince, caughtUp time.Time
}

// expect states that the control goroutine runs now, and again at a time at the latest.
func (r *runClock) expect(now, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRun, r.interval = now, next.Sub(now)
}

// observe reports for how long the daemon has stood still until now, 0 if it has not. It reports
// each time once.
func (r *runClock) observe(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The monotonic clock does not count the time that an instance was suspended.
	stood := max(now.Sub(r.lastRun), now.Round(0).Sub(r.lastRun.Round(0)))
	if r.interval == 0 || stood < r.interval+minStandstill {
		return 0
	}
	r.stoodSince, r.caughtUp = now.Add(-stood), now.Add(max(time.Duration(catchUpShare*float64(stood)), minStandstill))
	r.lastRun = now
	return stood
}

// sentSince returns the earliest time at which a caller may have sent a request that is read now.
//
// Guard (requests-read-late): requests earn retries for one window. A daemon that stood still reads
// those of the whole standstill at once.
func (r *runClock) sentSince(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.caughtUp) {
		return r.stoodSince
	}
	return now
}

// observeRunning is called with the current time whenever the daemon does something.
func (g *Gateway) observeRunning(now time.Time) {
	if stood := g.running.observe(now); stood > 0 {
		g.log.Emit(telemetry.EventStoodStill, telemetry.Duration(stood))
	}
}
