package crashes

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// ImplicationTTL is how long an implication counts after the last one: a caller that repeats a
	// request does so within minutes.
	ImplicationTTL = 10 * time.Minute
	// blockThreshold is how many servers must have died while running a content. A single death may
	// have been caused by another request; two deaths under the same content are no coincidence.
	blockThreshold = 2
	// maxContents bounds the contents that are remembered; the oldest are evicted.
	maxContents = 1024
)

// Fingerprint identifies a request's content: its path, customer and body.
type Fingerprint uint64

// Implication is the message to other daemons that servers died while running a content.
type Implication struct {
	Fingerprint Fingerprint                `msgpack:"f"`
	Servers     []state.BackendIncarnation `msgpack:"s"`
}

// Tracker holds the implicated contents known to one daemon. It is not safe for concurrent use.
type Tracker struct {
	contents map[Fingerprint]*content
}

// content is the state of one content.
type content struct {
	servers []state.BackendIncarnation // incarnations that died while running it
	at      time.Time                  // time of the last implication
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{contents: make(map[Fingerprint]*content)}
}

// Implicate records that servers died while running a content. It returns the message for the other
// daemons, and false if all of it was known.
func (t *Tracker) Implicate(now time.Time, fp Fingerprint, servers ...state.BackendIncarnation) (Implication, bool) {
	c, ok := t.contents[fp]
	if !ok {
		t.makeRoom(now)
		c = &content{}
		t.contents[fp] = c
	}
	isNew := false
	for _, s := range servers {
		if !c.has(s) {
			c.servers = append(c.servers, s)
			isNew = true
		}
	}
	c.at = now
	return Implication{Fingerprint: fp, Servers: c.servers}, isNew
}

func (c *content) has(s state.BackendIncarnation) bool {
	for _, have := range c.servers {
		if have == s {
			return true
		}
	}
	return false
}

// Empty reports whether no content is implicated.
func (t *Tracker) Empty() bool { return len(t.contents) == 0 }

// Clear drops the implications of a content because an answer to it has started. It returns the
// number of servers that they name.
func (t *Tracker) Clear(fp Fingerprint) int {
	c, ok := t.contents[fp]
	if !ok {
		return 0
	}
	delete(t.contents, fp)
	return len(c.servers)
}

// IsBlocked reports whether requests with a content are to be refused.
func (t *Tracker) IsBlocked(now time.Time, fp Fingerprint) bool {
	c, ok := t.contents[fp]
	return ok && len(c.servers) >= blockThreshold && now.Sub(c.at) < ImplicationTTL
}

// makeRoom drops expired contents, or the oldest one if there are none.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.contents) < maxContents {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for fp, c := range t.contents {
		if now.Sub(c.at) >= ImplicationTTL {
			delete(t.contents, fp)
		} else if at.IsZero() || c.at.Before(at) {
			oldest, at = fp, c.at
		}
	}
	if len(t.contents) >= maxContents {
		delete(t.contents, oldest)
	}
}
