package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// silentSlack is how much longer a notice of a silent server holds than until the sender probes the server
// again: the next notice takes as long to arrive.
const silentSlack = 500 * time.Millisecond

// SilentNotice announces to the other daemons that a server answers no probe of the sender. They probe the
// server before they use it, since the sender may have lost its own link.
type SilentNotice struct {
	Server  state.BackendIncarnation `msgpack:"server"`
	Address string                   `msgpack:"address"`
	// MS is the time until the sender probes the server again, in ms.
	MS int64 `msgpack:"ms"`
}

// silence is what other daemons, or this one, have told of a silent server.
type silence struct {
	address string
	at      time.Time // when it was told
	newsAt  time.Time // when the next notice is news
	until   time.Time
}

// MarkSilent records a notice that was sent at a time, by another daemon or by this one. It reports whether
// the notice is news: the last one has held for half of the time until its sender probes the server again.
func (t *Tracker) MarkSilent(at time.Time, n SilentNotice) (news bool) {
	for server, s := range t.silent {
		if !at.Before(s.until) {
			delete(t.silent, server)
		}
	}
	known, ok := t.silent[n.Server]
	news = !ok || !at.Before(known.newsAt)
	if !ok || at.After(known.at) {
		probed := time.Duration(n.MS) * time.Millisecond
		t.silent[n.Server] = silence{address: n.Address, at: at, newsAt: at.Add(probed / 2), until: at.Add(probed + silentSlack)}
	}
	return news
}

// ToldSilent reports whether a notice says that a server is silent, and nothing has shown it to be alive
// since.
func (t *Tracker) ToldSilent(now time.Time, server state.BackendIncarnation) bool {
	s, ok := t.silent[server]
	if !ok || !now.Before(s.until) {
		return false
	}
	r, ok := t.servers[s.address]
	return !ok || !r.lastAlive.After(s.at)
}

// ContradictSilence records that a server has answered a probe that was sent at a time.
func (t *Tracker) ContradictSilence(sentAt time.Time, server state.BackendIncarnation) {
	if s, ok := t.silent[server]; ok && sentAt.After(s.at) {
		delete(t.silent, server)
	}
}
