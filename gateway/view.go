package gateway

import (
	"sync"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// view is the snapshot that traffic uses. It is immutable once published.
type view struct {
	config  *fleet.Config // nil until one is known
	servers map[state.ServiceID][]fleet.Server
	// rosters are the engines of each service that has any, prepared for path choice by the
	// first request that needs them.
	rosters map[state.ServiceID]func() *pathing.Roster
	// scales order the requests of each service by urgency; the first request that needs one
	// computes it.
	scales map[state.ServiceID]func() urgency.Scale
	// serversKnown is set once the server list has been read.
	serversKnown bool
	// populating is set while requests should wait for more servers to be listed.
	populating   bool
	members      *membership.View
	live         int // live daemons, including this one
	liveInDomain int // of those, in this daemon's failure domain
	// liveByDomain counts them in each failure domain.
	liveByDomain map[state.FailureDomain]int
	memberRows   int // daemons in the table of members when it was read; 0 for never
	siteSize     int // daemons of the site, also those that were seen last a short time ago; 0 if unknown
	slackShare   retrybudget.SlackShare
	draining     bool
}

// known reports whether the configuration and the servers are known.
func (v *view) known() bool { return v.config != nil && v.serversKnown }

// ready reports whether requests can be served.
func (v *view) ready() bool { return v.known() && !v.draining }

// liveDaemonsIn returns the number of live daemons in a failure domain, at least 1.
func (v *view) liveDaemonsIn(domain state.FailureDomain) int { return max(v.liveByDomain[domain], 1) }

// scaleOf returns the order of a service's requests by urgency.
func (v *view) scaleOf(service state.ServiceID) urgency.Scale {
	scale := v.scales[service]
	if scale == nil {
		return urgency.Scale{}
	}
	return scale()
}

// lazyScales defers the computation of each service's order until a request needs it.
func lazyScales(c *fleet.Config) map[state.ServiceID]func() urgency.Scale {
	out := make(map[state.ServiceID]func() urgency.Scale, len(c.Services))
	for id := range c.Services {
		out[id] = sync.OnceValue(func() urgency.Scale { return urgency.ScaleOf(c, id) })
	}
	return out
}
