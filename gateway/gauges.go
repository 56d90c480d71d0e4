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
		p.services(v)
	}
}

// services sets the gauges of each service, and the one over all.
func (p *gauges) services(v *view) {
	m, uncovered := p.c.g.metrics, 0
	for id, svc := range v.config.Services {
		retries, used := p.c.g.book.usage(p.c.now, v, &svc)
		m.SetService(telemetry.RetriesLeft, id, float64(retries))
		if svc.Engine != nil {
			m.SetService(telemetry.RoomUsed, id, used)
			uncovered += cover(svc.Engine, v.servers[id]).Missing()
		}
	}
	m.Set(telemetry.UncoveredLayers, float64(uncovered))
}

// cover counts the servers that hold each layer and may be used.
func cover(e *fleet.Engine, servers []fleet.Server) fleet.Cover {
	c := fleet.NewCover(e.Layers)
	for i := range servers {
		if !servers[i].Draining {
			c.Add(servers[i].Layers, 1)
		}
	}
	return c
}

// usage is how many retries a service's requests have left, and which share of its
// engines' room is believed to be used by all daemons.
func (b *book) usage(now time.Time, v *view, svc *fleet.Service) (retries int, used float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	retries = b.budget.Left(now, svc.ID, v.sharers)
	if svc.Engine == nil {
		return retries, 0
	}
	tokens, room := 0.0, 0
	for i := range v.servers[svc.ID] {
		s := &v.servers[svc.ID][i]
		tokens += b.load(s.Life()).Tokens
		room += svc.Engine.Room(svc.Engine.Kinds[s.Kind], s.Layers.Len())
	}
	return retries, tokens * float64(max(v.live, 1)) / float64(max(room, 1))
}

// processMemory is what the process has from the system and has not given back.
func processMemory() float64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	return float64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
