package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// outdated notes that the server at an address has contradicted its entry, and tells
// all daemons. Each would learn it by refusals of its own, which the retry budget pays
// for: with 8 of 38 engines started again behind a cut and 2 more dark, 18% of the
// requests were refused, 10% with it (means of three and four runs).
func (r *run) outdated(address string) {
	s, ok := r.view.at(r.service.ID, address)
	if !ok {
		return
	}
	o := suspect.OutdatedNotice{Server: s.Life(), Layers: s.Layers}
	if !r.g.book.contradicted(time.Now(), o) {
		return
	}
	r.g.log.Emit(telemetry.EventEntryOutdated, telemetry.Request(r.req.ID), telemetry.Backend(s.ID),
		telemetry.Address(address), telemetry.Layers(s.Layers))
	r.g.tell(o)
}

func (b *book) contradicted(now time.Time, o suspect.OutdatedNotice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.MarkOutdated(now, o)
}

// at finds the server of a service at an address, as it is listed.
func (v *view) at(svc state.ServiceID, address string) (fleet.Server, bool) {
	for _, s := range v.servers[svc] {
		if s.Address == address {
			return s, true
		}
	}
	return fleet.Server{}, false
}
