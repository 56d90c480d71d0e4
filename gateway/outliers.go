package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// serverFailed records that the plain server of the current attempt has refused or failed the request.
// The status is 0 if it has not answered.
func (r *requestHandler) serverFailed(status int, outcome relay.Outcome) {
	server := r.path[0].Server
	r.g.log.Emit(telemetry.EventBackendFailed, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Backend(server.ID),
		telemetry.Address(r.address), telemetry.Detail(attemptOutcomeNames[outcome]), telemetry.Count(status))
	ejection := r.g.shared.serverFailed(time.Now(), r.runStart, r.service.ID, server)
	if ejection > 0 {
		r.g.log.Emit(telemetry.EventBackendEjected, telemetry.Service(r.service.ID), telemetry.Backend(server.ID),
			telemetry.Address(r.address), telemetry.Duration(ejection))
	}
}

// serverAnswered records that the plain server of the current attempt has answered the request.
func (r *requestHandler) serverAnswered() {
	server := r.path[0].Server
	if r.g.shared.serverAnswered(time.Now(), r.runStart, r.service.ID, server, r.address) {
		r.g.log.Emit(telemetry.EventBackendReturned, telemetry.Service(r.service.ID), telemetry.Backend(server.ID), telemetry.Address(r.address))
		r.g.waits.changed()
	}
}

// serverFailed returns for how long the server is ejected, or 0 if it is not.
func (s *sharedState) serverFailed(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.Failed(now, sentAt, svc, server)
}

// serverAnswered reports whether that ends the ejection of the server.
func (s *sharedState) serverAnswered(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordAnswer(now, address)
	return s.outliers.Answered(now, sentAt, svc, server)
}

// mayTryEjected reports whether a request may find out whether an ejected server has recovered: it could
// go on elsewhere.
func (s *sharedState) mayTryEjected(now time.Time, v *view, svc state.ServiceID, search *serverSearch) bool {
	return search.repeatable && s.budget.Left(now, svc, v.slackShare) > 0
}

// plainSearch returns the search for a plain server for an attempt of the request.
func (r *requestHandler) plainSearch() *serverSearch {
	r.search.repeatable = r.route.Repeat != fleet.AtMostOnce
	return &r.search
}
