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
	// toldSlack is how much longer than its next trial a server stays ejected at daemons that were told of
	// it: the news of the trial takes a few rounds of gossip.
	toldSlack = 500 * time.Millisecond
	// checkInterval is how often a server whose answers are late may be checked.
	checkInterval = time.Second
	// checkTime is how long a check takes at most, two probes one after the other. The server gets no
	// request meanwhile.
	checkTime = 100 * time.Millisecond
	// contradicted is how long notices that a server is silent are ignored after the server has answered the
	// probe that one of them has led to: the daemon that sends them may have lost its link to the server.
	contradicted = 10 * time.Second
	// toldProbeInterval is how often notices of a server lead to a probe at most.
	toldProbeInterval = 2 * time.Second
	// verifyTime is how long the servers of a service are verified after one of them has been silent.
	verifyTime = 10 * time.Minute
	// maxToldFailures is how often the better servers may fail for a server to stay ejected that is
	// ejected without a failure here.
	maxToldFailures = 0.5
	// unknownFailures is the share of requests that servers are assumed to fail of which nothing is
	// known, with the weight of one request.
	unknownFailures = 0.05
	// maxRated is how many servers of a service are rated at most, arbitrary ones, so that the work of a
	// failure does not grow with the service.
	maxRated = 64
	// maxAlike is how often the better servers may fail, as a fraction of how often an ejected one
	// does, for it to stay ejected.
	maxAlike = 0.8
)

// Notice tells the other daemons that a server is ejected because it fails requests or does not answer,
// or that it is not any more.
type Notice struct {
	Service state.ServiceID          `msgpack:"service"`
	Server  state.BackendIncarnation `msgpack:"server"`
	// MS is how long the server is ejected, in ms, until the daemon that sends the notice tries it; 0 if it
	// has answered.
	MS int64 `msgpack:"ms"`
	// Silent means that the server answers no probe.
	Silent bool `msgpack:"silent,omitempty"`
}

// Ejection is the beginning or the end of a server's ejection that this daemon has found out; the zero value
// is neither.
type Ejection struct {
	For      time.Duration // 0 for the end
	Returned bool
	Silent   bool // the server answers no probe
	// Tell is set if other daemons should know it.
	Tell bool
}

// Tracker holds the outcomes of one daemon's requests. It is not safe for concurrent use.
type Tracker struct {
	services map[state.ServiceID]*service
}

type service struct {
	servers map[state.BackendIncarnation]*record
	// better is the share of failures of the better half of the servers, and betterWeight the number
	// of their requests.
	better, betterWeight float64
	ejected              int       // number of servers that are ejected
	verifyUntil          time.Time // end of the time in which servers are probed before they are used
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
	answeredAt        time.Time     // last answer
	heardAt           time.Time     // last sign of life: an answer of any kind
	checkedAt         time.Time     // last check of late answers
	held              bool          // ejected until Return
	told              bool          // ejected because another daemon has found it out
	announced         bool          // other daemons were told of the ejection
	toldAt            time.Time     // when the last notice of another daemon was sent
	ignoreUntil       time.Time     // end of the time in which notices of its silence are ignored
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{services: make(map[state.ServiceID]*service)} }

// Heard records a sign of life of a server.
func (t *Tracker) Heard(now time.Time, svc state.ServiceID, server state.BackendIncarnation) {
	t.service(svc).record(server).heardAt = now
}

// Unheard returns how long a server has shown no sign of life, or 0 if it has shown none yet.
func (t *Tracker) Unheard(now time.Time, svc state.ServiceID, server state.BackendIncarnation) time.Duration {
	r, ok := t.find(svc, server)
	if !ok || r.heardAt.IsZero() {
		return 0
	}
	return now.Sub(r.heardAt)
}

