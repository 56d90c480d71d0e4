package gateway

import (
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// view is what traffic goes by. It is never changed once published.
type view struct {
	config  *fleet.Config // nil until one is known
	servers map[state.ServiceID][]fleet.Server
	// listed is whether the servers were read at all.
	listed   bool
	members  *membership.View
	live     int // daemons that take part, this one included
	draining bool
}

// ready reports whether requests can be served.
func (v *view) ready() bool {
	return v.config != nil && v.listed && !v.draining
}

// server finds a server of a service by its address.
func (v *view) server(svc state.ServiceID, address string) (fleet.Server, bool) {
	return lo.Find(v.servers[svc], func(s fleet.Server) bool { return s.Address == address })
}
