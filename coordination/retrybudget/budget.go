package retrybudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// slices is how many parts a window is counted in. The oldest part counts whole
// for retries and not at all for requests, so that the bound holds for every span.
const slices = 10

// reserve is the part of the slack that is kept for daemons that start anew. One that
// stops takes what it has spent with it, and its successor would spend the same part
// again within the same window: where all lose power at once, 425 retries were sent
// of 372 allowed.
const reserve = 0.35

// Sharers are the daemons that share the slack.
type SlackShare struct {
	Daemons int // 0 where that is not known
	// Anew is set for a daemon that started within the last window, as many others
	// did. Where few did, their parts spent twice are within the reserve.
	Restarted bool
}

// AnewShare is the part of the daemons from which on they are many: 0.65 of the slack
// and a quarter of that are 0.81 of it.
const RestartedFraction = 0.25

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

// Spend takes one retry from the budget of a service, if there is one left.
func (b *Budget) Spend(now time.Time, svc state.ServiceID, by SlackShare) bool {
	if b.Left(now, svc, by) < 1 {
		return false
	}
	w := b.window(now, svc)
	w.retries[w.slice%int64(len(w.retries))]++
	return true
}

// Left is how many retries Spend would still give now. There is no slack where it is
// not known who shares it.
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
		allowed += b.cfg.Slack * by.share() / float64(by.Daemons)
	}
	return max(0, int(allowed)-retries)
}

// share is the part of the slack that all daemons like this one may spend together.
func (s SlackShare) share() float64 {
	if s.Restarted {
		return reserve
	}
	return 1 - reserve
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
