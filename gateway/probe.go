package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// serverProbeTimeout is how long a server may take to answer a probe. A live server
	// needs a round trip and no slot: about a millisecond.
	serverProbeTimeout = 25 * time.Millisecond
	// probeResultTTL is how long the result of a probe is reused for other streams: with a
	// longer time deaths are detected later, with a shorter one each slow stream costs a
	// probe.
	probeResultTTL = 250 * time.Millisecond
	// probeRate and probeBurst limit the probes of one daemon, which the site
	// pays for: a death has about ten suspects, and a site that is slow as a whole has none.
	probeRate  = 20 // per second
	probeBurst = 40
	// unframedProbeRate and unframedProbeBurst limit the probes of one daemon for answers without an
	// end mark: each of its answers may be one.
	unframedProbeRate  = 100 // per second
	unframedProbeBurst = 200
	// verifyProbeRate and verifyProbeBurst limit the probes of one daemon before requests: each of its
	// requests may need one.
	verifyProbeRate  = 50 // per second
	verifyProbeBurst = 100
	// minReprobeInterval is how often a dead server is probed again, or less often if many
	// daemons probe it.
	minReprobeInterval = 500 * time.Millisecond
	// maxReprobeRate is how many such probes per second a server gets from all daemons
	// together.
	maxReprobeRate = 100
	// reprobeDuration is how long a dead server is probed: if it stays dead, it leaves the
	// list sooner.
	reprobeDuration = 15 * time.Second
)

// probeOverrun is how far a probe may exceed serverProbeTimeout before its failure means
// nothing, because this process was not running meanwhile.
const probeOverrun = 30 * time.Millisecond

// prober finds out whether servers are alive by requesting their reports. Streams that
// stall at the same time share its probes.
type prober struct {
	g     *Gateway
	group singleflight.Group
	// awaited shares probes that have more time than usual to be answered.
	awaited singleflight.Group
	limit   *rate.Limiter
	// asks limits the questions to witnesses, ownerAsks those to owners of servers, asked the probes
	// that are sent as an owner, unframed those for answers without an end mark, and verify those before
	// requests.
	asks, ownerAsks, asked, unframed, verify *rate.Limiter
	owners                                   atomic.Pointer[probeOwners]

	mu      sync.Mutex
	results map[string]probeResult // by address
	// signs are when other daemons' traffic and probes last showed servers to be alive.
	signs map[state.BackendIncarnation]time.Time
}

// probeOutcome is what a probe shows of a server, and its name in metrics.
type probeOutcome string

// The values of probeOutcome.
const (
	probeAlive   probeOutcome = "alive"
	probeDead    probeOutcome = "dead"
	probeUnknown probeOutcome = "unknown"  // this process was not running while it waited
	probeNotSent probeOutcome = "not_sent" // the rate limit was reached
)

// probePurpose is why a probe is sent, and its name in metrics.
type probePurpose string

// The values of probePurpose.
const (
	probeSilence  probePurpose = "silence"  // a stream through the server is silent
	probeEnd      probePurpose = "end"      // a call broke off
	probeUnframed probePurpose = "unframed" // an answer without an end mark ended with its connection
	probeRecovery probePurpose = "recovery" // the server was found dead before
	probeRefusal  probePurpose = "refusal"  // the server refused a request
	probeAsked    probePurpose = "asked"    // another daemon asked for a sign of life
	probeVerify   probePurpose = "verify"   // a request is to be sent to a server that has not been heard of lately
	probeAwaited  probePurpose = "awaited"  // the same, and servers of other paths are silent
)

// countProbe counts a probe by its purpose and outcome.
func (g *Gateway) countProbe(purpose probePurpose, outcome probeOutcome) {
	g.metrics.CountReason(telemetry.GatewayProbesTotal, string(purpose)+":"+string(outcome))
}

// probeResult is the result of one probe. took and err say why a server counts as dead.
type probeResult struct {
	purpose   probePurpose
	at        time.Time
	outcome   probeOutcome
	took      time.Duration
	err       error
	startTime int64 // of the process that answered, as in state.BackendIncarnation.Born; 0 if unknown
}

// provesEnd reports whether the probe shows that a server's process has ended: no process listens
// at its address, or another one does. A server that does not answer may be unreachable.
func (r probeResult) provesEnd(server state.BackendIncarnation) bool {
	replaced := r.startTime != 0 && server.Born != 0 && r.startTime != server.Born
	return replaced || errors.Is(r.err, backend.ErrRefused)
}

