package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// checkIncarnation compares the start time that a server reported with the expected
// incarnation. The list lags by a heartbeat: for more than a second, a server that has
// restarted under its name and is still listed with its old layers would be given paths,
// and orders counted by its old incarnation.
func (g *Gateway) checkIncarnation(expected state.BackendIncarnation, address string, startTime int64) {
	if startTime == 0 || startTime == expected.Born {
		return
	}
	g.control.post(func() { g.control.listing.handleOtherIncarnation(expected, address, startTime) })
}

// handleOtherIncarnation handles a server that turns out to be another incarnation than the
// listed one. It does nothing if the list has changed since the server was contacted, or if
// a former incarnation answered.
func (l *listingState) handleOtherIncarnation(expected state.BackendIncarnation, address string, startTime int64) {
	listed, ok := l.servers[expected.ID]
	if !ok || listed.Incarnation() != expected || listed.Address != address {
		return
	}
	if l.formerIncarnations[state.BackendIncarnation{ID: expected.ID, Born: startTime}] {
		return
	}
	notice := suspect.OutdatedNotice{Server: expected, Layers: listed.Layers}
	if l.c.g.shared.markOutdated(l.c.now, notice) {
		l.c.members.broadcast(notice)
	}
	listed.Born, listed.Layers = startTime, fleet.Range{}
	l.updateServer(listed)
	l.dirty = true
}

// recordRestart records that a server runs as another incarnation under the same name.
func (l *listingState) recordRestart(old, s fleet.Server) {
	l.formerIncarnations[old.Incarnation()] = true
	l.newIncarnations = append(l.newIncarnations, s.Incarnation())
	l.c.g.log.Emit(telemetry.EventBackendRestarted, telemetry.Backend(s.ID), telemetry.Address(s.Address),
		telemetry.Detail(old.Incarnation().String()+" -> "+s.Incarnation().String()))
}

// resetNewIncarnations drops the suspicions about addresses at which a new incarnation is
// listed, and resumes elsewhere the streams that ran through the former one, which has lost
// them.
func (l *listingState) resetNewIncarnations(latest map[string]state.BackendID) {
	for _, incarnation := range l.newIncarnations {
		s, ok := l.servers[incarnation.ID]
		if !ok || s.Incarnation() != incarnation || latest[s.Address] != s.ID {
			continue
		}
		for _, lost := range l.c.g.shared.resetAddress(s.Address, incarnation) {
			lost.stream.hopDied(lost.hop, true)
		}
	}
	l.newIncarnations = nil
}

// lostHop is a stream with the hop of its path that no longer exists.
type lostHop struct {
	stream *stream
	hop    fleet.Hop
}

// resetAddress removes the failures recorded for a former incarnation at an address. It
// returns the streams through that incarnation.
func (s *sharedState) resetAddress(address string, incarnation state.BackendIncarnation) []lostHop {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Forget(address)
	delete(s.dead, address)
	delete(s.deadSince, address)
	delete(s.ended, address)
	var out []lostHop
	for str := range s.streams {
		for _, h := range str.path {
			if h.Address == address && h.Server != incarnation {
				out = append(out, lostHop{str, h})
			}
		}
	}
	return out
}

// forgetIncarnations drops the former incarnations of a removed server.
func (l *listingState) forgetIncarnations(id state.BackendID) {
	for incarnation := range l.formerIncarnations {
		if incarnation.ID == id {
			delete(l.formerIncarnations, incarnation)
		}
	}
}
