package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/singleflight"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
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

// reachChecker finds out whether this daemon is cut off from the servers of a service that
// others reach.
type reachChecker struct {
	g      *Gateway
	checks singleflight.Group // by service
	cutOff atomic.Bool        // from any service
	// startChecked is set once this daemon has checked the services after its start.
	startChecked atomic.Bool

	mu      sync.Mutex
	tracker *reach.Tracker
	since   time.Time // when this daemon last began to be cut off from a service
	// nextNotice is when this daemon tells the others again that it is cut off.
	nextNotice time.Time
	// inconclusive counts the checks in a row that showed nothing.
	inconclusive map[state.ServiceID]int
	// began is closed for each service that this daemon is cut off from.
	began map[state.ServiceID]chan struct{}
}

func newReachChecker(g *Gateway) *reachChecker {
	return &reachChecker{g: g, tracker: reach.NewTracker(g.startedAt), began: make(map[state.ServiceID]chan struct{}), inconclusive: make(map[state.ServiceID]int)}
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

// maxInconclusive is how many checks of a service in a row are repeated because they showed
// nothing.
const maxInconclusive = 8

// repeatInconclusive repeats a check that showed nothing, without waiting for another connection
// that fails.
func (c *reachChecker) repeatInconclusive(svc state.ServiceID, result reach.CheckResult, why trigger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result != reach.Inconclusive || c.inconclusive[svc] >= maxInconclusive {
		delete(c.inconclusive, svc)
		return
	}
	c.inconclusive[svc]++
	time.AfterFunc(reach.CheckInterval, func() { c.run(svc, reach.FullCheck, why) })
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
	defer c.startChecked.Store(true)
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
	for c.anyInconclusive() {
		select {
		case <-time.After(reach.CheckInterval):
		case <-c.g.done:
			return
		}
	}
}

// anyInconclusive reports whether a check is to be repeated because it showed nothing.
func (c *reachChecker) anyInconclusive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inconclusive) > 0
}

// joined handles a member that was seen alive, and left one that has left.
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
	result := c.checkServers(svc, addresses)
	c.repeatInconclusive(svc, result, why)
	return c.apply(svc, len(addresses), result, why)
}

// recheck checks a service that this daemon is cut off from. Other daemons are asked only if
// askPeers is set; until then it stays cut off if it reaches few servers.
func (c *reachChecker) recheck(svc state.ServiceID, askPeers bool) {
	addresses := lo.Samples(c.listed(svc), recheckedServers)
	failed, result := c.connectTo(addresses)
	switch {
	case len(addresses) == 0: // the service has no servers any more
		result = reach.ReachedByNone
	case result == reach.ReachedByNone && (!askPeers || c.askPeers(svc, failed) != reach.ReachedByNone):
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

// checkResultNames are the results of checks in metrics.
var checkResultNames = map[reach.CheckResult]string{
	reach.Unknown: "unknown", reach.Inconclusive: "inconclusive", reach.Reached: "reached", reach.ReachedByOthers: "reached_by_others", reach.ReachedByNone: "reached_by_none",
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
			return !c.startChecked.Load()
		}
		return c.tracker.Starting(now, i.Member)
	})
	if len(settled) == 0 {
		return connected
	}
	return settled
}
