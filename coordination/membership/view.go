package membership

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Info describes one member in a View.
type Info struct {
	Member   state.Member
	State    State
	Draining bool
	Meta     Meta
	// Digest is the last one received from the member itself. DigestSeen is false for members
	// that this daemon does not monitor.
	Digest     Digest
	DigestSeen bool
}

// Live reports whether the member is alive or suspect.
func (i Info) Live() bool {
	return i.State.live()
}

// BackendFact is the known state of one backend server.
type BackendFact struct {
	Kind     FactKind
	Reporter state.Member
	Observed time.Time // on the local clock
	Until    time.Time // when the fact expires
}

// Connectivity describes how much of the site this daemon is in contact with.
type Connectivity struct {
	// LastAcked is when the last acknowledged probe was sent: the last time at which contact in
	// both directions is proved. It is zero if there was none.
	LastAcked time.Time
	// Live of Known members are considered alive, this daemon included. Known also counts
	// members that were declared dead within Config.DeadRetention, which may be alive in
	// another partition, and listed addresses at which no member is known, but not members that
	// left.
	Live, Known int
	// Domains of KnownDomains failure domains have a live member.
	Domains, KnownDomains int
}

// ConfirmedUntil returns the time up to which this daemon can rely on its view: now if it knows
// of no other daemon.
func (r Connectivity) ConfirmedUntil(now time.Time) time.Time {
	if r.Known <= 1 {
		return now
	}
	return r.LastAcked
}

// Isolated reports whether contact has been unconfirmed for longer than silence, or less than
// the given share of the known daemons is considered alive.
func (r Connectivity) Isolated(now time.Time, silence time.Duration, share float64) bool {
	if r.Known <= 1 {
		return false
	}
	return now.Sub(r.LastAcked) > silence || float64(r.Live) < share*float64(r.Known)
}

// View is an immutable snapshot. Any goroutine may read it; none may modify its contents.
type View struct {
	Self         Info
	Members      []Info // by ID, including this daemon and dead and left members
	Backends     map[state.BackendID]BackendFact
	Connectivity Connectivity
}

// Lookup finds a member by ID.
func (v *View) Lookup(id state.DaemonID) (Info, bool) {
	for _, i := range v.Members {
		if i.Member.ID == id {
			return i, true
		}
	}
	return Info{}, false
}

// View returns the current snapshot.
func (m *Membership) View() *View {
	reach := m.connectivity()
	if m.view != nil && m.view.Connectivity == reach {
		return m.view
	}
	v := &View{Connectivity: reach, Self: m.self.info()}
	if m.view != nil {
		v.Members, v.Backends = m.view.Members, m.view.Backends
	} else {
		v.Members = make([]Info, 0, len(m.table.sorted))
		for _, e := range m.table.sorted {
			v.Members = append(v.Members, e.info())
		}
		v.Backends = m.facts.backends()
	}
	m.view = v
	return v
}

func (e *entry) info() Info {
	return Info{
		Member: e.member(), State: e.state, Draining: e.draining, Meta: e.meta,
		Digest: e.digest, DigestSeen: e.digestSeen,
	}
}

func (fs *facts) backends() map[state.BackendID]BackendFact {
	out := make(map[state.BackendID]BackendFact)
	for _, s := range fs.sorted {
		if s.kind != subjectBackend {
			continue
		}
		h := fs.byID[s]
		out[state.BackendID(s.id)] = BackendFact{
			Kind: h.fact.Kind, Reporter: h.fact.Reporter,
			Observed: h.observed, Until: h.expiresAt,
		}
	}
	return out
}

func (m *Membership) connectivity() Connectivity {
	r := Connectivity{LastAcked: m.health.lastAcked, Known: len(m.unknownSeeds())}
	domains := make(map[state.FailureDomain]bool)
	for _, e := range m.table.sorted {
		if e.state == Left {
			continue
		}
		r.Known++
		if e.state.live() {
			r.Live++
		}
		domains[e.meta.Domain] = domains[e.meta.Domain] || e.state.live()
	}
	r.KnownDomains = len(domains)
	for _, live := range domains {
		if live {
			r.Domains++
		}
	}
	return r
}