// VerifyDue reports whether a server should be probed before a request is sent to it: servers of its
// service have been silent lately, and it has shown no sign of life for an interval.
func (t *Tracker) VerifyDue(now time.Time, svc state.ServiceID, server state.BackendIncarnation, interval time.Duration) bool {
	s, ok := t.services[svc]
	if !ok || !now.Before(s.verifyUntil) {
		return false
	}
	r, ok := s.servers[server]
	return !ok || now.Sub(r.heardAt) >= interval
}

// Failed records that a server refused or failed a request, or is late with its answer. tell is set if other
// daemons should know of an ejection.
func (t *Tracker) Failed(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation, tell bool) Ejection {
	s := t.service(svc)
	r := s.record(server)
	r.decay(now)
	r.failures++
	s.rate(now)
	if sentAt.Before(r.failedAt) {
		return Ejection{}
	}
	r.row++
	r.failedAt, r.trialAt = now, time.Time{}
	if !r.ejected && !s.unlikely(r.row) {
		return Ejection{}
	}
	return s.eject(now, r, tell)
}

// Answered records that a server answered a request.
func (t *Tracker) Answered(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) Ejection {
	s := t.service(svc)
	r := s.record(server)
	r.decay(now)
	r.answers++
	r.answeredAt = now
	s.rateEjected(now)
	if sentAt.Before(r.failedAt) {
		return Ejection{}
	}
	r.row, r.trialAt = 0, time.Time{}
	return s.restore(now, r)
}

// Eject records that a server answers no probe. It is Held until Return; the caller probes it again after
// the given time, and calls Eject once more if that is in vain.
func (t *Tracker) Eject(now time.Time, svc state.ServiceID, server state.BackendIncarnation, d time.Duration) Ejection {
	s := t.service(svc)
	s.verifyUntil = now.Add(verifyTime)
	r := s.record(server)
	out := Ejection{For: d, Silent: true, Tell: r.newsDue(now, d)}
	s.markEjected(now, r)
	r.held, r.told = true, false
	r.ignoreUntil = time.Time{}
	r.ejection, r.until = d, now.Add(d)
	r.announced = true
	return out
}

// Return records that a server answers again, or need not be checked any more.
func (t *Tracker) Return(now time.Time, svc state.ServiceID, server state.BackendIncarnation) Ejection {
	s := t.service(svc)
	r := s.record(server)
	r.heardAt = now
	return s.restore(now, r)
}

// Held reports whether a server is ejected until Return. It must get no requests.
func (t *Tracker) Held(svc state.ServiceID, server state.BackendIncarnation) bool {
	r, ok := t.find(svc, server)
	return ok && r.held
}

// Receive records another daemon's notice, which was sent at a time. An answer that came here meanwhile
// goes before it. It reports whether the caller should probe the server: whether it is silent is for each
// daemon to find out, since its links may differ.
func (t *Tracker) Receive(at time.Time, n Notice) (probe bool) {
	s := t.service(n.Service)
	r := s.record(n.Server)
	if at.Before(r.toldAt) {
		return false // a later one has come before
	}
	if n.Silent && n.MS > 0 {
		s.verifyUntil = at.Add(verifyTime)
	}
	r.toldAt = at
	switch {
	case n.MS == 0 && r.told:
		s.restore(at, r)
	case n.MS == 0, r.ejected && !r.told, r.answeredAt.After(at):
	case n.Silent:
		probe = !at.Before(r.ignoreUntil)
		if probe {
			r.ignoreUntil = at.Add(toldProbeInterval)
		}
	default:
		r.ejection = time.Duration(n.MS) * time.Millisecond
		s.markEjected(at, r)
		r.told, r.until = true, at.Add(2*r.ejection+toldSlack)
	}
	return probe
}

// Contradict records that a server has answered the probe that a notice of its silence has led to.
func (t *Tracker) Contradict(now time.Time, svc state.ServiceID, server state.BackendIncarnation) {
	t.service(svc).record(server).ignoreUntil = now.Add(contradicted)
}

