package daemon

import (
	"slices"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// slotTable gives out this daemon's own view of free slots: the replica with
// the smallest share in use.
type slotTable struct {
	d *Daemon

	mu      sync.Mutex
	inUse   map[state.ReplicaID]int
	waiting []slotWait
}

type slotWait struct {
	r       *runner
	exclude []state.ReplicaID
}

func newSlotTable(d *Daemon) *slotTable {
	return &slotTable{d: d, inUse: make(map[state.ReplicaID]int)}
}

func (t *slotTable) ask(r *runner, a request.AskSlot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = append(t.waiting, slotWait{r: r, exclude: a.Exclude})
	t.serve()
}

func (t *slotTable) stop(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = slices.DeleteFunc(t.waiting, func(w slotWait) bool { return w.r == r })
}

func (t *slotTable) release(_ *runner, a request.ReleaseSlot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse[a.Replica]--
	t.serve()
}

// serve grants what can be granted, in order of arrival.
func (t *slotTable) serve() {
	rest := t.waiting[:0]
	for _, w := range t.waiting {
		replica, ok := t.pick(w)
		if !ok {
			rest = append(rest, w)
			continue
		}
		t.inUse[replica.ID]++
		go w.r.post(request.SlotGranted{Grant: request.GrantID(w.r.spec.ID), Replica: replica})
	}
	t.waiting = rest
}

func (t *slotTable) pick(w slotWait) (state.Replica, bool) {
	var best state.Replica
	found := false
	for _, r := range t.d.view().replicas[w.r.spec.Service] {
		if r.Leaving || t.inUse[r.ID] >= r.Slots || slices.Contains(w.exclude, r.ID) {
			continue
		}
		if !found || t.inUse[r.ID]*best.Slots < t.inUse[best.ID]*r.Slots {
			best, found = r, true
		}
	}
	return best, found
}
