package retrybudget

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// sliceCount is the number of slices that a window is divided into. Retries in the oldest slice
// of an interval count in full and requests in it not at all, so the bound holds for every
// interval of one window.
const sliceCount = 10

// requestSlices is how many slices requests are kept for: the retries of an interval are also weighed
// against the requests of the one before it.
const requestSlices = 2*sliceCount + 1

const (
	// maxSliceGrowth is how many times as many requests count in one slice as came in the busiest
	// one of the last two windows.
	maxSliceGrowth = 2
	// minSliceLimit is how many count in a slice after two windows without requests.
	minSliceLimit = 15
)

// SlackShare tells which part of the slack a daemon may spend.
type SlackShare struct {
	Daemons int // 0 if unknown
	// Withheld is set while this daemon may spend no slack, since others may have spent all
	// of it within the last window.
	Withheld bool
}

// Config is the retry allowance of the site.
type Config struct {
	Ratio  float64       // retries per request
	Window time.Duration // interval over which both are counted
	Slack  float64       // retries of all daemons together beyond Ratio
}

// slice returns the length of a slice.
func (c Config) slice() time.Duration {
	return max(c.Window/sliceCount, time.Millisecond)
}

// Budget counts one daemon's requests and retries. It is not safe for concurrent use.
type Budget struct {
	cfg      Config
	start    time.Time // origin of slice numbers; must be a monotonic reading, since wall time may jump
	services map[state.ServiceID]*account
}

// account is what a daemon has used of one service's allowance.
type account struct {
	own       window
	inherited window // of the processes before this one
	// open is how many retries were spent and may still arrive at a server. Of these, leftBehind
	// are those that the processes before this one may have sent.
	open, leftBehind int
	reservations
}

// Grant is a retry that was spent and may still arrive at a server.
type Grant struct {
	account *account
}

// window counts requests and retries per slice of Config.Window.
type window struct {
	slice    int64 // number of the newest slice
	requests [requestSlices]int
	retries  [requestSlices]int
	arrived  [requestSlices]int // requests that came, counted or not
}

// New returns an empty budget. Times before start count as start.
func New(cfg Config, start time.Time) *Budget {
	return &Budget{cfg: cfg, start: start, services: make(map[state.ServiceID]*account)}
}

