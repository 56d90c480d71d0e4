package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/answersize"
	"github.com/hibiscuswick/hibiscuswick/coordination/availability"
	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// sharedState is the state that traffic goroutines share. Each method holds its mutex for
// microseconds.
type sharedState struct {
	mu            sync.Mutex
	loads         map[state.BackendIncarnation]*pathing.Load // this daemon's own requests by server
	suspects      *suspect.Tracker
	outliers      *outlier.Tracker // of plain servers
	dead          map[string]bool  // addresses of servers that answer no probe
	deadSince     map[string]time.Time
	ended         map[string]bool // of those, the ones whose process has ended
	refusalChecks map[string]bool // addresses of servers with a pending refusal check
	budget        *retrybudget.Budget
	recordsAway   bool                  // the table does not keep records of retries in time
	lateCalls     map[string][]lateCall // by address of the server
	silent        silentServers
	streams       map[*stream]struct{}
	linkBacklogs  linkBacklogs
	latencies     map[state.ServiceID]*serviceLatency
	crashes       *crashes.Tracker
	teller        crashes.Teller
	parts         *crashes.Parts
	turns         *crashes.Turns // of the contents and parts that this daemon owns
	permits       *permits.Limiter
	availability  *availability.Tracker
	overload      map[state.ServiceID]*overload.Model
	demand        map[state.ServiceID]*overload.Demand
	loadSums      *siteload.Aggregator // of the parts that this daemon adds up for all
	siteLoad      *siteload.View
	ownTokens     []float64 // scratch space of choosePath, by index in the roster
	rng           *rand.Rand
	answerSizes   *answersize.Estimator
	answerTimes   map[answerKey]*admission.AnswerTimes
	serverStates  []pathing.ServerState // scratch space of choosePath, by index in the roster
}

func newSharedState(set Settings) *sharedState {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &sharedState{
		loads:         make(map[state.BackendIncarnation]*pathing.Load),
		suspects:      suspect.NewTracker(),
		outliers:      outlier.New(),
		dead:          make(map[string]bool),
		deadSince:     make(map[string]time.Time),
		ended:         make(map[string]bool),
		refusalChecks: make(map[string]bool),
		streams:       make(map[*stream]struct{}),
		linkBacklogs:  make(linkBacklogs),
		latencies:     make(map[state.ServiceID]*serviceLatency),
		lateCalls:     make(map[string][]lateCall),
		silent:        newSilentServers(),
		crashes:       crashes.NewTracker(),
		parts:         crashes.NewParts(time.Now()),
		turns:         crashes.NewTurns(),
		permits:       permits.New(),
		availability:  availability.NewTracker(rng),
		overload:      make(map[state.ServiceID]*overload.Model),
		demand:        make(map[state.ServiceID]*overload.Demand),
		loadSums:      siteload.NewAggregator(),
		siteLoad:      siteload.NewView(),
		rng:           rng,
		answerSizes:   answersize.New(pathing.AnswerShare),
		answerTimes:   make(map[answerKey]*admission.AnswerTimes),
		budget:        retrybudget.New(budgetConfig(set), time.Now()),
	}
}

func budgetConfig(set Settings) retrybudget.Config {
	return retrybudget.Config{Ratio: set.BudgetRatio, Window: set.BudgetWindow, Slack: set.BudgetSlack}
}

// setBudget activates changed settings of the retry budget.
func (s *sharedState) setBudget(set Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Configure(budgetConfig(set))
}

// loadOn returns the load that this daemon puts on a server.
func (s *sharedState) loadOn(server state.BackendIncarnation) pathing.Load {
	if l, ok := s.loads[server]; ok {
		return *l
	}
	return pathing.Load{}
}

// addLoad changes the load of a server. The entry of a server without requests is deleted,
// since servers come and go.
func (s *sharedState) addLoad(server state.BackendIncarnation, requests, first, tokens float64) {
	l, ok := s.loads[server]
	if !ok {
		l = &pathing.Load{}
		s.loads[server] = l
	}
	l.Requests += requests
	l.FirstHopRequests += first
	l.Tokens += tokens
	if l.Requests <= 0 {
		delete(s.loads, server)
	}
}

// addPathLoad adds a request's load to each server of its path, or subtracts it if sign is
// -1.
func (s *sharedState) addPathLoad(path fleet.Path, tokens, sign float64) {
	first := sign
	for _, h := range path {
		s.addLoad(h.Server, sign, first, sign*tokens)
		first = 0
	}
}

func (s *sharedState) releasePath(path fleet.Path, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addPathLoad(path, tokens, -1)
}

