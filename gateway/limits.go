package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Reasons of telemetry.GatewayLimitedTotal.
const limitedSent = "sent"

// heardLimit takes up the limit of requests that a server names in an answer. Only a whole
// answer of the server's own says by its silence that there is none: refusals may come from
// elsewhere.
func (g *Gateway) heardLimit(server state.Life, address string, a *backend.Answer) {
	if a.LimitUnreadable || !a.Limit.Named && (!a.Signed || a.NotRun) {
		return
	}
	if g.book.limited(server, a.Limit) {
		g.log.Emit(telemetry.EventBackendLimited, telemetry.Backend(server.ID), telemetry.Address(address),
			telemetry.Detail(a.Limit.String()))
	}
}

// countLimited counts a request that is sent to a server which names a limit.
func (g *Gateway) countLimited(server state.Life) {
	if g.book.limitOf(server).Named {
		g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedSent)
	}
}

// limited notes a server's limit. It returns false if that was known.
func (b *book) limited(server state.Life, l fleet.RateLimit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits[server] == l {
		return false
	}
	if l.Named {
		b.limits[server] = l
	} else {
		delete(b.limits, server)
	}
	return true
}

func (b *book) limitOf(server state.Life) fleet.RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits[server]
}
