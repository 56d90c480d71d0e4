package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// doubtFor is how long after a refusal a server's report tells whether it had room
	// then: reports are some hundred ms old.
	doubtFor = 300 * time.Millisecond
	// doubtAgain is how long a server that had no room is not asked again.
	doubtAgain = time.Second
	// roomyShare is the part of a server's room, or of its slots, up to which it can't
	// have refused for want of more. Of 1,700 reports 0.3 s after a refusal, those of
	// leaving servers said less than 0.4 and, but for a few, those of full ones 0.8 and
	// more.
	roomyShare = 1.0 / 3
)

// refusedBy takes up that the server at an address refused to run a request that was
// sent along a path. One that is dead, or has no room, shows that by itself. One that
// lives and has room is leaving, or gives its layers up, and the list does not say so,
// as while the store is away. Each daemon would learn it by refusals of its own, which
// the retry budget pays for: with 8 of 99 engines leaving in an outage of 8 s, 77
// daemons refused 4.1% of the requests of a day, and 0.8% where those that find it out
// tell all (one run each of one seed).
func (r *run) refusedBy(path fleet.Path, address string) {
	r.blame(address)
	hop, ok := hopAt(path, address)
	if !ok || !r.g.book.doubt(time.Now(), address) {
		return
	}
	time.AfterFunc(doubtFor, func() {
		if r.g.checkRefusal(r, hop) {
			r.g.book.settled(address)
			return
		}
		time.AfterFunc(doubtAgain, func() { r.g.book.settled(address) })
	})
}

// checkRefusal asks a server that refused a request for its report, and tells the other
// daemons if it had room. It returns false where it had none.
func (g *Gateway) checkRefusal(r *run, hop fleet.Hop) bool {
	s, ok := g.current.Load().at(r.service.ID, hop.Address)
	if !ok || s.Life() != hop.Server || s.Draining {
		return true // the list has moved on
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	report, err := g.backends.Report(ctx, hop.Address)
	if err != nil {
		return true // dead: its silence shows it
	}
	used := max(share(report.Used, report.Room), share(int64(report.Running), int64(s.Slots)))
	if used > roomyShare {
		return false
	}
	if !g.book.refusesAll(s.Address) {
		g.tell(suspect.RefusalNotice{Address: s.Address})
		return true
	}
	l := suspect.LeavingNotice{Server: s.Life()}
	if g.book.leaves(time.Now(), l) {
		g.log.Emit(telemetry.EventBackendRefusing, telemetry.Request(r.req.ID), telemetry.Backend(s.ID),
			telemetry.Address(s.Address), telemetry.Layers(s.Layers))
		g.tell(l)
	}
	return true
}

// share is a part of a whole, 0 where the whole is not known.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// hopAt is the hop of a path at an address.
func hopAt(path fleet.Path, address string) (fleet.Hop, bool) {
	for _, h := range path {
		if h.Address == address {
			return h, true
		}
	}
	return fleet.Hop{}, false
}

// doubt notes a server's refusal. It returns true where that is to be looked into, and is
// not yet.
func (b *book) doubt(now time.Time, address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordRefusal(now, address)
	if b.doubted[address] {
		return false
	}
	b.doubted[address] = true
	return true
}

// settled takes back doubt.
func (b *book) settled(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.doubted, address)
}

// refused notes that a server refused another daemon's request.
func (b *book) refused(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordRefusal(now, address)
}

func (b *book) refusesAll(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.RefusesRepeatedly(address)
}

func (b *book) leaves(now time.Time, l suspect.LeavingNotice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects.MarkLeaving(now, l)
}
