package gateway

import (
	"net/http"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// serverFailure is an error answer of a server, kept in case no other server does better.
type serverFailure struct {
	answer *backend.Answer
	body   []byte
}

// isFailure reports whether an answer that does not prove that the request did not run is a failure of the server.
func (r *requestHandler) isFailure(a *backend.Answer) bool {
	return a.Status >= http.StatusInternalServerError || r.isUnprovenRefusal(a)
}

// isUnprovenRefusal reports whether an answer would tell the caller of a request that may run once that it has not
// run, although its server has not proved that.
//
// Guard (unproven-refusal): the caller would send a request again that has run. One that may run again is answered as
// the server did, so that its caller learns when to come back.
func (r *requestHandler) isUnprovenRefusal(a *backend.Answer) bool {
	return r.route.Repeat == fleet.AtMostOnce && a.ClaimsNotRun() && !a.NotRun
}

// keepFailure keeps a server's failure for the caller, unless it may not be passed on.
func (r *requestHandler) keepFailure(a *backend.Answer, body []byte) {
	if r.isUnprovenRefusal(a) {
		r.g.log.Emit(telemetry.EventRefusalUnproven, telemetry.Request(r.req.ID), telemetry.Address(r.address), telemetry.Count(a.Status))
		return
	}
	r.failure = &serverFailure{answer: a, body: body}
}
