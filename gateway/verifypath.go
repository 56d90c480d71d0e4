package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// maxUnverifiedPaths is how many paths of one request may have servers that leave its probes unanswered.
// After that it is sent without probes: it may be this daemon that reaches none.
const maxUnverifiedPaths = 2

// verifyPath reports whether the request may be sent along the path of the current attempt. If an earlier run
// of it has broken off, the servers of the path that have not been heard of lately are probed first.
//
// Guard (resumed-at-silent-engines): servers often stop together, and the first streams that notice would go
// on at those that are noticed next. These read them late, and no further server may run the streams.
func (r *requestHandler) verifyPath() bool {
	if r.retrier.NeverRan() || r.verified >= maxUnverifiedPaths {
		return true
	}
	interval, now := r.pathVerifyInterval(), time.Now()
	unheard := r.g.shared.unheardHops(now, r.path, interval)
	results := r.g.prober.probeAllSince(probeVerify, now.Add(-interval), unheard)
	silent := lo.Filter(unheard, func(_ fleet.Hop, i int) bool { return results[i].outcome == probeDead })
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

// unheardHops returns the hops of a path that no stream has shown to be alive within an interval.
func (s *sharedState) unheardHops(now time.Time, path fleet.Path, interval time.Duration) []fleet.Hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Filter(path, func(h fleet.Hop, _ int) bool {
		age, seen := s.suspects.SinceAlive(now, h.Address)
		return !seen || age >= interval
	})
}
