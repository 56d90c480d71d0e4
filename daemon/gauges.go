package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const gaugeInterval = time.Second

// gaugesTracker sets the gauges that are read from other components.
type gaugesTracker struct {
	c    *control
	next time.Time
}

func newGaugesTracker(c *control) *gaugesTracker {
	return &gaugesTracker{c: c, next: c.now}
}

func (gt *gaugesTracker) nextTick(time.Time) time.Time { return gt.next }

func (gt *gaugesTracker) tick(now time.Time) {
	gt.next = now.Add(gaugeInterval)
	m := gt.c.d.metrics
	m.Set(telemetry.ActiveRequests, float64(gt.c.d.requests.count()))
	m.Set(telemetry.StoreQueued, float64(gt.c.store.budget.Waiting()))
	gt.setPoolGauges(now)
}

// setPoolGauges sets the number of homed replicas and queued requests of this
// daemon's pools, and of the replicas known to serve.
func (gt *gaugesTracker) setPoolGauges(now time.Time) {
	homed := make(map[state.ServiceID]int)
	queued := make(map[state.ServiceID]int)
	for _, pool := range gt.c.slots.pools {
		homed[pool.Service] += len(pool.Replicas)
		if s, ok := gt.c.slots.homes.Summary(now, pool.ID); ok {
			queued[pool.Service] += int(s.Waiting)
		}
	}
	serving := make(map[state.ServiceID]int)
	for _, r := range gt.c.slots.replicas {
		if !r.Leaving {
			serving[r.Service]++
		}
	}
	m := gt.c.d.metrics
	for id := range gt.c.documents.active {
		m.SetService(telemetry.HomedReplicas, id, float64(homed[id]))
		m.SetService(telemetry.QueuedRequests, id, float64(queued[id]))
		m.SetService(telemetry.ServingReplicas, id, float64(serving[id]))
	}
}
