package crashes

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// TurnTTL is how long a turn is held at most, from its grant on. A content that ends servers does so
// as it begins to run, which is later than the grant by the wait for a server and its queue.
const TurnTTL = 3 * time.Second

// maxTurns bounds the turns that are remembered. Beyond it, turns are granted unrecorded.
const maxTurns = 4096

// TurnHolder identifies the request that holds a turn.
type TurnHolder struct {
	Daemon state.DaemonID
	Number uint64 // unique at the daemon
}

// Turns holds the turns to run suspect contents and parts at the daemon that owns them: of all
// requests of the site with such a content or part, one runs at a time. It is not safe for concurrent use.
type Turns struct {
	held map[Fingerprint]turn
}

type turn struct {
	holder    TurnHolder
	expiresAt time.Time
}

// NewTurns returns an empty set of turns.
func NewTurns() *Turns { return &Turns{held: make(map[Fingerprint]turn)} }

// Take grants a turn unless another request holds it, and reports whether it did. The holder may take
// it again.
func (t *Turns) Take(now time.Time, fp Fingerprint, holder TurnHolder) bool {
	if h, ok := t.held[fp]; ok && h.holder != holder && now.Before(h.expiresAt) {
		return false
	}
	if len(t.held) >= maxTurns {
		t.dropExpired(now)
	}
	if len(t.held) < maxTurns {
		t.held[fp] = turn{holder: holder, expiresAt: now.Add(TurnTTL)}
	}
	return true
}

// Release ends a turn if the given request holds it.
func (t *Turns) Release(fp Fingerprint, holder TurnHolder) {
	if h, ok := t.held[fp]; ok && h.holder == holder {
		delete(t.held, fp)
	}
}

func (t *Turns) dropExpired(now time.Time) {
	for fp, h := range t.held {
		if !now.Before(h.expiresAt) {
			delete(t.held, fp)
		}
	}
}

// TurnRequest asks the owner of a content or part for the turn to run it.
type TurnRequest struct {
	Content Fingerprint `msgpack:"c"`
	Number  uint64      `msgpack:"n"` // of the request at its daemon
	Ends    int         `msgpack:"e"` // number of the content's ends that the daemon knows
}

// TurnResponse answers a TurnRequest.
type TurnResponse struct {
	Granted bool `msgpack:"g"`
	// Ends are those of the content, if the owner knows more of them than the asking daemon.
	Ends []EndNotice `msgpack:"e,omitempty"`
}

// TurnRelease tells the owner of a content or part that a request does not need its turn any longer,
// and which servers have ended under it.
type TurnRelease struct {
	Content Fingerprint   `msgpack:"c"`
	Number  uint64        `msgpack:"n"`
	Ends    []EndNotice   `msgpack:"e,omitempty"`
	Parts   []PartsNotice `msgpack:"p,omitempty"`
	// Answered is set if an answer to the request goes on long after it began, or is complete.
	Answered bool `msgpack:"a,omitempty"`
}
