package retry

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// failedReplicas holds the recently failed replicas of one service, oldest first, at
// most Config.MaxFailedReplicas of them.
type failedReplicas struct {
	replicas []failedReplica
}

type failedReplica struct {
	id    state.ReplicaID
	until time.Time
}

// add records the failure of id until the given time. If there are more than bound
// entries, the oldest are dropped.
func (f *failedReplicas) add(id state.ReplicaID, until time.Time, bound int) {
	f.replicas = slices.DeleteFunc(f.replicas, func(r failedReplica) bool {
		return r.id == id
	})
	f.replicas = append(f.replicas, failedReplica{id: id, until: until})
	if len(f.replicas) > bound {
		f.replicas = slices.Delete(f.replicas, 0, len(f.replicas)-bound)
	}
}

// expire removes the entries that ended at or before now.
func (f *failedReplicas) expire(now time.Time) {
	n := 0
	for n < len(f.replicas) && !f.replicas[n].until.After(now) {
		n++
	}
	f.replicas = slices.Delete(f.replicas, 0, n)
}
