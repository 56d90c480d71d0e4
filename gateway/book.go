package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// book is what traffic goroutines share. Each method holds its mutex for
// microseconds.
type book struct {
	mu       sync.Mutex
	loads    map[state.Life]*pathing.Load // own requests by server
	suspects *suspect.Tracker
	buried   map[string]bool // addresses of servers that answer no probe
	doubted  map[string]bool // addresses of servers whose refusal is looked into
	budget   *retrybudget.Budget
	streams  map[*stream]struct{}
	pipes    pipes
	waits    map[state.ServiceID]*waits
	crashes  *crashes.Tracker
	permits  *permits.Limiter
	states   []pathing.ServerState // of the roster's cards in a choice; kept for the next one
}

func newBook(set Settings) *book {
	return &book{
		loads:    make(map[state.Life]*pathing.Load),
		suspects: suspect.NewTracker(),
		buried:   make(map[string]bool),
		doubted:  make(map[string]bool),
		streams:  make(map[*stream]struct{}),
		pipes:    make(pipes),
		waits:    make(map[state.ServiceID]*waits),
		crashes:  crashes.NewTracker(),
		permits:  permits.New(),
		budget:   retrybudget.New(budgetConfig(set), time.Now()),
	}
}

func budgetConfig(set Settings) retrybudget.Config {
	return retrybudget.Config{Ratio: set.BudgetRatio, Window: set.BudgetWindow, Slack: set.BudgetSlack}
}

// rebudget puts changed settings of the retry budget into force.
func (b *book) rebudget(set Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Configure(budgetConfig(set))
}

// load is what this daemon runs on a server.
func (b *book) load(server state.Life) pathing.Load {
	if l, ok := b.loads[server]; ok {
		return *l
	}
	return pathing.Load{}
}

// add changes the load of a server. One without requests is forgotten: servers come
// and go.
func (b *book) add(server state.Life, requests, first, tokens float64) {
	l, ok := b.loads[server]
	if !ok {
		l = &pathing.Load{}
		b.loads[server] = l
	}
	l.Requests += requests
	l.FirstHopRequests += first
	l.Tokens += tokens
	if l.Requests <= 0 {
		delete(b.loads, server)
	}
}

// count adds a request's load to each server of its path, or takes it off.
func (b *book) count(path fleet.Path, tokens, by float64) {
	first := by
	for _, h := range path {
		b.add(h.Server, by, first, by*tokens)
		first = 0
	}
}

func (b *book) release(path fleet.Path, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(path, tokens, -1)
}

// pick takes a plain server for a request: the one with the fewest of our requests
// among those not to be avoided. One for which the request has no permit is left, if the
// request goes elsewhere, for the next one.
func (b *book) pick(now time.Time, v *view, svc state.ServiceID, domain state.FailureDomain, avoid map[string]bool, permit *permitRequest) (fleet.Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var over []state.Life // servers that the request is not sent to for want of a permit
	s, ok := b.fewest(now, v.servers[svc], domain, avoid, over)
	for ok && b.needsPermit(now, s.Life(), permit) {
		if !permit.elsewhere(now, s.Life(), b.permits) {
			return fleet.Server{}, false
		}
		over = append(over, s.Life())
		if permit.full() {
			b.permits.EachUnavailable(now, func(server state.Life) { over = append(over, server) })
		}
		s, ok = b.fewest(now, v.servers[svc], domain, avoid, over)
		permit.stuck = !ok
	}
	if ok {
		b.spendPermit(now, s.Life(), permit)
		b.add(s.Life(), 1, 0, 0)
	}
	return s, ok
}

// fewest is the server with the fewest of our requests among those that may be used, but for
// some.
func (b *book) fewest(now time.Time, servers []fleet.Server, domain state.FailureDomain, avoid map[string]bool, but []state.Life) (fleet.Server, bool) {
	suspects := b.suspects.Avoided(now)
	best, bestCost := -1, 0.0
	for i := range servers {
		s := &servers[i]
		if s.Draining || avoid[s.Address] || b.buried[s.Address] || b.suspects.IsOutdated(now, s) {
			continue
		}
		if slices.Contains(but, s.Life()) {
			continue
		}
		cost := b.load(s.Life()).Requests
		if s.Domain != domain {
			cost += crossCost
		}
		if suspects[s.Address] {
			cost += suspectCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return fleet.Server{}, false
	}
	return servers[best], true
}

const (
	// crossCost prefers a server of the same failure domain among equally loaded
	// ones.
	crossCost = 0.5
	// suspectCost puts suspects last.
	suspectCost = 1000
)

func (b *book) releaseServer(server state.Life) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(server, -1, 0, 0)
}

func (b *book) failed(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordFailure(now, address)
}

func (b *book) answered(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordAnswer(now, address)
}

func (b *book) request(now time.Time, svc state.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(now, svc)
	w := b.waitsOf(svc)
	w.early = min(w.early+earlyShare, earlyMost)
}

func (b *book) spend(now time.Time, svc state.ServiceID, by retrybudget.SlackShare) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend(now, svc, by)
}

func (b *book) follow(now time.Time, path fleet.Path) *suspect.Stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.TrackStream(now, path)
}

func (b *book) progress(now time.Time, s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordProgress(now, s.watch)
}

// silent returns the hops of a stream that nothing has shown alive of late.
func (b *book) silent(now time.Time, s *suspect.Stream, least, most time.Duration) []fleet.Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.SilentHops(now, s, least, most)
}

// join lists a stream among those to be told of a dead server; leave takes it off.
func (b *book) join(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[s] = struct{}{}
}

func (b *book) leave(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, s)
}

// crossing lists the streams whose path has a server.
func (b *book) crossing(address string) []*stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*stream
	for s := range b.streams {
		if slices.ContainsFunc(s.path, func(h fleet.Hop) bool { return h.Address == address }) {
			out = append(out, s)
		}
	}
	return out
}

// bury notes that a server answers no probe. It returns false if that was known.
func (b *book) bury(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buried[address] {
		return false
	}
	b.buried[address] = true
	return true
}

// raise takes back bury.
func (b *book) raise(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.buried, address)
}

// sizes counts the open streams and the dead servers.
func (b *book) sizes() (streams, dead int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.streams), len(b.buried)
}
