package reach

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// CheckInterval is the time between two checks of a service.
	CheckInterval = 250 * time.Millisecond
	// NoneInterval is the same after a check by which no daemon reaches the servers.
	NoneInterval = time.Second
	// RecheckInterval is the time between two checks while this daemon is cut off.
	RecheckInterval = 300 * time.Millisecond
	// minNoticeInterval is how often a daemon that is cut off repeats that, at most.
	minNoticeInterval = 5 * time.Second
	// noticeSpacing is the mean time between two repeated notices of all daemons together: each of
	// them reaches every daemon several times, and gossip is limited to 6,000 bytes a second.
	noticeSpacing = 250 * time.Millisecond
	// noticeHold is how long a notice holds, in intervals: one may be late or lost.
	noticeHold = 2.5
	// defaultHold is how long a notice holds that does not say so.
	defaultHold = 2500 * time.Millisecond
	// ToldInterval is the time between two checks of a service because other daemons are cut off
	// from it.
	ToldInterval = time.Second
	// startTime is how long a daemon that starts may take to find out that it is cut off, and to
	// tell the others.
	startTime = time.Second
	// minFailing is how many servers new connections have to fail at before a full check.
	minFailing = 2
)

// Check is a kind of check of a service.
type Check uint8

// The values of Check.
const (
	// NoCheck means that no check is due.
	NoCheck Check = iota
	// QuickCheck connects to one server, and makes a full check only if that fails.
	QuickCheck
	// FullCheck connects to a sample of the servers.
	FullCheck
)

// Notice tells other daemons whether the sender is cut off from servers of a service.
type Notice struct {
	Daemon state.DaemonID `msgpack:"daemon"`
	CutOff bool           `msgpack:"cut"`
	// Services are those from which it is cut off.
	Services []state.ServiceID `msgpack:"services,omitempty"`
	// HoldMS is how long it holds, in milliseconds, unless another one follows.
	HoldMS int64 `msgpack:"hold_ms,omitempty"`
}

func (n Notice) hold() time.Duration {
	if n.HoldMS <= 0 {
		return defaultHold
	}
	return time.Duration(n.HoldMS) * time.Millisecond
}

// CheckResult is the result of a check of a service.
type CheckResult uint8

// The values of CheckResult.
const (
	// Unknown means that the check shows nothing: the service has no servers, or some are reached
	// and many are not.
	Unknown CheckResult = iota
	// Inconclusive means that the check shows nothing, since this process did not run, or other
	// daemons did not answer in time.
	Inconclusive
	// Reached means that most servers are reached.
	Reached
	// ReachedByOthers means that few servers are reached, and another daemon reaches the others.
	ReachedByOthers
	// ReachedByNone means that few servers are reached, and no other daemon is known to reach the
	// others.
	ReachedByNone
)

// minFailedShare is the fraction of servers from which on few of them are reached.
const minFailedShare = 0.75

// ResultOf returns the result of a check that did not reach some of the servers, before other
// daemons are asked.
func ResultOf(servers, failed int) CheckResult {
	switch {
	case servers == 0:
		return Unknown
	case float64(failed) >= minFailedShare*float64(servers):
		return ReachedByNone
	case 2*failed < servers:
		return Reached
	default:
		return Unknown
	}
}

// service is what is known of the connections to one service.
type service struct {
	failing   map[string]struct{} // addresses at which new connections failed since the last success
	failedAt  time.Time           // when the first of them failed
	checkedAt time.Time
	noneFound bool // by the last check no daemon reaches the servers
	cutOff    bool
}

// daemonState is the last notice of another daemon.
type daemonState struct {
	at          time.Time
	incarnation state.Incarnation
	until       time.Time         // when its notice lapses; zero if it is not cut off
	lost        []state.ServiceID // empty if it did not tell which
}

// joined is when an incarnation of another daemon was first seen.
type joined struct {
	incarnation state.Incarnation
	at          time.Time
}

// Tracker is the state of one daemon. It is not safe for concurrent use.
type Tracker struct {
	startedAt time.Time
	services  map[state.ServiceID]*service
	daemons   map[state.DaemonID]daemonState
	joined    map[state.DaemonID]joined
}

// NewTracker returns the Tracker of a daemon that starts now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{
		startedAt: now, services: make(map[state.ServiceID]*service),
		daemons: make(map[state.DaemonID]daemonState), joined: make(map[state.DaemonID]joined),
	}
}

func (t *Tracker) service(id state.ServiceID) *service {
	s, ok := t.services[id]
	if !ok {
		s = &service{failing: make(map[string]struct{})}
		t.services[id] = s
	}
	return s
}

// Connected reports a new connection to a server of a service.
func (t *Tracker) Connected(id state.ServiceID) {
	clear(t.service(id).failing)
}

// ConnectFailed reports that a new connection to a server failed or takes too long.
func (t *Tracker) ConnectFailed(now time.Time, id state.ServiceID, address string) {
	s := t.service(id)
	if len(s.failing) == 0 {
		s.failedAt = now
	}
	s.failing[address] = struct{}{}
}

// FailingFor returns for how long new connections to a service have failed with no success in
// between, and 0 if the last one was established.
func (t *Tracker) FailingFor(now time.Time, id state.ServiceID) time.Duration {
	s := t.service(id)
	if len(s.failing) == 0 {
		return 0
	}
	return now.Sub(s.failedAt)
}

