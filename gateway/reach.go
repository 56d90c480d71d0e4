package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/singleflight"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
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

// toldCheckSpread is the time over which daemons spread the checks that a notice leads to.
const toldCheckSpread = 200 * time.Millisecond

// trigger is what led to a check, in logs.
type trigger string

// The values of trigger.
const (
	triggerConnection   trigger = "connection_failed"
	triggerNotice       trigger = "notice"
	triggerOtherService trigger = "other_service"
	triggerStart        trigger = "start"
)

// reachRequest asks a daemon how many of some servers of a service it reaches.
type reachRequest struct {
	Service   state.ServiceID `msgpack:"service"`
	Addresses []string        `msgpack:"addresses"`
}

// reachResponse answers a reachRequest.
type reachResponse struct {
	Reached int `msgpack:"reached"`
}

// reachChecker finds out whether this daemon is cut off from the servers of a service that
// others reach.
type reachChecker struct {
	g      *Gateway
	checks singleflight.Group // by service
	cutOff atomic.Bool        // from any service
	// checked is set once this daemon has checked the services after its start.
	checked atomic.Bool

	mu      sync.Mutex
	tracker *reach.Tracker
	since   time.Time // when this daemon last began to be cut off from a service
	// nextNotice is when this daemon tells the others again that it is cut off.
	nextNotice time.Time
	// began is closed for each service that this daemon is cut off from.
	began map[state.ServiceID]chan struct{}
}

func newReachChecker(g *Gateway) *reachChecker {
	return &reachChecker{g: g, tracker: reach.NewTracker(g.startedAt), began: make(map[state.ServiceID]chan struct{})}
}

// CutOff reports whether this gateway is cut off from the servers of a service that other
// gateways reach: callers should use those.
func (g *Gateway) CutOff() bool { return g.reach.cutOff.Load() }

func (c *reachChecker) connected(svc state.ServiceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Connected(svc)
}

// cutOffFrom reports whether this daemon is cut off from a service.
func (c *reachChecker) cutOffFrom(svc state.ServiceID) bool {
	if !c.cutOff.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.CutOff(svc)
}

// whenCutOff returns a channel that is closed once this daemon is cut off from a service.
func (c *reachChecker) whenCutOff(svc state.ServiceID) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.beganChannel(svc)
}

func (c *reachChecker) beganChannel(svc state.ServiceID) chan struct{} {
	if c.began[svc] == nil {
		c.began[svc] = make(chan struct{})
	}
	return c.began[svc]
}

// receive applies another daemon's notice, and checks the services that it is cut off from.
//
// Guard (cut-off-learned-alone): a daemon that is asked seldom for a service would learn from its
// own callers' failures, seconds later, what another one has found out already.
func (c *reachChecker) receive(at time.Time, from state.Member, n reach.Notice) {
	c.mu.Lock()
	c.tracker.Receive(at, from, n)
	c.mu.Unlock()
	if !c.g.currentView.Load().known() {
		return
	}
	for _, svc := range n.Services {
		c.mu.Lock()
		due := c.tracker.CheckTold(time.Now(), svc)
		c.mu.Unlock()
		if due != reach.NoCheck {
			// All daemons receive the notice at about the same time.
			time.AfterFunc(rand.N(toldCheckSpread), func() { c.run(svc, due, triggerNotice) })
		}
	}
}

// connectFailed handles a new connection that failed or takes too long, and returns once it is
// known whether this daemon is cut off from the service.
func (c *reachChecker) connectFailed(svc state.ServiceID, address string) {
	servers := len(c.g.currentView.Load().servers[svc])
	c.mu.Lock()
	c.tracker.ConnectFailed(time.Now(), svc, address)
	due := c.tracker.CheckDue(time.Now(), svc, servers)
	c.mu.Unlock()
	c.run(svc, due, triggerConnection)
}

// run runs a check of a service unless one is running.
func (c *reachChecker) run(svc state.ServiceID, kind reach.Check, why trigger) {
	if kind == reach.NoCheck {
		return
	}
	_, _, _ = c.checks.Do(string(svc), func() (any, error) {
		if kind == reach.QuickCheck && c.reachesOne(svc) {
			return nil, nil
		}
		if c.check(svc, why) {
			go c.whileCutOff(svc)
			go c.checkOthers(svc)
		}
		return nil, nil
	})
}

