package retrybudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// slices is how many parts a window is counted in. The oldest part counts whole
// for retries and not at all for requests, so that the bound holds for every span.
const slices = 10

// reserve is the part of the slack that is not handed out: daemons that stop take
// what they have spent with them, and a replacement starts with a full part.
const reserve = 0.35

// Config is what the site allows.
type Config struct {
	Ratio  float64       // retries for each request
	Window time.Duration // over which both are counted
	Slack  float64       // retries of all daemons beyond Ratio
}

// Budget counts one daemon's requests and retries. It is not safe for use by
// several goroutines.
type Budget struct {
	cfg      Config
	start    time.Time // zero of the slices; the time of day may jump, this may not
	services map[state.ServiceID]*window
}

// window counts in slices of Config.Window.
type window struct {
	slice    int64 // number of the newest slice
	requests [slices + 1]int
	retries  [slices + 1]int
}

// New returns an empty budget. Times before start count as start.
func New(cfg Config, start time.Time) *Budget {
	return &Budget{cfg: cfg, start: start, services: make(map[state.ServiceID]*window)}
}

// Configure puts another allowance into force. Counts are kept, unless they are by
// another window.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time, svc state.ServiceID) {
	w := b.window(now, svc)
	w.requests[w.slice%int64(len(w.requests))]++
}

// Spend takes one retry from the budget of a service, if there is one left. members
// is how many daemons share the slack.
func (b *Budget) Spend(now time.Time, svc state.ServiceID, members int) bool {
	if b.Left(now, svc, members) < 1 {
		return false
	}
	w := b.window(now, svc)
	w.retries[w.slice%int64(len(w.retries))]++
	return true
}

// Left is how many retries Spend would still give now.
func (b *Budget) Left(now time.Time, svc state.ServiceID, members int) int {
	w := b.window(now, svc)
	requests, retries := 0, 0
	oldest := (w.slice + 1) % int64(len(w.requests))
	for i := range w.requests {
		retries += w.retries[i]
		if int64(i) != oldest {
			requests += w.requests[i]
		}
	}
	allowed := b.cfg.Ratio*float64(requests) + b.cfg.Slack*(1-reserve)/float64(max(members, 1))
	return max(0, int(allowed)-retries)
}

// window returns a service's counts with the slices that have passed cleared.
func (b *Budget) window(now time.Time, svc state.ServiceID) *window {
	w, ok := b.services[svc]
	length := max(b.cfg.Window/slices, time.Millisecond)
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