// CheckDue reports whether a server should be checked because an answer to a request that was sent at a
// time is late. It counts as checked then.
func (t *Tracker) CheckDue(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) bool {
	r := t.service(svc).record(server)
	if r.held || r.answeredAt.After(sentAt) || now.Sub(r.checkedAt) < checkInterval && !r.checkedAt.IsZero() {
		return false
	}
	r.checkedAt = now
	return true
}

// Ejected reports whether other servers should be preferred to a server. A request that may be repeated
// can be the one that finds out whether an ejected server has recovered; others wait longer for that.
func (t *Tracker) Ejected(now time.Time, svc state.ServiceID, server state.BackendIncarnation, repeatable bool) bool {
	r, ok := t.find(svc, server)
	if ok && r.checking(now) {
		return true
	}
	if !ok || !r.ejected || r.isLike(t.services[svc].better) {
		return false
	}
	if r.held {
		return true
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
	if r, ok := t.find(svc, server); ok && r.ejected {
		r.trialAt = now
	}
}

// Prune drops the records of servers that are not listed.
func (t *Tracker) Prune(listed func(state.BackendIncarnation) bool) {
	for svc, s := range t.services {
		for server, r := range s.servers {
			if listed(server) {
				continue
			}
			if r.ejected {
				s.ejected--
			}
			delete(s.servers, server)
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

func (t *Tracker) find(svc state.ServiceID, server state.BackendIncarnation) (*record, bool) {
	s, ok := t.services[svc]
	if !ok {
		return nil, false
	}
	r, ok := s.servers[server]
	return r, ok
}

func (s *service) record(server state.BackendIncarnation) *record {
	r, ok := s.servers[server]
	if !ok {
		r = &record{}
		s.servers[server] = r
	}
	return r
}

// markEjected records that a server is ejected.
func (s *service) markEjected(now time.Time, r *record) {
	if r.ejected {
		return
	}
	r.ejected = true
	s.ejected++
	s.rate(now)
}

// rateEjected computes what the ejected servers are compared with, if there are any.
func (s *service) rateEjected(now time.Time) {
	if s.ejected > 0 {
		s.rate(now)
	}
}

// rate computes which share of requests the better half of the servers fails, or of maxRated of them.
func (s *service) rate(now time.Time) {
	records := make([]*record, 0, min(len(s.servers), maxRated))
	for _, r := range s.servers {
		if len(records) == maxRated {
			break
		}
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
func (s *service) eject(now time.Time, r *record, tell bool) Ejection {
	switch {
	case r.ejection == 0, !r.ejected && now.Sub(r.returnedAt) > forgetEjections:
		r.ejection = minEjection
	case !r.ejected || !now.Before(r.until):
		r.ejection = min(2*r.ejection, maxEjection)
	}
	tell = tell && r.newsDue(now, r.ejection)
	s.markEjected(now, r)
	r.told, r.until = false, now.Add(r.ejection)
	r.announced = r.announced || tell
	return Ejection{For: r.ejection, Tell: tell}
}

// newsDue reports whether an ejection is news to other daemons: none of them has told of it within its
// time.
func (r *record) newsDue(now time.Time, d time.Duration) bool {
	return r.toldAt.IsZero() || now.Sub(r.toldAt) > d
}

// restore ends the ejection of a server, if it is ejected.
func (s *service) restore(now time.Time, r *record) Ejection {
	if !r.ejected {
		return Ejection{}
	}
	out := Ejection{Returned: !r.told, Tell: r.announced}
	s.ejected--
	r.ejected, r.held, r.told, r.announced = false, false, false, false
	r.returnedAt = now
	return out
}

// isLike reports whether an ejected server is not much worse than the better ones, which fail a share of
// their requests.
func (r *record) isLike(better float64) bool {
	if r.held || r.told {
		return better > maxToldFailures
	}
	return better > maxAlike*r.share()
}

// checking reports whether the server is being checked.
func (r *record) checking(now time.Time) bool {
	return !r.checkedAt.IsZero() && now.Sub(r.checkedAt) < checkTime && !r.answeredAt.After(r.checkedAt)
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
