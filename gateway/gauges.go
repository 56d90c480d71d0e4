package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// gaugeInterval is how often gauges are set: twice in the time of a scrape.
const gaugeInterval = 2 * time.Second

// gauges sets what operators see of the present state, now and then.
type gauges struct {
	c    *control
	next time.Time
}

func (p *gauges) tick() {
	if p.c.now.Before(p.next) {
		return
	}
	p.next = p.c.now.Add(gaugeInterval)
	m, v := p.c.g.metrics, &p.c.view
	streams, dead := p.c.g.book.sizes()
	m.Set(telemetry.OpenStreams, float64(streams))
	m.Set(telemetry.DeadServers, float64(dead))
	m.Set(telemetry.LiveMembers, float64(v.live))
	m.SetFlag(telemetry.Draining, v.draining)
	if v.config != nil {
		m.Set(telemetry.ConfigVersion, float64(v.config.Version))
		m.Set(telemetry.UncoveredLayers, float64(uncovered(v)))
	}
}

// uncovered counts the layers that no listed server holds.
func uncovered(v *view) int {
	n := 0
	for id, svc := range v.config.Services {
		if svc.Engine == nil {
			continue
		}
		for l := range svc.Engine.Layers {
			if !held(v.servers[id], l) {
				n++
			}
		}
	}
	return n
}

func held(servers []fleet.Server, layer int) bool {
	for i := range servers {
		if servers[i].Holds(layer) {
			return true
		}
	}
	return false
}
