package gateway

import (
	rtmetrics "runtime/metrics"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// gaugeInterval is how often gauges are updated: twice per scrape interval.
const gaugeInterval = 2 * time.Second

// gauges periodically updates the gauges of the current state.
type gauges struct {
	c       *control
	next    time.Time
	waiting map[state.ServiceID]map[urgency.Class]bool // classes whose gauges were set
}

func (gs *gauges) tick() {
	if gs.c.now.Before(gs.next) {
		return
	}
	gs.next = gs.c.now.Add(gaugeInterval)
	m, v := gs.c.g.metrics, &gs.c.view
	streams, dead := gs.c.g.shared.counts()
	m.Set(telemetry.OpenStreams, float64(streams))
	m.Set(telemetry.DeadServers, float64(dead))
	m.Set(telemetry.LateCalls, float64(gs.c.g.shared.lateCallCount()))
	m.Set(telemetry.LiveMembers, float64(v.live))
	m.SetFlag(telemetry.Draining, v.draining)
	m.Set(telemetry.ConfigAge, gs.c.configFeed.machine.Age(gs.c.now).Seconds())
	m.Set(telemetry.ServersAge, gs.c.serverFeed.machine.Age(gs.c.now).Seconds())
	m.Set(telemetry.WaitingRequests, float64(gs.c.g.waitingRequests.Load()))
	gs.setWaiting()
	m.Set(telemetry.ProcessMemory, processMemory())
	m.Set(telemetry.AnswerSizeError, gs.c.g.shared.answerSizeError())
	if v.config != nil {
		m.Set(telemetry.ConfigVersion, float64(v.config.Version))
		gs.setServices(v)
	}
}

// setServices sets the gauges of each service, and the total over all services.
func (gs *gauges) setServices(v *view) {
	m, uncovered := gs.c.g.metrics, 0
	for id, svc := range v.config.Services {
		retries, used := gs.c.g.shared.usage(gs.c.now, v, &svc)
		m.SetService(telemetry.RetriesLeft, id, float64(retries))
		requests, open := gs.c.g.shared.retryUse(gs.c.now, id)
		m.SetService(telemetry.RetryRequests, id, float64(requests))
		m.SetService(telemetry.RetriesOpen, id, float64(open))
		if svc.Engine != nil {
			m.SetService(telemetry.RoomUsed, id, used)
			gs.c.g.shares.setGauges(gs.c.now, id)
			uncovered += layerCoverage(svc.Engine, v.servers[id]).Missing()
		}
	}
	m.Set(telemetry.UncoveredLayers, float64(uncovered))
}

// setWaiting sets the gauges of waiting requests, also of classes that have none any more.
func (gs *gauges) setWaiting() {
	counts := gs.c.g.waits.counts()
	for service, classes := range gs.waiting {
		for class := range classes {
			if counts[service][class] == 0 {
				gs.c.g.metrics.SetClass(telemetry.WaitingByClass, service, classLabel(class), 0)
			}
		}
	}
	gs.waiting = make(map[state.ServiceID]map[urgency.Class]bool, len(counts))
	for service, classes := range counts {
		gs.waiting[service] = make(map[urgency.Class]bool, len(classes))
		for class, n := range classes {
			gs.waiting[service][class] = true
			gs.c.g.metrics.SetClass(telemetry.WaitingByClass, service, classLabel(class), float64(n))
		}
	}
}

// layerCoverage counts the usable servers that hold each layer.
func layerCoverage(e *fleet.Engine, servers []fleet.Server) fleet.Cover {
	c := fleet.NewCover(e.Layers)
	for i := range servers {
		if !servers[i].Draining {
			c.Add(servers[i].Layers, 1)
		}
	}
	return c
}

// usage returns the retries that a service's requests have left, and the estimated fraction
// of its engines' KV-cache capacity that all daemons use.
func (s *sharedState) usage(now time.Time, v *view, svc *fleet.Service) (retries int, used float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retries = s.budget.Left(now, svc.ID, v.slackShare)
	if svc.Engine == nil {
		return retries, 0
	}
	tokens, capacity := 0.0, 0
	for i := range v.servers[svc.ID] {
		srv := &v.servers[svc.ID][i]
		tokens += s.loadOn(srv.Incarnation()).Tokens
		capacity += svc.Engine.KVCapacity(svc.Engine.Kinds[srv.Kind], srv.Layers.Len())
	}
	return retries, tokens * float64(max(v.live, 1)) / float64(max(capacity, 1))
}

// retryUse returns the requests of the last window that earn retries, and the retries that may
// still arrive.
func (s *sharedState) retryUse(now time.Time, svc state.ServiceID) (requests, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Use(now, svc)
}

// processMemory is the memory that the process holds from the operating system.
func processMemory() float64 {
	samples := []rtmetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	rtmetrics.Read(samples)
	return float64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
