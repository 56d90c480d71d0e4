package permits

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// takeoverDelay is how long a daemon that becomes an owner, or has just seen others join or
	// leave, waits before it issues permits: the former owner issues permits until it observes the
	// change, too, and the permits that it has issued are still being spent.
	takeoverDelay = time.Second
	// announceInterval is how often an owner announces a limit to all daemons: those that have
	// started since do not know it.
	announceInterval = 5 * time.Second
	// forgetAfter is when the state of an unused server is dropped.
	forgetAfter = 2 * time.Minute
)

// Limiter is one daemon's part: the permits that it holds, and those that it issues.
type Limiter struct {
	membership  Membership
	stableSince time.Time // since when the set of participating daemons is unchanged
	servers     map[state.BackendIncarnation]*server
	out         []Action
	now         time.Time
	changes     uint64
}

// server is the state of one server that has declared a limit.
type server struct {
	incarnation state.BackendIncarnation
	limit       fleet.RateLimit
	// observedAt is the time of the last observation of the limit: the time of an answer that
	// declared it, or, if the answer declared none, the time at which its request was sent.
	observedAt  time.Time
	lastUsed    time.Time
	owner       state.DaemonID // daemon that issues the permits; "" if no daemon is known
	holder      holder         // permits that this daemon has received
	issuer      issuer         // permits that this daemon issues, if it is the owner
	announcedAt time.Time      // when the limit was last announced, if this daemon is the owner
}

// New returns a limiter that knows no limits.
func New() *Limiter {
	return &Limiter{servers: make(map[state.BackendIncarnation]*server)}
}

// Changes counts the changes of limits and the answers of owners: after each of them a request may get
// a permit that got none before.
func (l *Limiter) Changes() uint64 { return l.changes }

// Step processes an event and returns the resulting actions.
func (l *Limiter) Step(now time.Time, ev Event) []Action {
	l.now, l.out = now, nil
	switch ev := ev.(type) {
	case Membership:
		l.setMembership(ev)
	case LimitObserved:
		l.handleObserved(ev)
	case LimitReceived:
		if _, known := l.servers[ev.Server]; known || ev.Limit.Named {
			l.updateLimit(l.server(ev.Server), ev.Limit, ev.At)
		}
	case MessageReceived:
		l.handleMessage(ev.From, ev.Msg)
	case Tick:
		l.tick()
	}
	return l.out
}