// reachesOne connects to one server of a service, and to none at which connections fail
// already. It reports whether that shows that the service is reached or has no such server.
func (c *reachChecker) reachesOne(svc state.ServiceID) bool {
	c.mu.Lock()
	untried := lo.Reject(c.listed(svc), func(address string, _ int) bool { return c.tracker.Failing(svc, address) })
	c.mu.Unlock()
	failed, ok := c.unreached(lo.Samples(untried, 1), quickProbeTimeout)
	if len(untried) == 0 || !ok || len(failed) > 0 {
		return false
	}
	c.connected(svc)
	return true
}

// checkOthers checks the other services once this daemon is cut off from one.
func (c *reachChecker) checkOthers(lost state.ServiceID) {
	for svc := range c.g.currentView.Load().config.Services {
		if svc != lost && !c.cutOffFrom(svc) {
			go c.run(svc, reach.QuickCheck, triggerOtherService)
		}
	}
}

// checkAtStart checks all services once they are known.
//
// Guard (cut-off-at-start): the successor of a process that was cut off knows nothing of that.
func (c *reachChecker) checkAtStart() {
	defer c.checked.Store(true)
	select {
	case <-c.g.control.known:
	case <-c.g.done:
		return
	}
	var all sync.WaitGroup
	for svc := range c.g.currentView.Load().config.Services {
		if len(c.listed(svc)) > 0 {
			all.Go(func() { c.run(svc, reach.QuickCheck, triggerStart) })
		}
	}
	all.Wait()
}

// joined handles a member that was seen alive, and left one that has ended.
func (c *reachChecker) joined(now time.Time, other state.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Joined(now, other)
}

func (c *reachChecker) left(id state.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Left(id)
}

// check checks a service and reports whether this daemon has just turned out to be cut off.
func (c *reachChecker) check(svc state.ServiceID, why trigger) bool {
	addresses := lo.Samples(c.listed(svc), checkedServers)
	return c.apply(svc, len(addresses), c.checkServers(svc, addresses), why)
}

// recheck checks a service that this daemon is cut off from. Other daemons are asked only if
// askPeers is set; until then it stays cut off if it reaches few servers.
func (c *reachChecker) recheck(svc state.ServiceID, askPeers bool) {
	addresses := lo.Samples(c.listed(svc), recheckedServers)
	failed, result := c.connectTo(addresses)
	if result == reach.ReachedByNone && (!askPeers || c.reachedByPeers(svc, failed)) {
		result = reach.ReachedByOthers
	}
	c.apply(svc, len(addresses), result, triggerConnection)
}

// apply applies the result of a check with some servers, and reports whether this daemon has
// just turned out to be cut off.
func (c *reachChecker) apply(svc state.ServiceID, servers int, result reach.CheckResult, why trigger) bool {
	c.mu.Lock()
	changed := c.tracker.Checked(svc, result)
	cutOff := c.tracker.CutOff(svc)
	c.cutOff.Store(c.tracker.CutOffFromAny())
	switch {
	case changed && cutOff:
		close(c.beganChannel(svc))
	case changed:
		delete(c.began, svc)
	}
	c.mu.Unlock()
	c.g.metrics.CountReason(telemetry.GatewayReachChecksTotal, checkResultNames[result])
	if changed {
		c.logChange(svc, servers, lo.Ternary(cutOff, string(why), checkResultNames[result]))
		if !cutOff {
			c.notify()
		}
	}
	return changed && cutOff
}

// logChange logs that this daemon is cut off from a service, or no longer.
func (c *reachChecker) logChange(svc state.ServiceID, servers int, detail string) {
	now := time.Now()
	c.mu.Lock()
	cutOff, failing := c.tracker.CutOff(svc), c.tracker.FailingFor(now, svc)
	if cutOff {
		c.since = now
	}
	c.mu.Unlock()
	event := lo.Ternary(cutOff, telemetry.EventCutOffBegan, telemetry.EventCutOffEnded)
	c.g.log.Emit(event, telemetry.Service(svc), telemetry.Count(servers), telemetry.Duration(failing), telemetry.Detail(detail))
}

// addressSpread is how long after a gateway is cut off the others may name it to callers.
const addressSpread = 500 * time.Millisecond

// countRefused counts a request that is not served since this daemon is cut off.
func (c *reachChecker) countRefused() {
	c.mu.Lock()
	named := time.Since(c.since) < maxAddressTTL+addressSpread
	c.mu.Unlock()
	c.g.metrics.CountReason(telemetry.GatewayCutOffTotal, lo.Ternary(named, "cached_address", "not_named"))
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
	if !c.reachedByPeers(svc, asked) {
		return reach.ReachedByNone
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
		return failed, reach.Unknown
	}
	return failed, result
}

