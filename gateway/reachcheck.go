package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// connectProbeTimeout is how long a connection of a check may take: a round trip to the
	// farthest region takes 40 ms.
	connectProbeTimeout = 150 * time.Millisecond
	// quickProbeTimeout is how long the connection of a quick check may take before a full check
	// follows.
	quickProbeTimeout = 50 * time.Millisecond
	// checkedServers is how many servers of a service a check connects to, and recheckedServers
	// the same while this daemon is cut off.
	checkedServers   = 8
	recheckedServers = 4
	// askedPeers is how many daemons a check asks whether they reach the servers, and furtherPeers
	// how many more if none of them does: they may be cut off together with this one.
	askedPeers   = 4
	furtherPeers = 8
	// askedServers is how many of the servers that are not reached they are asked for.
	askedServers = 4
	// askTimeout is how long their answers may take: they connect to the servers themselves.
	askTimeout = connectProbeTimeout + 100*time.Millisecond
)

// reachRequest asks a daemon how many of some servers of a service it reaches.
type reachRequest struct {
	Service   state.ServiceID `msgpack:"service"`
	Addresses []string        `msgpack:"addresses"`
}

// reachResponse answers a reachRequest.
type reachResponse struct {
	Reached int `msgpack:"reached"`
	// Unknown is set if the daemon could not find out.
	Unknown bool `msgpack:"unknown,omitempty"`
}

// checkServers connects to servers of a service, and lets other daemons connect to those that are
// not reached. If they reach them, it tries again.
//
// Guard (cut-off-stale-check): servers that return after this daemon's connections and before the
// other daemons' would be reached by others only.
func (c *reachChecker) checkServers(svc state.ServiceID, addresses []string) reach.CheckResult {
	failed, result := c.connectTo(addresses)
	if result != reach.ReachedByNone {
		return result
	}
	asked := failed[:min(len(failed), askedServers)]
	if result = c.askPeers(svc, asked); result != reach.ReachedByOthers {
		return result
	}
	if _, again := c.connectTo(asked); again != reach.ReachedByNone {
		return reach.Unknown
	}
	return reach.ReachedByOthers
}

// connectTo connects to servers and returns those that are not reached, and what that shows
// before other daemons are asked.
func (c *reachChecker) connectTo(addresses []string) ([]string, reach.CheckResult) {
	failed, ok := c.unreached(addresses, connectProbeTimeout)
	result := reach.ResultOf(len(addresses), len(failed))
	if !ok && result != reach.Reached {
		return failed, reach.Inconclusive
	}
	return failed, result
}

// listed returns the addresses of the servers of a service that are not leaving.
func (c *reachChecker) listed(svc state.ServiceID) []string {
	return lo.FilterMap(c.g.currentView.Load().servers[svc], func(s fleet.Server, _ int) (string, bool) { return s.Address, !s.Draining })
}

// unreached connects to servers at the same time and returns those that are not reached within a
// time. It returns false if that shows nothing.
//
// Guard (own-pause): a check during which this process was not running shows nothing.
func (c *reachChecker) unreached(addresses []string, timeout time.Duration) ([]string, bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reached := make([]bool, len(addresses))
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Go(func() { reached[i] = c.g.backends.Connect(ctx, address) == nil })
	}
	all.Wait()
	failed := lo.Filter(addresses, func(_ string, i int) bool { return !reached[i] })
	return failed, time.Since(began) <= timeout+probeOverrun
}

// askPeers asks other daemons whether they reach at least half of the servers.
//
// Guard (cut-off-peers-asked): where most daemons are cut off together, all of a few that are
// asked are likely to be among them.
// A daemon that does not answer in time shows nothing.
func (c *reachChecker) askPeers(svc state.ServiceID, addresses []string) reach.CheckResult {
	peers := lo.Samples(c.peersToAsk(svc), askedPeers+furtherPeers)
	first := min(len(peers), askedPeers)
	result := c.ask(svc, addresses, peers[:first])
	if result == reach.ReachedByOthers {
		return result
	}
	if further := c.ask(svc, addresses, peers[first:]); further != reach.ReachedByNone {
		return further
	}
	return result
}

// ask asks daemons at the same time whether they reach at least half of the servers.
func (c *reachChecker) ask(svc state.ServiceID, addresses, peers []string) reach.CheckResult {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answers := make(chan reach.CheckResult, len(peers))
	for _, address := range peers {
		go func() {
			answer, err := c.g.node.Call(ctx, address, reachRequest{Service: svc, Addresses: addresses})
			resp, _ := answer.Msg.(reachResponse)
			switch {
			case err != nil || resp.Unknown:
				answers <- reach.Inconclusive
			case resp.Reached > 0 && 2*resp.Reached >= len(addresses):
				answers <- reach.ReachedByOthers
			default:
				answers <- reach.ReachedByNone
			}
		}()
	}
	result := reach.ReachedByNone
	for range peers {
		switch <-answers {
		case reach.ReachedByOthers:
			return reach.ReachedByOthers
		case reach.Inconclusive:
			result = reach.Inconclusive
		default:
		}
	}
	return result
}

// peersToAsk returns the addresses of daemons that may reach servers which this one does not.
func (c *reachChecker) peersToAsk(svc state.ServiceID) []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []string
	for _, i := range c.g.currentView.Load().members.Members {
		if i.Member.ID != c.g.self.ID && i.State == membership.Alive && !c.tracker.OtherCutOffFrom(now, i.Member, svc) {
			usable = append(usable, i.Meta.PeerAddress)
		}
	}
	return usable
}

// answer answers a reachRequest.
func (c *reachChecker) answer(req reachRequest) reachResponse {
	listed := c.g.currentView.Load().servers[req.Service]
	addresses := lo.Filter(req.Addresses, func(address string, _ int) bool {
		return slices.ContainsFunc(listed, func(s fleet.Server) bool { return s.Address == address })
	})
	addresses = addresses[:min(len(addresses), checkedServers)]
	failed, ok := c.unreached(addresses, connectProbeTimeout)
	if !ok {
		return reachResponse{Unknown: true}
	}
	return reachResponse{Reached: len(addresses) - len(failed)}
}