// NextTick returns when a Tick is due; zero for never.
func (l *Limiter) NextTick(now time.Time) time.Time {
	var next time.Time
	for _, s := range l.servers {
		due := s.lastUsed.Add(forgetAfter)
		if s.limit.Named && s.owner == l.membership.Self {
			due = s.announcedAt.Add(announceInterval)
			if at, ok := s.issuer.nextIssue(now, l.rate(s)); ok && at.Before(due) {
				due = at
			}
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// setMembership applies a new membership.
func (l *Limiter) setMembership(v Membership) {
	slices.Sort(v.Daemons)
	if !slices.Equal(v.Daemons, l.membership.Daemons) {
		l.stableSince = l.now
	}
	for _, s := range l.servers { // permits due until now are counted with the former share
		s.issuer.refill(l.now, l.rate(s))
	}
	l.membership = v
	for _, s := range l.servers {
		if owner := l.ownerOf(s.incarnation); owner != s.owner {
			l.setOwner(s, owner)
		}
	}
}

func (l *Limiter) ownerOf(incarnation state.BackendIncarnation) state.DaemonID {
	owner, _ := rendezvous.Owner(incarnation.String(), l.membership.Daemons)
	return owner
}

// setOwner sets the daemon that issues a server's permits from now on.
//
// Guard (permits-two-owners): the former owner continues until it has observed the change. If permits were
// issued at once, a server would get twice its limit whenever daemons join or leave.
func (l *Limiter) setOwner(s *server, owner state.DaemonID) {
	s.owner = owner
	s.issuer = issuer{levelAt: l.now}
	if since := l.stableSince.Add(takeoverDelay); l.now.Before(since) {
		s.issuer.levelAt = since
	}
	s.holder.nextRequestAt = time.Time{}
	s.announcedAt = l.now
}

// server returns the state of a server, and creates it if necessary.
func (l *Limiter) server(incarnation state.BackendIncarnation) *server {
	s, ok := l.servers[incarnation]
	if !ok {
		s = &server{incarnation: incarnation}
		l.servers[incarnation] = s
		l.setOwner(s, l.ownerOf(incarnation))
	}
	s.lastUsed = l.now
	return s
}

// handleObserved applies the limit in an answer.
//
// Guard (answer-from-before): answers that were in flight when a server declared its limit declare
// none. If they removed the limit, daemons would drop it and apply it again for several seconds. An
// answer without a limit therefore counts from the time at which its request was sent.
func (l *Limiter) handleObserved(h LimitObserved) {
	if _, known := l.servers[h.Server]; !known && !h.Limit.Named {
		return
	}
	s := l.server(h.Server)
	at := l.now
	if !h.Limit.Named {
		at = h.Sent
	}
	if !l.updateLimit(s, h.Limit, at) {
		return
	}
	if s.owner == l.membership.Self {
		l.announce(s)
	} else if s.owner != "" {
		l.emit(Send{To: s.owner, Msg: PermitRequest{Server: s.incarnation, Known: l.limitReport(s)}})
	}
}

// updateLimit applies a limit unless a newer one is known. It returns true if the limit changed.
func (l *Limiter) updateLimit(s *server, limit fleet.RateLimit, at time.Time) bool {
	if !at.After(s.observedAt) {
		return false
	}
	s.observedAt = at
	if s.limit == limit {
		return false
	}
	s.issuer.refill(l.now, l.rate(s))
	s.limit = limit
	l.changes++
	if !limit.Named {
		s.holder, s.issuer = holder{waiting: s.holder.waiting}, issuer{levelAt: l.now}
	}
	l.emit(LimitChanged{LimitNotice{Server: s.incarnation, Limit: limit}})
	return true
}

// handleMessage processes a message.
func (l *Limiter) handleMessage(from state.DaemonID, msg Message) {
	switch m := msg.(type) {
	case PermitRequest:
		l.handleRequest(from, m)
	case PermitGrant:
		s := l.server(m.Server)
		l.updateLimit(s, m.Known.Limit, l.now.Add(-m.Known.Age))
		if s.limit.Named {
			s.holder.applyGrant(l.now, m, l.ttl(s))
			l.changes++
		}
	}
}

// handleRequest processes a request for permits from another daemon or from this one.
func (l *Limiter) handleRequest(from state.DaemonID, a PermitRequest) {
	s := l.server(a.Server)
	if l.updateLimit(s, a.Known.Limit, l.now.Add(-a.Known.Age)) && s.owner == l.membership.Self {
		l.announce(s)
	}
	if a.Count == 0 {
		return
	}
	if s.owner != l.membership.Self || !s.limit.Named {
		// Its membership view differs, or the limit was removed: report what is known here.
		l.sendGrant(from, PermitGrant{Server: s.incarnation, Known: l.limitReport(s), RetryAfter: minRetry})
		return
	}
	s.issuer.enqueue(l.now, from, a.Count, l.rate(s))
	l.issue(s)
	if !a.AcceptLater {
		s.issuer.dequeue(from)
	}
	if !s.issuer.wasServed(from) {
		l.sendGrant(from, l.newGrant(s, from, 0))
	}
}

// issue issues the permits that are due.
func (l *Limiter) issue(s *server) {
	for _, g := range s.issuer.issue(l.now, l.rate(s)) {
		l.sendGrant(g.to, l.newGrant(s, g.to, g.permits))
	}
}

// newGrant returns the answer to a daemon that gets n permits now.
func (l *Limiter) newGrant(s *server, to state.DaemonID, n int) PermitGrant {
	rate := l.rate(s)
	m := PermitGrant{Server: s.incarnation, Permits: n, Known: l.limitReport(s)}
	m.NextIn, m.Interval = s.issuer.forecast(l.now, to, rate)
	if n == 0 || s.issuer.isWaiting(to) {
		m.RetryAfter = s.issuer.retryAfter(rate)
	}
	return m
}

// sendGrant answers a daemon, which may be this one.
func (l *Limiter) sendGrant(to state.DaemonID, m PermitGrant) {
	if to == l.membership.Self {
		l.handleMessage(to, m)
		return
	}
	l.emit(Send{To: to, Msg: m})
}

// tick runs what is due.
func (l *Limiter) tick() {
	for incarnation, s := range l.servers {
		if l.now.Sub(s.lastUsed) >= forgetAfter {
			delete(l.servers, incarnation)
			continue
		}
		l.requestPermits(s)
		if !s.limit.Named || s.owner != l.membership.Self {
			continue
		}
		l.issue(s)
		if l.now.Sub(s.announcedAt) >= announceInterval {
			l.announce(s)
		}
	}
}

// requestPermits asks for the permits that this daemon's requests need, if a request is due.
func (l *Limiter) requestPermits(s *server) {
	if !s.holder.requestPending || !s.limit.Named || s.owner == "" {
		return
	}
	s.holder.requestPending = false
	s.holder.nextRequestAt = l.now.Add(askTimeout)
	req := PermitRequest{Server: s.incarnation, Count: s.holder.missing(l.now, l.ttl(s)), AcceptLater: s.holder.waiting > 0, Known: l.limitReport(s)}
	if s.owner == l.membership.Self {
		l.handleRequest(l.membership.Self, req)
		return
	}
	l.emit(Send{To: s.owner, Msg: req})
}

func (l *Limiter) announce(s *server) {
	s.announcedAt = l.now
	l.emit(Broadcast{LimitNotice{Server: s.incarnation, Limit: s.limit}})
}

func (l *Limiter) limitReport(s *server) LimitReport {
	return LimitReport{Limit: s.limit, Age: l.now.Sub(s.observedAt)}
}

func (l *Limiter) emit(a Action) { l.out = append(l.out, a) }

// minRate is the number of requests per second that are sent to a server which accepts none:
// otherwise no daemon would notice when it accepts requests again.
const minRate = 0.05

// rate returns the permits per second that this daemon may issue for a server: its share of the
// limit.
//
// Guard (permits-cut): each partition has an owner of its own, which would issue the whole limit.
// A partition gets the share of the limit that corresponds to its share of the daemons, as long as
// those in other partitions may be alive.
func (l *Limiter) rate(s *server) float64 {
	return max(s.limit.PerSecond, minRate) * l.membership.Share
}

// ttl returns the lifetime of a server's permits.
func (l *Limiter) ttl(s *server) time.Duration {
	return permitTTL(max(s.limit.PerSecond, minRate))
}

// Owns reports whether this daemon issues a server's permits.
func (l *Limiter) Owns(incarnation state.BackendIncarnation) bool {
	s, ok := l.servers[incarnation]
	return ok && s.limit.Named && s.owner == l.membership.Self
}