// Configure replaces the allowance. Counts are kept unless the window length changes.
func (b *Budget) Configure(cfg Config) {
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// Request counts a request of a caller, which may have been sent as early as sentSince. It earns
// retries for one window from then on. Requests that come at once in much larger numbers than
// usual are not counted.
//
// Guard (requests-delivered-late): a link, or a queue of connections, that delivers the requests of
// many seconds together would earn the retries for all of them in one window.
func (b *Budget) Request(now, sentSince time.Time, svc state.ServiceID) {
	a := b.account(now, svc)
	age := int(max(0, a.own.slice-b.sliceAt(sentSince)))
	a.own.arrived[a.own.index(0)]++
	if age == 0 && a.own.requests[a.own.index(0)] >= a.sliceLimit() {
		return
	}
	a.own.addRequests(age, 1)
}

// sliceLimit returns how many requests of the newest slice count. What came in the slice before it,
// and was not counted, may belong to the same delivery.
func (a *account) sliceLimit() int {
	busiest := a.requestsBetween(1, 1)
	for age := 2; age < requestSlices; age++ {
		i := a.own.index(age)
		busiest = max(busiest, a.own.arrived[i]+a.inherited.requests[i])
	}
	return max(minSliceLimit, maxSliceGrowth*busiest)
}

// Spend takes one retry from the budget of a service and reports whether there was one left that
// a written record covers. The retry is open until Settle or Refund.
func (b *Budget) Spend(now time.Time, svc state.ServiceID, by SlackShare) (Grant, bool) {
	if b.Left(now, svc, by) < 1 {
		return Grant{}, false
	}
	a := b.account(now, svc)
	if a.reserved() < 1 {
		a.needed = true
		return Grant{}, false
	}
	a.open++
	return Grant{account: a}, true
}

// Settle ends an open retry that can arrive at a server no more: it counts for one window from
// now on.
func (b *Budget) Settle(now time.Time, g Grant) {
	a := g.account
	b.advance(now, a)
	a.open--
	a.own.retries[a.own.index(0)]++
	a.each(func(r *reservation) { r.settled.retries[r.settled.index(0)]++ })
}

// Refund gives back an open retry that was not made.
func (b *Budget) Refund(g Grant) { g.account.open-- }

// Left returns how many retries the allowance still has now. There is no slack while the
// number of daemons that share it is unknown.
func (b *Budget) Left(now time.Time, svc state.ServiceID, by SlackShare) int {
	a := b.account(now, svc)
	slack := 0.0
	if by.Daemons > 0 && !by.Withheld {
		slack = b.cfg.Slack / float64(by.Daemons)
	}
	left, spent := math.MaxInt, a.open
	for age := range sliceCount + 1 {
		spent += a.own.retries[a.own.index(age)] + a.inherited.retries[a.inherited.index(age)]
		allowed := slack + b.cfg.Ratio*a.creditedSince(age)
		left = min(left, int(math.Floor(allowed))-spent)
	}
	return max(0, left)
}

// Use returns the requests of the last window and the retries that are open.
func (b *Budget) Use(now time.Time, svc state.ServiceID) (requests, open int) {
	a := b.account(now, svc)
	return a.requestsBetween(0, sliceCount-1), a.open
}

// creditedSince returns how many requests count for the retries of an interval of one window that
// begins in the slice of an age and may end now: the mean of those of the interval, of the one
// before it and of the one that begins half a window earlier. Slices that these may cut are left
// out. Requests that are yet to come may add to it, so that the retries may also stand if none come.
//
// Guard (repeats-of-moving-callers): the allowance is that of the sum of all daemons, by one of the
// three intervals. If each daemon took the one with most of its own requests, those of callers that
// move from daemon to daemon would count twice. The means of all daemons add up to that of the sum.
func (a *account) creditedSince(age int) float64 {
	within := a.requestsBetween(0, age-1)
	halfBefore := a.requestsBetween(max(0, age-sliceCount/2+1), age+sliceCount/2-1)
	before := a.requestsBetween(age+1, age+sliceCount-1)
	return float64(within+halfBefore+before) / 3
}

// requestsBetween returns the requests in the slices of some ages.
func (a *account) requestsBetween(newest, oldest int) int {
	n := 0
	for age := newest; age <= oldest; age++ {
		n += a.own.requests[a.own.index(age)] + a.inherited.requests[a.inherited.index(age)]
	}
	return n
}

// retriesInWindow returns the retries that count now.
func (w *window) retriesInWindow() int {
	n := 0
	for age := range sliceCount + 1 {
		n += w.retries[w.index(age)]
	}
	return n
}

// index returns the index of the slice that is the given number of slices old, below
// requestSlices.
func (w *window) index(age int) int {
	return int(((w.slice-int64(age))%requestSlices + requestSlices) % requestSlices)
}

// advance clears the slices that have expired when slice becomes the newest one.
func (w *window) advance(slice int64) {
	for n := 0; w.slice < slice && n < len(w.requests); n++ {
		w.slice++
		i := w.index(0)
		w.requests[i], w.retries[i], w.arrived[i] = 0, 0, 0
	}
	w.slice = max(w.slice, slice)
}

// account returns a service's account, without the slices that have expired.
func (b *Budget) account(now time.Time, svc state.ServiceID) *account {
	a, ok := b.services[svc]
	if !ok {
		slice := b.sliceAt(now)
		a = &account{own: window{slice: slice}, inherited: window{slice: slice}}
		b.services[svc] = a
		return a
	}
	b.advance(now, a)
	return a
}

// advance clears the slices of an account that have expired.
func (b *Budget) advance(now time.Time, a *account) {
	slice := b.sliceAt(now)
	a.own.advance(slice)
	a.inherited.advance(slice)
	a.each(func(r *reservation) { r.settled.advance(slice) })
}

// sliceAt returns the number of the slice of a time.
func (b *Budget) sliceAt(now time.Time) int64 {
	return max(int64(now.Sub(b.start)/b.cfg.slice()), 0)
}
