package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// minVerifyInterval is for how long a sign of life of a plain server lasts at least: a server that is
	// used more often is not probed.
	minVerifyInterval = 50 * time.Millisecond
	// maxUnverified is how many servers of one request may leave its probes unanswered. After that it is
	// sent without one: it may be this daemon that reaches none.
	maxUnverified = 2
)

// verifyServer reports whether the request may be sent to the plain server of the current attempt. A
// server that has not been heard of lately is probed first, if servers of its service have been silent.
//
// Guard (copies-at-silent-servers-add-up): a request at a server that stands still is repeated elsewhere,
// and read late. A daemon with few requests has no other sign that a server stands still.
func (r *requestHandler) verifyServer() bool {
	hop, now := r.path[0], time.Now()
	interval := r.g.verifyInterval()
	if len(r.unverified) >= maxUnverified || r.unverified[hop.Address] || !r.g.shared.verifyDue(now, r.service.ID, hop.Server, interval) {
		return true
	}
	result := r.g.prober.probeSince(probeVerify, now.Add(-interval), hop.Server, hop.Address)
	if result.outcome == probeAlive {
		r.g.shared.heard(result.began(), r.service.ID, hop.Server)
	}
	if result.outcome != probeDead || result.provesEnd(hop.Server) {
		return true
	}
	if r.unverified == nil {
		r.unverified = make(map[string]bool)
	}
	r.unverified[hop.Address] = true
	r.g.log.Emit(telemetry.EventBackendUnverified, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Backend(hop.Server.ID), telemetry.Address(hop.Address))
	go r.g.checkUnverified(r.service.ID, hop)
	return false
}

// verifyInterval is for how long a sign of life of a plain server lasts, so that all daemons together
// probe it no more often than a dead one.
func (g *Gateway) verifyInterval() time.Duration {
	return max(minVerifyInterval, time.Duration(g.currentView.Load().live)*time.Second/maxReprobeRate)
}

// checkUnverified probes a plain server once more that has left a probe unanswered, and keeps requests
// from it if that is in vain too while another server of the service answers.
func (g *Gateway) checkUnverified(svc state.ServiceID, hop fleet.Hop) {
	if g.prober.sendShared(probeSilence, hop.Server, hop.Address).outcome == probeDead && g.prober.isSilent(svc, hop) {
		g.holdSilent(svc, hop)
	}
}

func (s *sharedState) verifyDue(now time.Time, svc state.ServiceID, server state.BackendIncarnation, interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.VerifyDue(now, svc, server, interval)
}

func (s *sharedState) heard(now time.Time, svc state.ServiceID, server state.BackendIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.Heard(now, svc, server)
}

// unheard returns how long a plain server had shown no sign of life at a time, or 0 if it has shown one
// since or never before.
func (s *sharedState) unheard(at time.Time, svc state.ServiceID, server state.BackendIncarnation) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.outliers.Unheard(at, svc, server))
}
