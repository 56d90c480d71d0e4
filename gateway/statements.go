package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Reasons of telemetry.GatewayRetryAfterTotal and telemetry.GatewayDepartingTotal.
const (
	statementStated = "stated"
	statementSent   = "sent"
)

// Reasons of telemetry.GatewayHeadersTotal.
const (
	headerUnreadable = "unreadable"
	headerUnknown    = "unknown"
)

// maxLoggedHeaders limits how many names of header fields are logged in the life of a
// daemon: a faulty server may make them up.
const maxLoggedHeaders = 64

// headerLog tells which names of header fields were logged.
type headerLog struct {
	mu    sync.Mutex
	names map[string]bool
}

// first reports whether a name is to be logged now.
func (l *headerLog) first(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[name] || len(l.names) >= maxLoggedHeaders {
		return false
	}
	if l.names == nil {
		l.names = make(map[string]bool)
	}
	l.names[name] = true
	return true
}

// logUnwanted logs and counts a request that is sent although the server wants none.
func (r *requestHandler) logUnwanted(server state.BackendIncarnation) {
	left, leaving := r.g.shared.unwanted(time.Now(), server)
	if left <= 0 && !leaving {
		return
	}
	if left > 0 {
		r.g.metrics.CountReason(telemetry.GatewayRetryAfterTotal, statementSent)
	}
	if leaving {
		r.g.metrics.CountReason(telemetry.GatewayDepartingTotal, statementSent)
	}
	r.g.log.Emit(telemetry.EventRequestUnwanted, telemetry.Request(r.req.ID), telemetry.Count(r.attemptCount),
		telemetry.Backend(server.ID), telemetry.Address(r.address), telemetry.Duration(left))
}

// observeStatements records what a server states about itself in an answer.
func (r *requestHandler) observeStatements(server state.BackendIncarnation, a *backend.Answer) {
	r.g.observeHeaders(server, a)
	if a.TurnedAway() && a.RetryAfter > 0 {
		r.g.metrics.CountReason(telemetry.GatewayRetryAfterTotal, statementStated)
		r.g.shared.recordRetryAfter(time.Now(), server, a.RetryAfter)
		r.g.log.Emit(telemetry.EventBackendRetryAfter, telemetry.Request(r.req.ID), telemetry.Backend(server.ID),
			telemetry.Address(r.address), telemetry.Duration(a.RetryAfter))
	}
	if a.Leaving {
		r.g.metrics.CountReason(telemetry.GatewayDepartingTotal, statementStated)
		if r.g.shared.recordLeaving(server) {
			r.g.log.Emit(telemetry.EventBackendDeparting, telemetry.Backend(server.ID), telemetry.Address(r.address))
		}
	}
}

// observeHeaders counts the header fields of an answer that say nothing to this daemon, and
// logs each name once.
func (g *Gateway) observeHeaders(server state.BackendIncarnation, a *backend.Answer) {
	observe := func(names []string, reason string, event telemetry.Event) {
		for _, name := range names {
			g.metrics.CountReason(telemetry.GatewayHeadersTotal, reason)
			if g.loggedHeaders.first(reason + " " + name) {
				g.log.Emit(event, telemetry.Detail(name), telemetry.Backend(server.ID))
			}
		}
	}
	observe(a.Unreadable, headerUnreadable, telemetry.EventHeaderUnreadable)
	observe(a.Unknown, headerUnknown, telemetry.EventHeaderUnknown)
}

func (s *sharedState) recordRetryAfter(now time.Time, server state.BackendIncarnation, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availability.RecordRetryAfter(now, server, wait)
}

func (s *sharedState) recordLeaving(server state.BackendIncarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availability.RecordLeaving(server)
}

// unwanted returns for how much longer a server wants no request, and whether it is
// leaving.
func (s *sharedState) unwanted(now time.Time, server state.BackendIncarnation) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availability.RetryAfter(now, server), s.availability.IsLeaving(server)
}