// pickServer picks a plain server for a request: the one with the fewest of this daemon's
// requests among those not to be avoided. A server for which the request has no permit is
// passed over if the request skips it.
func (s *sharedState) pickServer(now time.Time, v *view, svc state.ServiceID, domain state.FailureDomain, avoid map[string]bool, search *serverSearch) (fleet.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	permit := &search.permit
	permit.lacking = false
	if search.tieSeed == 0 {
		search.tieSeed = s.rng.Uint64()
	}
	var limited []state.BackendIncarnation // servers passed over for lack of a permit
	best, ok := s.leastLoaded(now, v, svc, domain, avoid, limited, search)
	search.availableAt = time.Time{}
	if !ok {
		search.availableAt = s.serverAvailableAt(now, v.servers[svc], avoid)
	}
	for ok && s.needsPermit(now, best.Incarnation(), permit) {
		if !permit.skips(now, best.Incarnation(), s.permits) {
			return fleet.Server{}, false
		}
		limited = append(limited, best.Incarnation())
		if permit.full() {
			s.permits.EachUnavailable(now, func(server state.BackendIncarnation) { limited = append(limited, server) })
		}
		best, ok = s.leastLoaded(now, v, svc, domain, avoid, limited, search)
		permit.blocked = !ok
	}
	if ok {
		s.spendPermit(now, best.Incarnation(), permit)
		search.assignment = s.availability.Begin(now, best.Incarnation())
		s.outliers.Begin(now, svc, best.Incarnation())
		s.addLoad(best.Incarnation(), 1, 0, 0)
	}
	return best, ok
}

// leastLoaded returns the server with the fewest of this daemon's requests among the usable
// ones, except some. Of equal ones it is a random one.
func (s *sharedState) leastLoaded(now time.Time, v *view, svc state.ServiceID, domain state.FailureDomain, avoid map[string]bool, except []state.BackendIncarnation, search *serverSearch) (fleet.Server, bool) {
	servers := v.servers[svc]
	suspects := s.suspects.Avoided(now)
	mayTry := s.mayTryEjected(now, v, svc, search)
	best, bestCost := -1, 0.0
	for i := range servers {
		candidate := &servers[i]
		if !s.isListedUsable(now, candidate, avoid) || !s.availability.Accepts(now, candidate.Incarnation()) {
			continue
		}
		if slices.Contains(except, candidate.Incarnation()) {
			continue
		}
		cost := s.loadOn(candidate.Incarnation()).Requests
		if candidate.Domain != domain {
			cost += crossDomainCost
		}
		if suspects[candidate.Address] || s.suspects.IsLeaving(now, candidate.Incarnation()) {
			cost += suspectCost
		}
		if search.unverified[candidate.Address] || s.outliers.Ejected(now, svc, candidate.Incarnation(), mayTry) {
			cost += suspectCost
		}
		if search.preferable(i, cost, best, bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return fleet.Server{}, false
	}
	return servers[best], true
}

// isListedUsable reports whether a plain server may be used, apart from what it has stated
// itself.
func (s *sharedState) isListedUsable(now time.Time, candidate *fleet.Server, avoid map[string]bool) bool {
	return !candidate.Draining && !avoid[candidate.Address] && !s.dead[candidate.Address] && !s.suspects.IsOutdated(now, candidate) &&
		!s.outliers.Held(candidate.Service, candidate.Incarnation())
}

const (
	// crossDomainCost prefers a server of the same failure domain among equally loaded
	// ones.
	crossDomainCost = 0.5
	// suspectCost orders suspected, ejected and unverified servers last.
	suspectCost = 1000
)

func (s *sharedState) releaseServer(server state.BackendIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLoad(server, -1, 0, 0)
}

func (s *sharedState) recordFailure(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordFailure(now, address)
}

func (s *sharedState) recordAnswer(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordAnswer(now, address)
}

// recordRequest records a request that was read now and may have been sent earlier.
func (s *sharedState) recordRequest(now, sentSince time.Time, svc state.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(now, sentSince, svc)
	latency := s.latencyOf(svc)
	latency.abandonBudget = min(latency.abandonBudget+abandonShare, maxAbandons)
}

func (s *sharedState) trackStream(now time.Time, path fleet.Path) *suspect.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.TrackStream(now, path)
}

func (s *sharedState) recordProgress(now time.Time, str *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordProgress(now, str.tracked)
}

// silentHops returns the hops of a stream that have shown no recent sign of life.
func (s *sharedState) silentHops(now time.Time, str *suspect.Stream, minSilence, maxSilence time.Duration) []fleet.Hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.SilentHops(now, str, minSilence, maxSilence)
}

// addStream registers a stream to be informed of dead servers; removeStream removes it.
func (s *sharedState) addStream(str *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[str] = struct{}{}
}

func (s *sharedState) removeStream(str *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, str)
}

// streamsThrough returns the streams whose path contains a server.
func (s *sharedState) streamsThrough(address string) []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*stream
	for str := range s.streams {
		if slices.ContainsFunc(str.path, func(h fleet.Hop) bool { return h.Address == address }) {
			out = append(out, str)
		}
	}
	return out
}

// markDead records that a server answers no probe, and whether its process has ended. It returns false
// if it was known to be dead.
func (s *sharedState) markDead(address string, ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended {
		s.ended[address] = true
	}
	if s.dead[address] {
		return false
	}
	s.dead[address], s.deadSince[address] = true, time.Now()
	return true
}

// clearDead reverts markDead.
func (s *sharedState) clearDead(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dead, address)
	delete(s.deadSince, address)
	delete(s.ended, address)
}

// counts returns the numbers of open streams and of dead servers.
func (s *sharedState) counts() (streams, dead int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams), len(s.dead)
}