// checkResultNames are the results of checks in metrics.
var checkResultNames = map[reach.CheckResult]string{
	reach.Unknown: "unknown", reach.Reached: "reached", reach.ReachedByOthers: "reached_by_others", reach.ReachedByNone: "reached_by_none",
}

// notify tells the other daemons whether this one is cut off.
func (c *reachChecker) notify() {
	now := time.Now()
	c.mu.Lock()
	notice, interval := c.tracker.Notice(now, c.g.self.ID)
	c.nextNotice = now.Add(interval)
	c.mu.Unlock()
	c.g.broadcast(notice)
}

// repeatNotice tells the other daemons again that this one is cut off if that is due.
func (c *reachChecker) repeatNotice() {
	c.mu.Lock()
	due := time.Now().After(c.nextNotice)
	c.mu.Unlock()
	if due {
		c.notify()
	}
}

// whileCutOff repeats the check of a service until this daemon is no longer cut off from it.
func (c *reachChecker) whileCutOff(svc state.ServiceID) {
	c.notify()
	askedAt := time.Now()
	for c.cutOffFrom(svc) {
		select {
		case <-c.g.done:
			return
		case <-time.After(reach.RecheckInterval):
		}
		c.dropUnlisted()
		askPeers := time.Since(askedAt) >= reach.NoneInterval
		if askPeers {
			askedAt = time.Now()
		}
		c.recheck(svc, askPeers)
		if c.cutOffFrom(svc) {
			c.repeatNotice()
		}
	}
}

// dropUnlisted drops the services that the configuration no longer has, and tells the other
// daemons if this one was cut off from one of them.
func (c *reachChecker) dropUnlisted() {
	config := c.g.currentView.Load().config
	listed := func(id state.ServiceID) bool { _, ok := config.Services[id]; return ok }
	c.mu.Lock()
	before := len(c.tracker.Lost())
	c.tracker.Keep(listed)
	maps.DeleteFunc(c.began, func(id state.ServiceID, _ chan struct{}) bool { return !listed(id) })
	lost := len(c.tracker.Lost())
	c.cutOff.Store(lost > 0)
	c.mu.Unlock()
	if lost < before {
		c.notify()
	}
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

// reachedByPeers reports whether another daemon reaches at least half of the servers.
//
// Guard (cut-off-peers-asked): where most daemons are cut off together, all of a few that are
// asked are likely to be among them.
func (c *reachChecker) reachedByPeers(svc state.ServiceID, addresses []string) bool {
	peers := lo.Shuffle(c.peersToAsk(svc))
	first := min(len(peers), askedPeers)
	return c.reachedByAny(svc, addresses, peers[:first]) ||
		c.reachedByAny(svc, addresses, peers[first:min(len(peers), first+furtherPeers)])
}

// reachedByAny asks daemons at the same time whether they reach at least half of the servers.
func (c *reachChecker) reachedByAny(svc state.ServiceID, addresses, peers []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answers := make(chan int, len(peers))
	for _, address := range peers {
		go func() {
			answer, err := c.g.node.Call(ctx, address, reachRequest{Service: svc, Addresses: addresses})
			if err != nil {
				answers <- 0 // not every daemon is reached, and older versions do not know the call
				return
			}
			resp, _ := answer.Msg.(reachResponse)
			answers <- resp.Reached
		}()
	}
	for range peers {
		if reached := <-answers; reached > 0 && 2*reached >= len(addresses) {
			return true
		}
	}
	return false
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
		return reachResponse{}
	}
	return reachResponse{Reached: len(addresses) - len(failed)}
}

// isConnectFailure reports whether a call failed because no connection was established.
func isConnectFailure(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, backend.ErrNotSent) && !errors.Is(err, backend.ErrWithdrawn)
}

// listedForCallers returns the daemons that callers should use of those that accept requests: those
// that are not cut off, of these those that have not just started, if there are any.
func (c *reachChecker) listedForCallers(accepting []membership.Info) []membership.Info {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	connected := lo.Reject(accepting, func(i membership.Info, _ int) bool {
		if i.Member.ID == c.g.self.ID {
			return c.cutOff.Load()
		}
		return c.tracker.OtherCutOff(now, i.Member)
	})
	if len(connected) == 0 {
		connected = accepting
	}
	settled := lo.Reject(connected, func(i membership.Info, _ int) bool {
		if i.Member.ID == c.g.self.ID {
			return !c.checked.Load()
		}
		return c.tracker.Starting(now, i.Member)
	})
	if len(settled) == 0 {
		return connected
	}
	return settled
}
