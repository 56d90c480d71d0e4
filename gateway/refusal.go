package gateway

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// refusalCheckDelay is how long after a refusal a server's report reflects the capacity
	// that it had at that time: reports are several hundred ms old.
	refusalCheckDelay = 300 * time.Millisecond
	// refusalCheckInterval is how long a server that had no capacity is not checked again.
	refusalCheckInterval = time.Second
	// spareCapacityShare is the used fraction of a server's KV cache or slots up to which
	// it can't have refused for lack of capacity. Of 1,700 reports taken 0.3 s after a
	// refusal, those of leaving servers showed less than 0.4, and those of full servers,
	// but for a few, 0.8 and more.
	spareCapacityShare = 1.0 / 3
)

// handleRefusal handles a server's refusal to run a request that was sent along a path. A
// server that is dead or has no capacity shows that by itself. One that is alive and has
// capacity is leaving, or is giving up its layers, while the list does not say so, for
// instance because the store is unavailable. Without a notice each daemon would find that
// out by refusals of its own, which the retry budget pays for: with 8 of 99 engines leaving
// during an outage of 8 s, 77 daemons refused 4.1% of the requests of a simulated day, and
// 0.8% with the notice (one run each of one seed).
func (r *requestHandler) handleRefusal(path fleet.Path, address string) {
	r.recordFailure(address)
	if first := path[0].Address; first != address {
		// It may have lost its links to sound engines.
		r.avoid(first)
	}
	hop, ok := hopAt(path, address)
	if !ok || !r.g.shared.startRefusalCheck(time.Now(), address) {
		return
	}
	time.AfterFunc(refusalCheckDelay, func() {
		if r.g.checkRefusal(r, path[0], hop) {
			r.g.endRefusalCheck(address)
			return
		}
		time.AfterFunc(refusalCheckInterval, func() { r.g.endRefusalCheck(address) })
	})
}

// avoid keeps the request from an engine, if there are others.
func (r *requestHandler) avoid(address string) {
	if r.avoided == nil {
		r.avoided = make(map[string]bool)
	}
	r.avoided[address] = true
}

// checkRefusal reads the report of a server that refused a request, or was blamed for that by the first
// one of the path. If the server had capacity, it notifies the other daemons, and a first one that blames
// it is avoided as well. It returns false if the server had none.
func (g *Gateway) checkRefusal(r *requestHandler, first, hop fleet.Hop) bool {
	s, ok := g.currentView.Load().serverAt(r.service.ID, hop.Address)
	if !ok || s.Incarnation() != hop.Server || s.Draining {
		return true // the list has changed since
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverProbeTimeout)
	defer cancel()
	report, err := g.backends.Report(ctx, hop.Address)
	g.countProbe(probeRefusal, lo.Ternary(err == nil, probeAlive, probeDead))
	if err != nil {
		return true // dead: that is detected by its lack of answers
	}
	used := max(ratio(report.KVUsed, report.KVCapacity), ratio(int64(report.Running), int64(s.Slots)))
	if used > spareCapacityShare {
		return false
	}
	if first.Address != hop.Address {
		g.shared.recordFailure(time.Now(), first.Address)
	}
	if !g.shared.refusesRepeatedly(s.Address) {
		g.broadcast(suspect.RefusalNotice{Address: s.Address})
		return true
	}
	notice := suspect.LeavingNotice{Server: s.Incarnation()}
	if g.shared.markLeaving(time.Now(), notice) {
		g.log.Emit(telemetry.EventBackendRefusing, telemetry.Request(r.req.ID), telemetry.Backend(s.ID),
			telemetry.Address(s.Address), telemetry.Layers(s.Layers))
		g.broadcast(notice)
	}
	return true
}

// ratio returns part/whole, or 0 if whole is not known.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// hopAt returns the hop of a path at an address.
func hopAt(path fleet.Path, address string) (fleet.Hop, bool) {
	for _, h := range path {
		if h.Address == address {
			return h, true
		}
	}
	return fleet.Hop{}, false
}

// startRefusalCheck records a server's refusal. It returns true if the caller has to check
// it, false if a check is already pending.
func (s *sharedState) startRefusalCheck(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordRefusal(now, address)
	if s.refusalChecks[address] {
		return false
	}
	s.refusalChecks[address] = true
	return true
}

// endRefusalCheck ends the check of a server, which may be free again.
func (g *Gateway) endRefusalCheck(address string) {
	g.shared.endRefusalCheck(address)
	g.waits.changed()
}

// endRefusalCheck ends the check that startRefusalCheck began.
func (s *sharedState) endRefusalCheck(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusalChecks, address)
}

// recordRefusal records a refusal that another daemon observed.
func (s *sharedState) recordRefusal(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordRefusal(now, address)
}

func (s *sharedState) refusesRepeatedly(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.RefusesRepeatedly(address)
}

func (s *sharedState) markLeaving(now time.Time, notice suspect.LeavingNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.MarkLeaving(now, notice)
}
