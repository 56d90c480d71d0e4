package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// view is what traffic goes by. It is never changed once published.
type view struct {
	config  *fleet.Config // nil until one is known
	servers map[state.ServiceID][]fleet.Server
	// rosters are the engines of each service that has such, prepared for the choice of
	// paths by the first request that needs them.
	rosters map[state.ServiceID]func() *pathing.Roster
	// listed is whether the servers were read at all.
	listed bool
	// filling is whether requests had better wait for more servers to be listed.
	filling  bool
	members  *membership.View
	live     int // daemons that take part, this one included
	near     int // of those, in this one's failure domain
	found    int // daemons in the table of members when it was read; 0 for never
	sharers  retrybudget.SlackShare
	draining bool
}

// known reports whether the configuration and the servers are known.
func (v *view) known() bool { return v.config != nil && v.listed }

// ready reports whether requests can be served.
func (v *view) ready() bool { return v.known() && !v.draining }
