package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// minStandstill is how much later than planned a daemon has to run to count as having stood
// still.
const minStandstill = 500 * time.Millisecond

// runClock finds out when the daemon did not run: its process was stopped, or got no processor.
type runClock struct {
	mu       sync.Mutex
	lastRun  time.Time // when the control goroutine last ran
	expected time.Time // when it is to run again at the latest
}

// expect states that the control goroutine runs now, and again at a time at the latest.
func (r *runClock) expect(now, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRun, r.expected = now, next
}

// observe reports for how long the daemon has stood still until now, 0 if it has not. It reports
// each time once.
func (r *runClock) observe(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expected.IsZero() || now.Sub(r.expected) < minStandstill {
		return 0
	}
	stood := now.Sub(r.lastRun)
	r.lastRun, r.expected = now, now
	return stood
}

// observeRunning is called with the current time whenever the daemon does something.
func (g *Gateway) observeRunning(now time.Time) {
	if stood := g.running.observe(now); stood > 0 {
		g.log.Emit(telemetry.EventStoodStill, telemetry.Duration(stood))
	}
}
