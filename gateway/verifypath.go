package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// verifiedTime is for how long a probe's answer, here or at another daemon, lasts for a stream that goes on.
// Engines that stop together are probed together, as streams notice them.
const verifiedTime = probeResultTTL

// maxUnverifiedPaths is how many paths of one request may have servers that leave its probes unanswered. After that
// it waits for an answer of the servers of its path: many or all are silent, or this daemon reaches none.
const maxUnverifiedPaths = 2

// awaitedProbeTimeout is how long a request waits for such an answer before it looks for another path.
const awaitedProbeTimeout = time.Second

// verifyPath reports whether the request may be sent along the path of the current attempt. The servers of the
// path that other daemons tell to be silent are probed first and, if an earlier run of the request has broken
// off, those that have not been heard of lately.
//
// Guard (resumed-at-silent-engines): servers often stop together, and the first streams that notice would go
// on at those that are noticed next. These read them late, and no further server may run the streams.
//
// Guard (silent-engines-found-by-each): a server that stands still would get a stream of each daemon.
//
// Guard (repeats-among-silent-servers): a request that is sent to a silent server is read late, and has used up one
// of the servers that may run it.
func (r *requestHandler) verifyPath(ctx context.Context) bool {
	interval, now := pathVerifyInterval(r.route), time.Now()
	doubted := r.g.shared.toldSilent(now, r.path)
	if !r.retrier.NeverRan() {
		unheard := r.g.shared.unheardHops(now, r.path, interval)
		doubted = lo.Union(doubted, r.g.prober.withoutSign(now.Add(-verifiedTime), unheard))
	}
	silent := r.g.prober.unanswered(now.Add(-interval), doubted)
	if r.verified >= maxUnverifiedPaths {
		silent = r.g.prober.awaitAnswers(ctx, silent)
	}
	if len(silent) == 0 {
		return true
	}
	r.verified++
	for _, h := range silent {
		r.avoid(h.Address)
		r.g.log.Emit(telemetry.EventBackendUnverified, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Backend(h.Server.ID), telemetry.Address(h.Address))
	}
	go r.g.prober.checkHops(r.service.ID, silent, r.path)
	return false
}

// pathVerifyInterval is for how long a sign of life of an engine lasts for a stream that goes on: no longer than the
// silence after which streams notice that an engine stands still.
func pathVerifyInterval(route *fleet.Route) time.Duration {
	if route.Gap > 0 {
		return route.Gap / minSilenceDivisor
	}
	return minVerifyInterval
}

// unanswered probes hops before a request is sent along them, and returns those that leave the probe unanswered.
// A sign of life since a time serves as well.
func (p *prober) unanswered(since time.Time, hops []fleet.Hop) []fleet.Hop {
	var silent []fleet.Hop
	for i, result := range p.probeAllSince(probeVerify, since, hops) {
		switch result.outcome {
		case probeDead:
			silent = append(silent, hops[i])
		case probeAlive:
			p.g.shared.contradictSilentNotice(result.began(), hops[i].Server)
		case probeUnknown, probeNotSent:
		}
	}
	return silent
}

// awaitAnswers probes hops, with more time than usual to answer, and returns those that don't.
func (p *prober) awaitAnswers(ctx context.Context, hops []fleet.Hop) []fleet.Hop {
	ctx, cancel := context.WithTimeout(ctx, awaitedProbeTimeout)
	defer cancel()
	answered := make([]bool, len(hops))
	var all sync.WaitGroup
	for i, h := range hops {
		all.Go(func() {
			select {
			case result := <-p.awaited.DoChan(h.Address, func() (any, error) { return p.awaitAnswer(h), nil }):
				answered[i] = result.Val.(bool)
			case <-ctx.Done():
			}
		})
	}
	all.Wait()
	return lo.Filter(hops, func(_ fleet.Hop, i int) bool { return !answered[i] })
}

// awaitAnswer probes a hop with more time than usual to answer.
func (p *prober) awaitAnswer(h fleet.Hop) bool {
	ctx, cancel := context.WithTimeout(context.Background(), awaitedProbeTimeout)
	defer cancel()
	report, err := p.g.backends.Report(ctx, h.Address)
	outcome := probeDead
	if err == nil || errors.Is(err, backend.ErrNoReport) {
		outcome = probeAlive
		p.g.checkIncarnation(h.Server, h.Address, report.StartTime)
	}
	p.g.countProbe(probeAwaited, outcome)
	return outcome == probeAlive
}

// withoutSign returns the hops of which no probe's answer is known since a time, here or by another daemon.
func (p *prober) withoutSign(since time.Time, hops []fleet.Hop) []fleet.Hop {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.Reject(hops, func(h fleet.Hop, _ int) bool {
		r := p.results[h.Address]
		return r.outcome == probeAlive && r.began().After(since) || p.signs[h.Server].After(since)
	})
}

// unheardHops returns the hops of a path that no stream has shown to be alive within an interval.
func (s *sharedState) unheardHops(now time.Time, path fleet.Path, interval time.Duration) []fleet.Hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Filter(path, func(h fleet.Hop, _ int) bool {
		age, seen := s.suspects.SinceAlive(now, h.Address)
		return !seen || age >= interval
	})
}