func newProber(g *Gateway) *prober {
	return &prober{
		g: g, limit: rate.NewLimiter(probeRate, probeBurst), asks: rate.NewLimiter(askRate, askBurst), ownerAsks: rate.NewLimiter(askRate, askBurst), asked: rate.NewLimiter(probeRate, probeBurst),
		unframed: rate.NewLimiter(unframedProbeRate, unframedProbeBurst), verify: rate.NewLimiter(verifyProbeRate, verifyProbeBurst),
		results: make(map[string]probeResult), signs: make(map[state.BackendIncarnation]time.Time),
	}
}

// probe requests a server's report, unless there is a recent result.
func (p *prober) probe(purpose probePurpose, server state.BackendIncarnation, address string) probeResult {
	return p.probeSince(purpose, time.Time{}, server, address)
}

// probeSince requests a server's report, unless there is a recent result which shows that the
// server is dead, or that it was alive after a time. A probe that was under way at that time shows
// nothing: the server may have answered it before. That a server was alive before a request was sent to it
// shows nothing of a silence since.
func (p *prober) probeSince(purpose probePurpose, since time.Time, server state.BackendIncarnation, address string) probeResult {
	p.mu.Lock()
	old, ok := p.results[address]
	p.mu.Unlock()
	if ok && p.isFresh(old) && (old.outcome == probeDead || !old.began().Before(since) && (old.purpose != probeVerify || purpose == probeVerify)) {
		return old
	}
	result := p.sendShared(purpose, server, address)
	if result.outcome == probeAlive && result.began().Before(since) {
		result = p.sendShared(purpose, server, address)
	}
	return result
}

// sendShared sends one probe, or waits for the one that is under way.
func (p *prober) sendShared(purpose probePurpose, server state.BackendIncarnation, address string) probeResult {
	result, _, _ := p.group.Do(address, func() (any, error) {
		if !p.limitOf(purpose).Allow() {
			p.g.countProbe(purpose, probeNotSent)
			return probeResult{outcome: probeNotSent}, nil
		}
		return p.sendProbe(purpose, server, address), nil
	})
	return result.(probeResult)
}

// limitOf returns the limit of the probes for a purpose.
func (p *prober) limitOf(purpose probePurpose) *rate.Limiter {
	switch purpose {
	case probeAsked:
		return p.asked
	case probeUnframed:
		return p.unframed
	case probeVerify:
		return p.verify
	default:
		return p.limit
	}
}

// sendProbe sends one probe and stores its result.
func (p *prober) sendProbe(purpose probePurpose, server state.BackendIncarnation, address string) probeResult {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), serverProbeTimeout)
	defer cancel()
	report, err := p.g.backends.Report(ctx, address)
	if err == nil {
		p.g.checkIncarnation(server, address, report.StartTime)
		p.g.observePace(server, report)
	}
	out := probeResult{purpose: purpose, at: time.Now(), outcome: probeDead, took: time.Since(began), err: err, startTime: report.StartTime}
	switch {
	case err == nil, errors.Is(err, backend.ErrNoReport):
		out.outcome = probeAlive
		p.g.shared.settleLateCalls(out.at, address, began)
	case out.took > serverProbeTimeout+probeOverrun:
		out.outcome = probeUnknown
	}
	if errors.Is(err, backend.ErrRefused) {
		p.g.shared.settleLateCalls(out.at, address, began)
	}
	p.g.countProbe(purpose, out.outcome)
	p.mu.Lock()
	maps.DeleteFunc(p.results, func(_ string, old probeResult) bool { return !p.isFresh(old) }) // addresses come and go
	p.results[address] = out
	p.mu.Unlock()
	return out
}

// began is when the probe was sent.
func (r probeResult) began() time.Time { return r.at.Add(-r.took) }

// checkHops probes hops of a service concurrently. Those that do not answer are avoided until
// they do, and the streams through them are informed. suspected are the hops of the path that have shown
// no recent sign of life to this daemon, hops and those of which another daemon has one. It reports whether
// any hop is to be avoided.
func (p *prober) checkHops(svc state.ServiceID, hops, suspected []fleet.Hop) (dead bool) {
	results := p.probeAll(probeSilence, hops)
	p.reportUnreached(svc, hops, results)
	if len(suspected) > 1 && !p.isConnected() && !p.reachesAny(hops, suspected) {
		return false
	}
	for i, h := range hops {
		if results[i].outcome != probeDead {
			continue
		}
		dead = true
		p.handleDeath(h, results[i])
		for _, s := range p.g.shared.streamsThrough(h.Address) {
			s.hopDied(h, results[i].provesEnd(h.Server))
		}
	}
	return dead
}

