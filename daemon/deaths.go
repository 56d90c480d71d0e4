package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// deadAfter is how many questions in a row a backend server must leave without
	// an answer before its layers are placed elsewhere. The instance list is too
	// late to tell, and one lost call is no reason to load weights.
	deadAfter = 3

	// deadAfterMany takes its place while most of the servers that this daemon
	// asks are silent. It may then be this daemon that is cut off, and others'
	// answers come in before it has told the fleet of deaths that are none.
	deadAfterMany = 15

	// fewServers is up to how many servers say nothing about this daemon.
	fewServers = 4

	// askedFor is how long a server counts among those that this daemon asks.
	askedFor = 30 * time.Second
)

// deathsPart counts the answers of the backend servers that layers are placed on,
// and tells the fleet which do not answer.
type deathsPart struct {
	c     *control
	asked map[state.BackendID]*lastHeard
}

// lastHeard is how a backend server answered of late.
type lastHeard struct {
	at       time.Time
	failures int // in a row
}

func newDeathsPart(c *control) *deathsPart {
	return &deathsPart{c: c, asked: make(map[state.BackendID]*lastHeard)}
}

// heard takes in whether a backend server answered a question.
func (p *deathsPart) heard(id state.BackendID, answered bool) {
	h, ok := p.asked[id]
	if !ok {
		h = &lastHeard{}
		p.asked[id] = h
	}
	h.at = p.c.now
	if answered {
		h.failures = 0
		if p.dead(id) {
			p.c.d.log.Emit(telemetry.EventBackendRecovered, telemetry.Backend(id))
			p.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendAvailable})
		}
		return
	}
	h.failures++
	if h.failures < p.bound() {
		return
	}
	if !p.dead(id) {
		p.c.d.log.Emit(telemetry.EventBackendDied, telemetry.Backend(id))
	}
	p.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendFailed})
}

// bound is how many failures in a row count as a death now.
func (p *deathsPart) bound() int {
	silent := 0
	for id, h := range p.asked {
		switch {
		case p.c.now.Sub(h.at) > askedFor:
			delete(p.asked, id)
		case h.failures > 0:
			silent++
		}
	}
	if len(p.asked) > fewServers && 2*silent > len(p.asked) {
		return deadAfterMany
	}
	return deadAfter
}

// dead reports whether the fleet holds a backend server for dead.
func (p *deathsPart) dead(id state.BackendID) bool {
	fact, ok := p.c.members.view.Backends[id]
	return ok && fact.Kind == membership.BackendFailed
}

// leaving reports whether a backend server is about to stop.
func (p *deathsPart) leaving(in platform.Instance) bool {
	fact, ok := p.c.members.view.Backends[state.BackendID(in.ID)]
	return in.Leaving || ok && fact.Kind == membership.BackendLeaving
}
