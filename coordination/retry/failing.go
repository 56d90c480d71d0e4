package retry

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// failing remembers the replicas of one service that failed just now, oldest
// first, at most Config.MaxFailing of them.
type failing struct {
	replicas []failedReplica
}

type failedReplica struct {
	id    state.ReplicaID
	until time.Time
}

// add remembers id until then. The oldest is forgotten when there are more
// than bound.
func (f *failing) add(id state.ReplicaID, until time.Time, bound int) {
	f.replicas = slices.DeleteFunc(f.replicas, func(r failedReplica) bool {
		return r.id == id
	})
	f.replicas = append(f.replicas, failedReplica{id: id, until: until})
	if len(f.replicas) > bound {
		f.replicas = slices.Delete(f.replicas, 0, len(f.replicas)-bound)
	}
}

// expire forgets what ended at or before now.
func (f *failing) expire(now time.Time) {
	n := 0
	for n < len(f.replicas) && !f.replicas[n].until.After(now) {
		n++
	}
	f.replicas = slices.Delete(f.replicas, 0, n)
}
