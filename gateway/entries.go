package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// isUsable reports whether an entry describes a usable server: its service is in the
// configuration, and for an engine its accelerator kind is too and the model has its
// layers. Any other entry, whoever wrote it, can't be used for planning.
func isUsable(c *fleet.Config, s *fleet.Server) bool {
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

// handleUnreadable handles an entry that can't be decoded: it describes no server, even if
// a readable entry of the same name preceded it.
func (l *listingState) handleUnreadable(id state.BackendID, revision uint64, cause error) {
	if l.unreadable[id] != revision {
		l.c.g.log.Emit(telemetry.EventBackendUnreadable, telemetry.Backend(id), telemetry.Cause(cause))
	}
	l.unreadable[id] = revision
	l.removeServer(id)
}