// reachesAny probes one of the suspected hops that were not probed, as far as there is one, and reports
// whether it answers.
//
// Guard (cut-off-beside-signs): the hops that live are not probed if other daemons have seen them. Without
// their answers, nothing tells servers that have died together from a daemon that reaches none.
func (p *prober) reachesAny(probed, suspected []fleet.Hop) bool {
	control, ok := lo.Find(suspected, func(h fleet.Hop) bool { return !slices.Contains(probed, h) })
	return ok && p.probe(probeSilence, control.Server, control.Address).outcome == probeAlive
}

// reportUnreached reports the servers that did not answer, to which this daemon may have lost its
// links.
func (p *prober) reportUnreached(svc state.ServiceID, hops []fleet.Hop, results []probeResult) {
	for i, result := range results {
		if result.outcome == probeDead && !result.provesEnd(hops[i].Server) {
			go p.g.reach.connectFailed(svc, hops[i].Address)
		}
	}
}

// endedHops probes all hops concurrently, and returns those whose process has ended, also if they were alive
// before a time. Whether they are to be avoided is left to the streams that they stall.
func (p *prober) endedHops(since time.Time, hops []fleet.Hop) []fleet.Hop {
	var ended []fleet.Hop
	for i, result := range p.probeAllSince(probeEnd, since, hops) {
		if result.provesEnd(hops[i].Server) {
			ended = append(ended, hops[i])
		}
	}
	return ended
}

func (p *prober) probeAll(purpose probePurpose, hops []fleet.Hop) []probeResult {
	return p.probeAllSince(purpose, time.Time{}, hops)
}

// probeAllSince probes hops concurrently, as probeSince does each.
func (p *prober) probeAllSince(purpose probePurpose, since time.Time, hops []fleet.Hop) []probeResult {
	results := make([]probeResult, len(hops))
	var all sync.WaitGroup
	for i, h := range hops {
		all.Go(func() { results[i] = p.probeSince(purpose, since, h.Server, h.Address) })
	}
	all.Wait()
	return results
}

// allAlive reports whether all probes were answered. One that was not sent shows nothing.
func allAlive(results []probeResult) bool {
	return lo.EveryBy(results, func(r probeResult) bool { return r.outcome == probeAlive })
}

// isConnected reports whether any server has answered a recent probe, which proves that
// this daemon itself is not cut off.
//
// Guard (probe-not-sent): a probe that was not sent proves nothing. A daemon that is cut off
// and has used up its rate would otherwise mark live servers dead and end their streams.
func (p *prober) isConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.results {
		if r.outcome == probeAlive && p.isFresh(r) {
			return true
		}
	}
	return false
}

// handleDeath excludes a dead server, and probes it until it answers again or
// reprobeDuration has passed.
func (p *prober) handleDeath(h fleet.Hop, result probeResult) {
	if !p.g.shared.markDead(h.Address, result.provesEnd(h.Server)) {
		return
	}
	p.g.log.Emit(telemetry.EventBackendDead, telemetry.Backend(h.Server.ID), telemetry.Address(h.Address),
		telemetry.Duration(result.took), telemetry.Cause(result.err))
	go func() {
		until := time.Now().Add(reprobeDuration)
		for probes := 0; time.Now().Before(until); probes++ {
			wait := min(p.recoveryInterval(probes, result.provesEnd(h.Server)), time.Until(until))
			p.g.tellSilent(h, wait)
			select {
			case <-p.g.done:
				return
			case <-time.After(wait):
			}
			if p.g.currentSettings().Contention.ProbeByTraffic && !p.g.currentView.Load().lists(h) {
				break
			}
			if p.probe(probeRecovery, h.Server, h.Address).outcome == probeAlive {
				p.g.clearDead(h.Address)
				p.g.log.Emit(telemetry.EventBackendRecovered, telemetry.Backend(h.Server.ID), telemetry.Address(h.Address))
				return
			}
		}
		p.g.clearDead(h.Address)
	}()
}

// clearDead reverts markDead: the server may be used again.
func (g *Gateway) clearDead(address string) {
	g.shared.clearDead(address)
	g.waits.changed()
}

// reprobeInterval is how often each of some daemons probes a dead server again.
//
// Guard (probes-kept-alone): each daemon that had streams through a server probes it until
// it comes back. If each did so at the rate allowed for one daemon, hundreds of them would
// send a starting server as many probes as it takes requests.
func reprobeInterval(daemons int) time.Duration {
	return max(minReprobeInterval, time.Duration(daemons)*time.Second/maxReprobeRate)
}
