package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/availability"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Reasons of telemetry.GatewayRetryAfterTotal.
const (
	statementStated    = "stated"
	statementWithdrawn = "withdrawn"
	statementRefused   = "refused"
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

// observeStatements records what a server states about itself in an answer. blamed is the
// server that turned the request away, if the answering one forwards a request to others.
func (r *requestHandler) observeStatements(server, blamed state.BackendIncarnation, a *backend.Answer) {
	r.endAssignment(!a.TurnedAway())
	r.g.observeHeaders(server, a)
	if a.StatesRetryAfter() {
		r.g.metrics.CountReason(telemetry.GatewayRetryAfterTotal, statementStated)
		r.g.shared.recordRetryAfter(time.Now(), server, blamed, a.RetryAfter)
		r.g.log.Emit(telemetry.EventBackendRetryAfter, telemetry.Request(r.req.ID), telemetry.Backend(blamed.ID),
			telemetry.Address(r.address), telemetry.Duration(a.RetryAfter))
	}
	if a.Leaving {
		r.handleLeaving(server)
	}
}

// handleLeaving excludes a server that states that it is leaving, and notifies the other
// daemons if the list does not say so yet.
func (r *requestHandler) handleLeaving(server state.BackendIncarnation) {
	r.g.metrics.Add(telemetry.GatewayDepartingTotal, 1)
	if !r.g.shared.recordLeaving(server) {
		return
	}
	r.g.log.Emit(telemetry.EventBackendDeparting, telemetry.Backend(server.ID), telemetry.Address(r.address))
	if s, ok := r.view.serverAt(r.service.ID, r.address); ok && s.Incarnation() == server && s.Draining {
		return
	}
	notice := suspect.LeavingNotice{Server: server}
	if r.g.shared.markLeaving(time.Now(), notice) {
		r.g.broadcast(notice)
	}
}

// logWithdrawn logs and counts a request that was not sent, since its server has stated
// meanwhile that it wants none.
func (r *requestHandler) logWithdrawn(server state.BackendIncarnation) {
	r.g.metrics.CountReason(telemetry.GatewayRetryAfterTotal, statementWithdrawn)
	r.g.log.Emit(telemetry.EventRequestWithdrawn, telemetry.Request(r.req.ID), telemetry.Count(r.attemptCount),
		telemetry.Backend(server.ID), telemetry.Address(r.address))
}

// observeHeaders counts the header fields of an answer that say nothing to this daemon, and
// logs each name once.
func (g *Gateway) observeHeaders(server state.BackendIncarnation, a *backend.Answer) {
	g.countHeaders(a.Unreadable, headerUnreadable, telemetry.EventHeaderUnreadable, string(server.ID))
	g.countHeaders(a.Unknown, headerUnknown, telemetry.EventHeaderUnknown, string(server.ID))
}

// ObserveStoreHeaders counts the header fields of the table service's answers that can't be parsed
// or that the adapter does not know, and logs each name once.
func (g *Gateway) ObserveStoreHeaders(unreadable, unknown []string) {
	g.countHeaders(unreadable, headerUnreadable, telemetry.EventHeaderUnreadable, senderStore)
	g.countHeaders(unknown, headerUnknown, telemetry.EventHeaderUnknown, senderStore)
}

// senderStore names the table service as the sender of header fields.
const senderStore = "store"

func (g *Gateway) countHeaders(names []string, reason string, event telemetry.Event, sender string) {
	for _, name := range names {
		g.metrics.CountReason(telemetry.GatewayHeadersTotal, reason)
		if g.loggedHeaders.first(reason + " " + name) {
			g.log.Emit(event, telemetry.Detail(name), telemetry.Backend(state.BackendID(sender)))
		}
	}
}

// recordRetryAfter records that a server has turned a request away and wants none for some
// time. If it blames another one, that one is not used at all in this time, and the answering
// one gets no requests from this daemon.
func (s *sharedState) recordRetryAfter(now time.Time, answering, blamed state.BackendIncarnation, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availability.RecordRetryAfter(now, blamed, availability.Relayed, wait)
	if answering != blamed {
		s.availability.RecordRetryAfter(now, answering, availability.Direct, wait)
	}
}

func (s *sharedState) recordLeaving(server state.BackendIncarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availability.RecordLeaving(server)
}