// checkInterval is the time between two checks because of connections that fail.
func (s *service) checkInterval() time.Duration {
	if s.noneFound {
		return NoneInterval
	}
	return CheckInterval
}

// CheckDue returns the check of a service that is due, given the number of its servers, and
// begins it.
func (t *Tracker) CheckDue(now time.Time, id state.ServiceID, servers int) Check {
	s := t.service(id)
	if len(s.failing) == 0 || now.Sub(s.checkedAt) < s.checkInterval() {
		return NoCheck
	}
	s.checkedAt = now
	if len(s.failing) < min(minFailing, servers) {
		return QuickCheck
	}
	return FullCheck
}

// CheckTold returns the check of a service that is due because another daemon has told that it
// is cut off from it, and begins it.
func (t *Tracker) CheckTold(now time.Time, id state.ServiceID) Check {
	s := t.service(id)
	if s.cutOff || now.Sub(s.checkedAt) < ToldInterval {
		return NoCheck
	}
	s.checkedAt = now
	return QuickCheck
}

// Failing reports whether the last new connection to a server failed, and none to another
// server of the service was established since.
func (t *Tracker) Failing(id state.ServiceID, address string) bool {
	_, ok := t.service(id).failing[address]
	return ok
}

// Checked reports the result of a check. It returns whether CutOff of the service has changed.
func (t *Tracker) Checked(id state.ServiceID, result CheckResult) (changed bool) {
	s := t.service(id)
	before := s.cutOff
	s.noneFound = result == ReachedByNone
	switch result {
	case Reached:
		t.Connected(id)
		s.cutOff = false
	case ReachedByOthers:
		s.cutOff = true
	case ReachedByNone:
		s.cutOff = false
	case Unknown, Inconclusive:
	}
	return s.cutOff != before
}

// CutOff reports whether this daemon is cut off from the servers of a service.
func (t *Tracker) CutOff(id state.ServiceID) bool {
	s, ok := t.services[id]
	return ok && s.cutOff
}

// Lost returns the services from whose servers this daemon is cut off.
func (t *Tracker) Lost() []state.ServiceID {
	var lost []state.ServiceID
	for id, s := range t.services {
		if s.cutOff {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// CutOffFromAny reports whether this daemon is cut off from the servers of any service.
func (t *Tracker) CutOffFromAny() bool { return len(t.Lost()) > 0 }

// Keep drops the services that are not listed.
func (t *Tracker) Keep(listed func(state.ServiceID) bool) {
	for id := range t.services {
		if !listed(id) {
			delete(t.services, id)
		}
	}
}

// Notice returns what this daemon tells the others, and when it repeats that. The more daemons
// are cut off, the less often each repeats it, so that their notices together stay few.
func (t *Tracker) Notice(now time.Time, self state.DaemonID) (Notice, time.Duration) {
	cutOff := 1
	for _, d := range t.daemons {
		if now.Before(d.until) {
			cutOff++
		}
	}
	interval := max(minNoticeInterval, time.Duration(cutOff)*noticeSpacing)
	lost := t.Lost()
	hold := time.Duration(noticeHold * float64(interval))
	return Notice{Daemon: self, CutOff: len(lost) > 0, Services: lost, HoldMS: hold.Milliseconds()}, interval
}

// Receive applies another daemon's notice, as of the time at which it was sent.
func (t *Tracker) Receive(at time.Time, from state.Member, n Notice) {
	old := t.daemons[from.ID]
	if from.Incarnation < old.incarnation || from.Incarnation == old.incarnation && at.Before(old.at) {
		return
	}
	d := daemonState{at: at, incarnation: from.Incarnation, lost: n.Services}
	if n.CutOff {
		d.until = at.Add(n.hold())
	}
	t.daemons[from.ID] = d
}

// OtherCutOff reports whether another daemon is cut off, as far as this incarnation has told.
func (t *Tracker) OtherCutOff(now time.Time, other state.Member) bool {
	d, ok := t.daemons[other.ID]
	return ok && d.incarnation == other.Incarnation && now.Before(d.until)
}

// OtherCutOffFrom reports whether another daemon is cut off from a service, as far as this
// incarnation has told.
func (t *Tracker) OtherCutOffFrom(now time.Time, other state.Member, svc state.ServiceID) bool {
	lost := t.daemons[other.ID].lost
	return t.OtherCutOff(now, other) && (len(lost) == 0 || slices.Contains(lost, svc))
}

// Joined reports that another daemon was seen alive.
func (t *Tracker) Joined(now time.Time, other state.Member) {
	if old, ok := t.joined[other.ID]; !ok || other.Incarnation > old.incarnation {
		t.joined[other.ID] = joined{incarnation: other.Incarnation, at: now}
	}
}

// Left reports that another daemon has left. One that is only believed to be dead may return as
// the same process.
func (t *Tracker) Left(id state.DaemonID) {
	delete(t.joined, id)
	delete(t.daemons, id)
}

// Starting reports whether another daemon may not have found out yet whether it is cut off. A
// daemon that has itself just started can't tell which of the others have.
func (t *Tracker) Starting(now time.Time, other state.Member) bool {
	j, ok := t.joined[other.ID]
	return ok && j.incarnation == other.Incarnation && j.at.Sub(t.startedAt) > startTime && now.Sub(j.at) < startTime
}
