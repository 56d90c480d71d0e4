package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// entry is the local record of one daemon, which may be the local daemon itself.
type entry struct {
	id           state.DaemonID
	inc          state.Incarnation
	rev          uint32
	state        State
	draining     bool
	meta         Meta
	stateSince   time.Time // when the current state was entered locally
	lastReceived time.Time // last message received from the daemon itself
	knowsSelf    bool      // has sent something that shows that it knows the local daemon's address
	suspicion    suspicion // if Suspect
	probeSoon    bool      // a peer considers it dead: probe it at the next opportunity
	digest       Digest
	digestSeen   bool
	hash         uint64 // of the ID; determines ring positions and bucket
}

// update returns e as an Update without Meta.
func (e *entry) update() Update {
	return Update{
		ID: e.id, Incarnation: e.inc, Revision: e.rev, State: e.state, Draining: e.draining,
	}
}

// fullUpdate returns e as an Update with Meta.
func (e *entry) fullUpdate() Update {
	u := e.update()
	meta := e.meta
	u.Meta = &meta
	return u
}

func (e *entry) member() state.Member {
	return state.Member{ID: e.id, Incarnation: e.inc}
}

// table holds the entries by ID, and sorted by ID so that iteration order is deterministic
// under replay.
type table struct {
	byID   map[state.DaemonID]*entry
	sorted []*entry
}

func (t *table) get(id state.DaemonID) (*entry, bool) {
	e, ok := t.byID[id]
	return e, ok
}

func (t *table) add(e *entry) {
	e.hash = hashID(e.id)
	t.byID[e.id] = e
	i, _ := t.find(e.id)
	t.sorted = slices.Insert(t.sorted, i, e)
}

func (t *table) remove(id state.DaemonID) {
	delete(t.byID, id)
	if i, ok := t.find(id); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

func (t *table) find(id state.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(e *entry, id state.DaemonID) int {
		return cmp.Compare(e.id, id)
	})
}

// live counts the members that are alive or suspect, including this daemon.
func (t *table) live() int {
	n := 0
	for _, e := range t.sorted {
		if e.state.live() {
			n++
		}
	}
	return n
}
