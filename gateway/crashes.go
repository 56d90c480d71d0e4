package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// fingerprint identifies the content of a request.
func (r *requestHandler) fingerprint() crashes.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.req.Method, r.req.Target, string(r.customer.ID)} {
		_, _ = h.WriteString(part) // writing to a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.req.Body)
	return crashes.Fingerprint(h.Sum64())
}

// implicate checks whether a server died while it ran this request, before the answer had
// begun, and if so notifies all daemons.
func (r *requestHandler) implicate(server state.BackendIncarnation, address string) {
	if r.headSent {
		r.logBrokenCall(brokenBeforeHeader, address, notProbed)
		return
	}
	outcome := r.g.prober.probe(server, address).outcome
	r.logBrokenCall(brokenBeforeHeader, address, outcome)
	if outcome != probeDead {
		return
	}
	fp := r.fingerprint()
	implication, isNew := r.g.shared.implicate(time.Now(), fp, server)
	if !isNew {
		return
	}
	r.g.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(r.req.ID), telemetry.Backend(server.ID),
		telemetry.Count(len(implication.Servers)), telemetry.Content(uint64(fp)))
	r.g.broadcast(implication)
}

// brokenStage says which part of an answer had arrived when a call broke off.
type brokenStage string

// The values of brokenStage.
const (
	brokenBeforeHeader brokenStage = "before_header"
	brokenInBody       brokenStage = "in_body"
	brokenBeforeEvent  brokenStage = "before_event"
	brokenAfterEvent   brokenStage = "after_event"
)

// notProbed is logged for a call that broke off and whose server was not probed.
const notProbed probeOutcome = "not_probed"

// logBrokenCall records that a call to a server broke off, and what a probe showed of it.
func (r *requestHandler) logBrokenCall(stage brokenStage, address string, outcome probeOutcome) {
	detail := string(stage) + ":" + string(outcome)
	r.g.metrics.CountReason(telemetry.GatewayBrokenCallsTotal, detail)
	r.g.log.Emit(telemetry.EventCallBroken, telemetry.Request(r.req.ID), telemetry.Address(address),
		telemetry.Detail(detail), telemetry.Content(uint64(r.fingerprint())))
}

// clearImplication records that an answer has begun: the request's content crashes no
// server.
func (r *requestHandler) clearImplication() {
	fp, servers := r.g.shared.clearImplication(r.fingerprint)
	if servers > 0 {
		r.g.log.Emit(telemetry.EventContentCleared, telemetry.Request(r.req.ID), telemetry.Count(servers), telemetry.Content(uint64(fp)))
	}
}

func (s *sharedState) implicate(now time.Time, fp crashes.Fingerprint, servers ...state.BackendIncarnation) (crashes.Implication, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Implicate(now, fp, servers...)
}

func (s *sharedState) isBlocked(now time.Time, fingerprint func() crashes.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.crashes.Empty() && s.crashes.IsBlocked(now, fingerprint())
}

// clearImplication removes a content's implications, and returns the number of servers that
// they name. The fingerprint is computed only if there are any.
func (s *sharedState) clearImplication(fingerprint func() crashes.Fingerprint) (crashes.Fingerprint, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes.Empty() {
		return 0, 0
	}
	fp := fingerprint()
	return fp, s.crashes.Clear(fp)
}
