package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const gaugeInterval = time.Second

// gaugesPart sets the gauges that follow the state of other parts.
type gaugesPart struct {
	c    *control
	next time.Time
}

func newGaugesPart(c *control) *gaugesPart {
	return &gaugesPart{c: c, next: c.now}
}

func (p *gaugesPart) nextTick(time.Time) time.Time { return p.next }

func (p *gaugesPart) tick(now time.Time) {
	p.next = now.Add(gaugeInterval)
	m := p.c.d.metrics
	m.Set(telemetry.ActiveRequests, float64(p.c.d.requests.count()))
	m.Set(telemetry.StoreQueued, float64(p.c.store.budget.Waiting()))
	p.pools(now)
}

// pools counts the replicas and the queues of the pools that are homed here, and
// the replicas known to serve.
func (p *gaugesPart) pools(now time.Time) {
	homed := make(map[state.ServiceID]int)
	queued := make(map[state.ServiceID]int)
	for _, pool := range p.c.slots.pools {
		homed[pool.Service] += len(pool.Replicas)
		if s, ok := p.c.slots.homes.Summary(now, pool.ID); ok {
			queued[pool.Service] += int(s.Waiting)
		}
	}
	serving := make(map[state.ServiceID]int)
	for _, r := range p.c.slots.replicas {
		if !r.Leaving {
			serving[r.Service]++
		}
	}
	m := p.c.d.metrics
	for id := range p.c.documents.inForce {
		m.SetService(telemetry.HomedReplicas, id, float64(homed[id]))
		m.SetService(telemetry.QueuedRequests, id, float64(queued[id]))
		m.SetService(telemetry.ServingReplicas, id, float64(serving[id]))
	}
}
