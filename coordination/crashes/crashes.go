package crashes

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// KeptFor is how long an implication counts after the last one: a caller that
	// repeats a request does so within minutes.
	ImplicationTTL = 10 * time.Minute
	// convictedBy is how many servers must have died under a content. One may be an
	// accident of another's making; two that died under the same one are not.
	convictedBy = 2
	// maxContents bounds what is remembered; the oldest go first.
	maxContents = 1024
)

// Fingerprint names a request's content: its path, customer and body.
type Fingerprint uint64

// Told is what a daemon tells the others: servers that died under a content.
type Implication struct {
	Fingerprint Fingerprint  `msgpack:"f"`
	Servers     []state.Life `msgpack:"s"`
}

// Book is what one daemon knows. It is not safe for use by several goroutines.
type Tracker struct {
	contents map[Fingerprint]*content
}

// content is what is known of one content.
type content struct {
	servers []state.Life // lives that died under it
	at      time.Time    // of the last implication
}

// NewBook returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{contents: make(map[Fingerprint]*content)}
}

// Implicate notes that servers died under a content. It returns what to tell the
// other daemons, and false if all of it was known.
func (b *Tracker) Implicate(now time.Time, fp Fingerprint, servers ...state.Life) (Implication, bool) {
	c, ok := b.contents[fp]
	if !ok {
		b.makeRoom(now)
		c = &content{}
		b.contents[fp] = c
	}
	news := false
	for _, s := range servers {
		if !c.has(s) {
			c.servers = append(c.servers, s)
			news = true
		}
	}
	c.at = now
	return Implication{Fingerprint: fp, Servers: c.servers}, news
}

func (c *content) has(s state.Life) bool {
	for _, have := range c.servers {
		if have == s {
			return true
		}
	}
	return false
}

// Empty reports whether nothing is implicated.
func (b *Tracker) Empty() bool { return len(b.contents) == 0 }

// Clear notes that an answer to a content has begun.
func (b *Tracker) Clear(fp Fingerprint) {
	delete(b.contents, fp)
}

// Convicted reports whether a content is to be refused.
func (b *Tracker) IsBlocked(now time.Time, fp Fingerprint) bool {
	c, ok := b.contents[fp]
	return ok && len(c.servers) >= convictedBy && now.Sub(c.at) < ImplicationTTL
}

// makeRoom drops what no longer counts, or else the oldest.
func (b *Tracker) makeRoom(now time.Time) {
	if len(b.contents) < maxContents {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for fp, c := range b.contents {
		if now.Sub(c.at) >= ImplicationTTL {
			delete(b.contents, fp)
		} else if at.IsZero() || c.at.Before(at) {
			oldest, at = fp, c.at
		}
	}
	if len(b.contents) >= maxContents {
		delete(b.contents, oldest)
	}
}
