package retrybudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// sliceCount is the number of slices that a window is divided into. Retries in the
// oldest slice count in full and requests in it not at all, so the bound holds for
// every interval of one window.
const sliceCount = 10

// restartReserve is the part of the slack kept for daemons that have just restarted. A
// daemon that stops loses its count of spent retries, and its successor would spend the
// same part again within the same window: when all daemons lost power at once, 425
// retries were sent where 372 were allowed.
const restartReserve = 0.35

// SlackShare tells which part of the slack a daemon may spend.
type SlackShare struct {
	Daemons int // 0 if unknown
	// Restarted is set for a daemon that started within the last window along with many
	// others. If only a few restarted, the parts that they spend twice are covered by
	// the reserve.
	Restarted bool
}

// RestartedFraction is the fraction of daemons above which restarts count as many. At a
// quarter, the running daemons' 0.65 of the slack plus a quarter of that spent again is
// 0.81 of it.
const RestartedFraction = 0.25

// Config is the retry allowance of the site.
type Config struct {
	Ratio  float64       // retries per request
	Window time.Duration // interval over which both are counted
	Slack  float64       // retries of all daemons together beyond Ratio
}

// Budget counts one daemon's requests and retries. It is not safe for concurrent use.
type Budget struct {
	cfg      Config
	start    time.Time // origin of slice numbers; must be a monotonic reading, since wall time may jump
	services map[state.ServiceID]*window
}

// window counts requests and retries per slice of Config.Window.
type window struct {
	slice    int64 // number of the newest slice
	requests [sliceCount + 1]int
	retries  [sliceCount + 1]int
}

// New returns an empty budget. Times before start count as start.
func New(cfg Config, start time.Time) *Budget {
	return &Budget{cfg: cfg, start: start, services: make(map[state.ServiceID]*window)}
}

// Configure replaces the allowance. Counts are kept unless the window length changes.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time, svc state.ServiceID) {
	w := b.window(now, svc)
	w.requests[w.slice%int64(len(w.requests))]++
}

// Spend takes one retry from the budget of a service and reports whether there was one
// left.
func (b *Budget) Spend(now time.Time, svc state.ServiceID, by SlackShare) bool {
	if b.Left(now, svc, by) < 1 {
		return false
	}
	w := b.window(now, svc)
	w.retries[w.slice%int64(len(w.retries))]++
	return true
}

// Left returns how many retries Spend would still grant now. There is no slack while
// the number of daemons that share it is unknown.
func (b *Budget) Left(now time.Time, svc state.ServiceID, by SlackShare) int {
	w := b.window(now, svc)
	requests, retries := 0, 0
	oldest := (w.slice + 1) % int64(len(w.requests))
	for i := range w.requests {
		retries += w.retries[i]
		if int64(i) != oldest {
			requests += w.requests[i]
		}
	}
	allowed := b.cfg.Ratio * float64(requests)
	if by.Daemons > 0 {
		allowed += b.cfg.Slack * by.fraction() / float64(by.Daemons)
	}
	return max(0, int(allowed)-retries)
}

// fraction returns the part of the slack that all daemons in the same state as this one
// may spend together.
func (s SlackShare) fraction() float64 {
	if s.Restarted {
		return restartReserve
	}
	return 1 - restartReserve
}

// window returns a service's counts, with the slices that have expired cleared.
func (b *Budget) window(now time.Time, svc state.ServiceID) *window {
	w, ok := b.services[svc]
	length := max(b.cfg.Window/sliceCount, time.Millisecond)
	slice := max(int64(now.Sub(b.start)/length), 0)
	if !ok {
		w = &window{slice: slice}
		b.services[svc] = w
		return w
	}
	for n := 0; w.slice < slice && n < len(w.requests); n++ {
		w.slice++
		i := w.slice % int64(len(w.requests))
		w.requests[i], w.retries[i] = 0, 0
	}
	w.slice = max(w.slice, slice)
	return w
}
