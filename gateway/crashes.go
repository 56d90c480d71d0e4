package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// fingerprint names the content of a request.
func (r *run) fingerprint() crashes.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.req.Method, r.req.Target, string(r.customer.ID)} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.req.Body)
	return crashes.Fingerprint(h.Sum64())
}

// implicate asks whether a server died under a request whose answer had not begun,
// and if so tells all daemons.
func (r *run) implicate(server state.Life, address string) {
	if r.headed || r.g.prober.alive(server, address) {
		return
	}
	told, news := r.g.book.implicate(time.Now(), r.fingerprint(), server)
	if !news {
		return
	}
	r.g.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(r.req.ID), telemetry.Backend(server.ID))
	r.g.tell(told)
}

// cleared notes that an answer has begun: its content crashes no server.
func (r *run) cleared() {
	r.g.book.clear(r.fingerprint)
}

func (b *book) implicate(now time.Time, fp crashes.Fingerprint, servers ...state.Life) (crashes.Implication, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Implicate(now, fp, servers...)
}

func (b *book) convicted(now time.Time, fingerprint func() crashes.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.crashes.Empty() && b.crashes.IsBlocked(now, fingerprint())
}

// clear forgets a content. Its fingerprint is worked out only where any is known.
func (b *book) clear(fingerprint func() crashes.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.crashes.Empty() {
		b.crashes.Clear(fingerprint())
	}
}
