package permits

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// settle is how long a daemon that becomes an owner, or has just seen others come or go,
	// waits before it issues permits: the former owner issues until it learns of that too, and
	// what it has issued is still spent.
	settle = time.Second
	// tellEvery is how often an owner tells all daemons of a limit: those that have started
	// since do not know it.
	tellEvery = 5 * time.Second
	// forgetAfter is when what is known of a server is dropped that nobody asks for.
	forgetAfter = 2 * time.Minute
)

// Permits is one daemon's part: the permits that it holds, and those that it issues.
type Limiter struct {
	view    Membership
	steady  time.Time // since when the same daemons take part
	servers map[state.Life]*server
	out     []Action
	now     time.Time
}

// server is one server that has named a limit.
type server struct {
	life  state.Life
	limit fleet.RateLimit
	// at is when that was last so: when an answer came that named it, or when a request was
	// sent whose answer named none.
	at      time.Time
	touched time.Time
	owner   state.DaemonID // "" where no daemon is known
	holder  holder
	issuer  issuer
	toldAt  time.Time // when all were told last, if this daemon is the owner
}

// New returns a daemon's part, which knows no limit.
func New() *Limiter {
	return &Limiter{servers: make(map[state.Life]*server)}
}

// Step takes what happened and returns what is to be done.
func (p *Limiter) Step(now time.Time, ev Event) []Action {
	p.now, p.out = now, nil
	switch ev := ev.(type) {
	case Membership:
		p.viewed(ev)
	case LimitObserved:
		p.heard(ev)
	case LimitReceived:
		if _, known := p.servers[ev.Server]; known || ev.Limit.Named {
			p.learn(p.server(ev.Server), ev.Limit, ev.At)
		}
	case MessageReceived:
		p.received(ev.From, ev.Msg)
	case Tick:
		p.tick()
	}
	return p.out
}

