package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// verifiedTime is for how long a probe's answer, here or at another daemon, lasts for a stream that goes on.
// Engines that stop together are probed together, as streams notice them.
const verifiedTime = probeResultTTL

// maxUnverifiedPaths is how many paths of one request may have servers that leave its probes unanswered.
// After that it is sent without probes: it may be this daemon that reaches none.
const maxUnverifiedPaths = 2

// verifyPath reports whether the request may be sent along the path of the current attempt. The servers of the
// path that other daemons tell to be silent are probed first and, if an earlier run of the request has broken
// off, those that have not been heard of lately.
//
// Guard (resumed-at-silent-engines): servers often stop together, and the first streams that notice would go
// on at those that are noticed next. These read them late, and no further server may run the streams.
//
// Guard (silent-engines-found-by-each): a server that stands still would get a stream of each daemon.
func (r *requestHandler) verifyPath() bool {
	if r.verified >= maxUnverifiedPaths {
		return true
	}
	interval, now := r.pathVerifyInterval(), time.Now()
	doubted := r.g.shared.toldSilent(now, r.path)
	if !r.retrier.NeverRan() {
		unheard := r.g.shared.unheardHops(now, r.path, interval)
		doubted = lo.Union(doubted, r.g.prober.withoutSign(now.Add(-verifiedTime), unheard))
	}
	results := r.g.prober.probeAllSince(probeVerify, now.Add(-interval), doubted)
	var silent []fleet.Hop
	for i, h := range doubted {
		switch results[i].outcome {
		case probeDead:
			silent = append(silent, h)
		case probeAlive:
			r.g.shared.contradictSilentNotice(results[i].began(), h.Server)
		case probeUnknown, probeNotSent:
		}
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

// pathVerifyInterval is for how long a sign of life of an engine lasts for a stream that goes on: no longer
// than the silence after which streams notice that an engine stands still.
func (r *requestHandler) pathVerifyInterval() time.Duration {
	if r.route.Gap > 0 {
		return r.route.Gap / minSilenceDivisor
	}
	return minVerifyInterval
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
