package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// deadAfter is how many questions in a row a backend server must leave without an
// answer before its layers are placed elsewhere. The instance list is too late to
// tell, and one lost call is no reason to load weights.
const deadAfter = 3

// deathsPart counts the answers of the backend servers that layers are placed on,
// and tells the fleet which do not answer.
type deathsPart struct {
	c      *control
	failed map[state.BackendID]int
}

func newDeathsPart(c *control) *deathsPart {
	return &deathsPart{c: c, failed: make(map[state.BackendID]int)}
}

// heard takes in whether a backend server answered a question.
func (p *deathsPart) heard(id state.BackendID, answered bool) {
	if answered {
		delete(p.failed, id)
		if p.dead(id) {
			p.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendAvailable})
		}
		return
	}
	p.failed[id]++
	if p.failed[id] < deadAfter {
		return
	}
	if p.failed[id] == deadAfter {
		p.c.d.log.Emit(telemetry.EventBackendDied, telemetry.Backend(id))
	}
	p.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendFailed})
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
