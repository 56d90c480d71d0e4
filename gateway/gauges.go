package gateway

import (
	rtmetrics "runtime/metrics"
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
	m.Set(telemetry.ConfigAge, p.c.configs.m.Age(p.c.now).Seconds())
	m.Set(telemetry.ServersAge, p.c.entries.m.Age(p.c.now).Seconds())
	m.Set(telemetry.WaitingRequests, float64(p.c.g.waiting.Load()))
	m.Set(telemetry.ProcessMemory, processMemory())
	if v.config != nil {
		m.Set(telemetry.ConfigVersion, float64(v.config.Version))
		m.Set(telemetry.UncoveredLayers, float64(uncovered(v)))
		p.services(v)
	}
}

// services sets the gauges of each service.
func (p *gauges) services(v *view) {
	for _, s := range p.c.g.book.services(p.c.now, v) {
		p.c.g.metrics.SetService(telemetry.RetriesLeft, s.ID, float64(s.RetriesLeft))
		tokens, room := 0.0, 0
		for i := range s.Servers {
			tokens += s.Servers[i].Tokens
			room += s.Servers[i].Room
		}
		if room > 0 {
			p.c.g.metrics.SetService(telemetry.RoomUsed, s.ID, tokens*float64(max(v.live, 1))/float64(room))
		}
	}
}

// processMemory is what the process has from the system and has not given back.
func processMemory() float64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	return float64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
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
