package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// usable reports whether an entry names a server to be used: one of a service that the
// configuration knows and, of an engine, on a kind of card that it knows, with layers
// that the model has. Whoever wrote another one, nothing could be planned with it.
func usable(c *fleet.Config, s *fleet.Server) bool {
	if c == nil {
		return true // nothing is served yet
	}
	svc, ok := c.Services[s.Service]
	if !ok {
		return false
	}
	if svc.Engine == nil {
		return true
	}
	_, known := svc.Engine.Kinds[s.Kind]
	return known && s.Layers.To <= svc.Engine.Layers
}

// unreadable takes up an entry that can't be read: it names no server to use, also
// where a readable one of its name stood before.
func (p *listingPart) unreadable(id state.BackendID, revision uint64, cause error) {
	if p.bad[id] != revision {
		p.c.g.log.Emit(telemetry.EventBackendUnreadable, telemetry.Backend(id), telemetry.Cause(cause))
	}
	p.bad[id] = revision
	p.gone(id)
}