// NextTick is when a Tick is due; zero for not at all.
func (p *Limiter) NextTick(now time.Time) time.Time {
	var next time.Time
	for _, s := range p.servers {
		due := s.touched.Add(forgetAfter)
		if s.limit.Named && s.owner == p.view.Self {
			due = s.toldAt.Add(tellEvery)
			if at, ok := s.issuer.nextIssue(now, p.rate(s)); ok && at.Before(due) {
				due = at
			}
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// viewed takes up who takes part.
func (p *Limiter) viewed(v Membership) {
	slices.Sort(v.Daemons)
	if !slices.Equal(v.Daemons, p.view.Daemons) {
		p.steady = p.now
	}
	for _, s := range p.servers { // what is due so far is due by the former part
		s.issuer.mint(p.now, p.rate(s))
	}
	p.view = v
	for _, s := range p.servers {
		if owner := p.ownerOf(s.life); owner != s.owner {
			p.setOwner(s, owner)
		}
	}
}

func (p *Limiter) ownerOf(life state.Life) state.DaemonID {
	owner, _ := rendezvous.Owner(life.String(), p.view.Daemons)
	return owner
}

// setOwner takes up who issues a server's permits from now on.
//
// Guard (two-owners): the former owner goes on until it has learned of the change. Were permits
// issued at once, a server would get twice its limit whenever daemons come and go.
func (p *Limiter) setOwner(s *server, owner state.DaemonID) {
	s.owner = owner
	s.issuer = issuer{at: p.now}
	if since := p.steady.Add(settle); p.now.Before(since) {
		s.issuer.at = since
	}
	s.holder.again = time.Time{}
	s.toldAt = p.now
}

// server finds or begins what is known of a server.
func (p *Limiter) server(life state.Life) *server {
	s, ok := p.servers[life]
	if !ok {
		s = &server{life: life}
		p.servers[life] = s
		p.setOwner(s, p.ownerOf(life))
	}
	s.touched = p.now
	return s
}

// heard takes up what an answer says.
//
// Guard (answer-from-before): answers that were on their way when a server named its limit name
// none. Taken for its end, daemons would drop the limit and take it up again for some seconds.
// So the answer to a request says that there was none when that was sent.
func (p *Limiter) heard(h LimitObserved) {
	if _, known := p.servers[h.Server]; !known && !h.Limit.Named {
		return
	}
	s := p.server(h.Server)
	at := p.now
	if !h.Limit.Named {
		at = h.Sent
	}
	if !p.learn(s, h.Limit, at) {
		return
	}
	if s.owner == p.view.Self {
		p.tell(s)
	} else if s.owner != "" {
		p.act(Send{To: s.owner, Msg: PermitRequest{Server: s.life, Known: p.known(s)}})
	}
}

// learn takes up a limit unless what is known is newer. It returns true if it is another one.
func (p *Limiter) learn(s *server, limit fleet.RateLimit, at time.Time) bool {
	if !at.After(s.at) {
		return false
	}
	s.at = at
	if s.limit == limit {
		return false
	}
	s.issuer.mint(p.now, p.rate(s))
	s.limit = limit
	if !limit.Named {
		s.holder, s.issuer = holder{waiting: s.holder.waiting}, issuer{at: p.now}
	}
	p.act(LimitChanged{LimitNotice{Server: s.life, Limit: limit}})
	return true
}

// received takes a message.
func (p *Limiter) received(from state.DaemonID, msg Message) {
	switch m := msg.(type) {
	case PermitRequest:
		p.asked(from, m)
	case PermitGrant:
		s := p.server(m.Server)
		p.learn(s, m.Known.Limit, p.now.Add(-m.Known.Age))
		if s.limit.Named {
			s.holder.take(p.now, m, p.life(s))
		}
	}
}

// asked takes a question of a daemon, or of this one.
func (p *Limiter) asked(from state.DaemonID, a PermitRequest) {
	s := p.server(a.Server)
	if p.learn(s, a.Known.Limit, p.now.Add(-a.Known.Age)) && s.owner == p.view.Self {
		p.tell(s)
	}
	if a.Count == 0 {
		return
	}
	if s.owner != p.view.Self || !s.limit.Named {
		// Its view differs, or the limit has ended: it learns what is known here.
		p.give(from, PermitGrant{Server: s.life, Known: p.known(s), RetryAfter: askLeast})
		return
	}
	s.issuer.ask(p.now, from, a.Count, p.rate(s))
	p.issue(s)
	if !a.AcceptLater {
		s.issuer.leave(from)
	}
	if !s.issuer.answered(from) {
		p.give(from, p.issueTo(s, from, 0))
	}
}

// issue gives out the permits that are due.
func (p *Limiter) issue(s *server) {
	for _, g := range s.issuer.issue(p.now, p.rate(s)) {
		p.give(g.to, p.issueTo(s, g.to, g.permits))
	}
}

// issueTo is the answer to a daemon that gets some permits now.
func (p *Limiter) issueTo(s *server, to state.DaemonID, n int) PermitGrant {
	rate := p.rate(s)
	m := PermitGrant{Server: s.life, Permits: n, Known: p.known(s)}
	m.NextIn, m.Interval = s.issuer.outlook(p.now, to, rate)
	if n == 0 || s.issuer.waits(to) {
		m.RetryAfter = s.issuer.again(rate)
	}
	return m
}

// give answers a daemon, which may be this one.
func (p *Limiter) give(to state.DaemonID, m PermitGrant) {
	if to == p.view.Self {
		p.received(to, m)
		return
	}
	p.act(Send{To: to, Msg: m})
}

// tick runs what is due.
func (p *Limiter) tick() {
	for life, s := range p.servers {
		if p.now.Sub(s.touched) >= forgetAfter {
			delete(p.servers, life)
			continue
		}
		p.askFor(s)
		if !s.limit.Named || s.owner != p.view.Self {
			continue
		}
		p.issue(s)
		if p.now.Sub(s.toldAt) >= tellEvery {
			p.tell(s)
		}
	}
}

// askFor asks for the permits that this daemon's requests need, if any are due.
func (p *Limiter) askFor(s *server) {
	if !s.holder.due || !s.limit.Named || s.owner == "" {
		return
	}
	s.holder.due = false
	s.holder.again = p.now.Add(askUnanswered)
	ask := PermitRequest{Server: s.life, Count: s.holder.wants(p.now, p.life(s)), AcceptLater: s.holder.waiting > 0, Known: p.known(s)}
	if s.owner == p.view.Self {
		p.asked(p.view.Self, ask)
		return
	}
	p.act(Send{To: s.owner, Msg: ask})
}

func (p *Limiter) tell(s *server) {
	s.toldAt = p.now
	p.act(Broadcast{LimitNotice{Server: s.life, Limit: s.limit}})
}

func (p *Limiter) known(s *server) LimitReport {
	return LimitReport{Limit: s.limit, Age: p.now.Sub(s.at)}
}

func (p *Limiter) act(a Action) { p.out = append(p.out, a) }

// leastRate is the requests a second that are sent to a server which takes none: nobody would
// learn otherwise that it takes some again.
const leastRate = 0.05

// rate is the permits a second that this daemon may issue for a server: its part of the limit.
//
// Guard (cut-in-parts): each side of a cut has an owner of its own, and would issue the whole
// limit. A side has the part of the limit that it is of the daemons, as long as those on other
// sides may be alive.
func (p *Limiter) rate(s *server) float64 {
	return max(s.limit.PerSecond, leastRate) * p.view.Share
}

// life is how long a permit can be spent.
func (p *Limiter) life(s *server) time.Duration {
	return permitLife(max(s.limit.PerSecond, leastRate))
}

// Owns reports whether this daemon issues a server's permits.
func (p *Limiter) Owns(life state.Life) bool {
	s, ok := p.servers[life]
	return ok && s.limit.Named && s.owner == p.view.Self
}
