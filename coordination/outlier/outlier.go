package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// minEjection is how long a server is ejected for the first time: a busy one has capacity again
	// after a few answers.
	minEjection = 400 * time.Millisecond
	// maxEjection bounds the time of an ejection, so that a server which has recovered is used again.
	maxEjection = 8 * time.Second
	// forgetEjections is how long a server must have answered for its next ejection to be a short one.
	forgetEjections = 10 * time.Second
	// trialTimeout is after which time another request is sent to a server on trial: an answer may be
	// lost.
	trialTimeout = time.Second
	// memory is the time constant with which counted answers and failures decay.
	memory = 5 * time.Second
	// maxChance is the probability up to which a row of failures is not put down to chance.
	maxChance = 0.01
	// unknownFailures is the share of requests that servers are assumed to fail of which nothing is
	// known, with the weight of one request.
	unknownFailures = 0.05
	// maxAlike is how often the better servers may fail, as a fraction of how often an ejected one
	// does, for it to stay ejected.
	maxAlike = 0.8
)

// Tracker holds the outcomes of one daemon's requests. It is not safe for concurrent use.
type Tracker struct {
	services map[state.ServiceID]*service
}

type service struct {
	servers map[state.BackendIncarnation]*record
	// better is the share of failures of the better half of the servers, and betterWeight the number
	// of their requests.
	better, betterWeight float64
}

// record holds the outcomes of one incarnation of a server.
type record struct {
	answers, failures float64 // decayed as of countedAt
	countedAt         time.Time
	row               int       // failures in a row
	failedAt          time.Time // of the last one of the row
	ejected           bool
	until             time.Time     // end of the ejection; the server is on trial afterwards
	ejection          time.Duration // length of the last ejection; 0 for none lately
	returnedAt        time.Time     // when the last ejection and its trial ended
	trialAt           time.Time     // when a request was last assigned on trial; zero for none under way
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{services: make(map[state.ServiceID]*service)} }

// Failed records that a server refused or failed a request. It returns for how long the server is
// ejected for it, or 0 if it is not.
func (t *Tracker) Failed(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) time.Duration {
	s := t.service(svc)
	r := s.record(server)
	r.decay(now)
	r.failures++
	s.rate(now)
	if sentAt.Before(r.failedAt) {
		return 0
	}
	r.row++
	r.failedAt, r.trialAt = now, time.Time{}
	if !r.ejected && !s.unlikely(r.row) {
		return 0
	}
	r.eject(now)
	return r.ejection
}

// Answered records that a server answered a request. It reports whether that ends its ejection.
func (t *Tracker) Answered(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) bool {
	s := t.service(svc)
	r := s.record(server)
	r.decay(now)
	r.answers++
	s.rate(now)
	if sentAt.Before(r.failedAt) {
		return false
	}
	r.row, r.trialAt = 0, time.Time{}
	if !r.ejected {
		return false
	}
	r.ejected, r.returnedAt = false, now
	return true
}

// Ejected reports whether other servers should be preferred to a server. A request that may be repeated
// can be the one that finds out whether an ejected server has recovered; others wait longer for that.
func (t *Tracker) Ejected(now time.Time, svc state.ServiceID, server state.BackendIncarnation, repeatable bool) bool {
	s, ok := t.services[svc]
	if !ok {
		return false
	}
	r, ok := s.servers[server]
	if !ok || !r.ejected || s.better > maxAlike*r.share() {
		return false
	}
	until := r.until
	if !repeatable {
		until = until.Add(r.ejection)
	}
	onTrial := !r.trialAt.IsZero() && now.Sub(r.trialAt) < trialTimeout
	return now.Before(until) || onTrial
}

// Begin records that a request was assigned to a server.
func (t *Tracker) Begin(now time.Time, svc state.ServiceID, server state.BackendIncarnation) {
	s, ok := t.services[svc]
	if !ok {
		return
	}
	if r, ok := s.servers[server]; ok && r.ejected {
		r.trialAt = now
	}
}

// FailureShare returns which share of a server's recent requests it has refused or failed.
func (t *Tracker) FailureShare(svc state.ServiceID, server state.BackendIncarnation) float64 {
	if s, ok := t.services[svc]; ok {
		if r, ok := s.servers[server]; ok {
			return r.share()
		}
	}
	return 0
}

// Prune drops the records of servers that are not listed.
func (t *Tracker) Prune(listed func(state.BackendIncarnation) bool) {
	for svc, s := range t.services {
		for server := range s.servers {
			if !listed(server) {
				delete(s.servers, server)
			}
		}
		if len(s.servers) == 0 {
			delete(t.services, svc)
		}
	}
}

func (t *Tracker) service(id state.ServiceID) *service {
	s, ok := t.services[id]
	if !ok {
		s = &service{servers: make(map[state.BackendIncarnation]*record)}
		t.services[id] = s
	}
	return s
}

func (s *service) record(server state.BackendIncarnation) *record {
	r, ok := s.servers[server]
	if !ok {
		r = &record{}
		s.servers[server] = r
	}
	return r
}

// rate computes which share of requests the better half of the servers fails.
func (s *service) rate(now time.Time) {
	records := make([]*record, 0, len(s.servers))
	for _, r := range s.servers {
		r.decay(now)
		records = append(records, r)
	}
	slices.SortFunc(records, func(x, y *record) int {
		return cmp.Or(cmp.Compare(x.share(), y.share()), cmp.Compare(y.weight(), x.weight()))
	})
	failures, weight := 0.0, 0.0
	for _, r := range records[:len(records)/2] {
		failures += r.failures
		weight += r.weight()
	}
	s.better, s.betterWeight = 0, weight
	if weight > 0 {
		s.better = failures / weight
	}
}

// unlikely reports whether that many failures in a row are not put down to chance, if a server fails as
// often as the better ones do.
func (s *service) unlikely(row int) bool {
	failures := (s.better*s.betterWeight + unknownFailures) / (s.betterWeight + 1)
	return math.Pow(failures, float64(row)) <= maxChance
}

// eject begins or prolongs the ejection of a server.
func (r *record) eject(now time.Time) {
	switch {
	case r.ejection == 0, !r.ejected && now.Sub(r.returnedAt) > forgetEjections:
		r.ejection = minEjection
	case !r.ejected || !now.Before(r.until):
		r.ejection = min(2*r.ejection, maxEjection)
	}
	r.ejected, r.until = true, now.Add(r.ejection)
}

func (r *record) weight() float64 { return r.answers + r.failures }

func (r *record) share() float64 {
	if r.weight() <= 0 {
		return 0
	}
	return r.failures / r.weight()
}

// decay ages the counts to now.
func (r *record) decay(now time.Time) {
	if age := now.Sub(r.countedAt); age > 0 && !r.countedAt.IsZero() {
		factor := math.Exp(-float64(age) / float64(memory))
		r.answers *= factor
		r.failures *= factor
	}
	r.countedAt = now
}
