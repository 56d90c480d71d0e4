package membership

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Info is one member in a View.
type Info struct {
	Member   state.Member
	State    State
	Draining bool
	Meta     Meta
	// Digest is the last one that came from the member itself; DigestSeen is
	// false for members that this daemon does not watch.
	Digest     Digest
	DigestSeen bool
}

// Live reports whether the member takes part, suspect or not.
func (i Info) Live() bool {
	return i.State.live()
}

// BackendFact is what the fleet holds of one backend server.
type BackendFact struct {
	Kind     FactKind
	Reporter state.Member
	Observed time.Time // by this daemon's clock
	Until    time.Time // when the fact expires
}

// Reach is how much of the fleet this daemon is in contact with.
type Connectivity struct {
	// Answered is when the last probe that was answered went out: the last time
	// for which contact in both directions is proved. Zero if there was none.
	LastAcked time.Time
	// Live of Known members are held alive, this daemon included. Known also has
	// those held dead since less than Config.DeadKeep, who may be alive beyond a
	// break, and the listed addresses at which nobody is known; not those that
	// left.
	Live, Known int
	// Domains of KnownDomains failure domains have a live member.
	Domains, KnownDomains int
}

// InTouch is the time up to which this daemon can vouch for its view: now if it
// knows of nobody else.
func (r Connectivity) ConfirmedUntil(now time.Time) time.Time {
	if r.Known <= 1 {
		return now
	}
	return r.LastAcked
}

// Isolated reports whether contact is unproved for longer than silence, or less
// than share of the known daemons is held alive.
func (r Connectivity) Isolated(now time.Time, silence time.Duration, share float64) bool {
	if r.Known <= 1 {
		return false
	}
	return now.Sub(r.LastAcked) > silence || float64(r.Live) < share*float64(r.Known)
}

// View is an immutable snapshot. It may be read by any goroutine; nobody may
// change what it holds.
type View struct {
	Self         Info
	Members      []Info // by ID, this daemon included, dead and left ones too
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

// View gives the present snapshot.
func (m *Membership) View() *View {
	reach := m.reach()
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
		if s.kind != aboutBackend {
			continue
		}
		h := fs.byID[s]
		out[state.BackendID(s.id)] = BackendFact{
			Kind: h.fact.Kind, Reporter: h.fact.Reporter,
			Observed: h.observed, Until: h.until,
		}
	}
	return out
}

func (m *Membership) reach() Connectivity {
	r := Connectivity{LastAcked: m.health.answered, Known: len(m.strangers())}
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
