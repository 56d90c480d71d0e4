package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// slowConnect is how long a connection to a server may take before something is wrong with
// the server or the path to it: a round trip takes 1 to 40 ms.
const slowConnect = 150 * time.Millisecond

// watchConnect reports if the call of the current attempt has no connection after slowConnect.
// The caller stops the timer once the call has ended.
func (r *requestHandler) watchConnect() *time.Timer {
	r.connected.Store(false)
	server, address := r.path[0].Server, r.address
	return time.AfterFunc(slowConnect, func() {
		if r.connected.Load() {
			return
		}
		r.g.log.Emit(telemetry.EventConnectSlow, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID),
			telemetry.Backend(server.ID), telemetry.Address(address))
	})
}

// admit is called when the connection for the current attempt is ready. It reports whether the
// request may be sent to the server.
func (r *requestHandler) admit(server state.BackendIncarnation) bool {
	r.connected.Store(true)
	return !r.callerLeft() && r.g.shared.isWanted(time.Now(), server)
}
