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
	if r.headSent || !r.g.prober.isDead(server, address) {
		return
	}
	implication, isNew := r.g.shared.implicate(time.Now(), r.fingerprint(), server)
	if !isNew {
		return
	}
	r.g.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(r.req.ID), telemetry.Backend(server.ID))
	r.g.broadcast(implication)
}

// clearImplication records that an answer has begun: the request's content crashes no
// server.
func (r *requestHandler) clearImplication() {
	r.g.shared.clearImplication(r.fingerprint)
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

// clearImplication removes a content's implications. The fingerprint is computed only if
// there are any.
func (s *sharedState) clearImplication(fingerprint func() crashes.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashes.Empty() {
		s.crashes.Clear(fingerprint())
	}
}
