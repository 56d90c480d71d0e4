package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// tellSpread is the range of the delay after which a daemon tells others of a silent server, so that one tells
// them of a server that many find silent.
const tellSpread = 100 * time.Millisecond

// tellSilent tells the other daemons of a server that answers nothing and is probed again after a time, unless
// one of them has told so.
func (g *Gateway) tellSilent(h fleet.Hop, until time.Duration) {
	notice := suspect.SilentNotice{Server: h.Server, Address: h.Address, MS: until.Milliseconds()}
	time.AfterFunc(rand.N(tellSpread), func() {
		if g.shared.markSilentNews(time.Now(), notice) {
			g.broadcast(notice)
		}
	})
}

// markSilent records another daemon's notice of a silent server.
func (s *sharedState) markSilent(at time.Time, n suspect.SilentNotice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.MarkSilent(at, n)
}

// markSilentNews records that a server answers nothing, and reports whether others are to be told: it still
// answers nothing, and no notice says so.
func (s *sharedState) markSilentNews(now time.Time, n suspect.SilentNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[n.Address] && s.suspects.MarkSilent(now, n)
}

// toldSilent returns the hops of a path of which a notice says that they are silent.
func (s *sharedState) toldSilent(now time.Time, path fleet.Path) []fleet.Hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Filter(path, func(h fleet.Hop, _ int) bool { return s.suspects.ToldSilent(now, h.Server) })
}

func (s *sharedState) contradictSilentNotice(sentAt time.Time, server state.BackendIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.ContradictSilence(sentAt, server)
}
