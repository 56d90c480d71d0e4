package measure

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// ReplicaGroup is a group of identical replicas.
type ReplicaGroup struct {
	Kind      string          `json:"kind"` // accelerator kind
	Replicas  int             `json:"replicas"`
	StepTimes []time.Duration `json:"step_times_ns"` // time of one batch, by stage
}

// Layout describes the engines of a measurement.
type Layout struct {
	Groups   []ReplicaGroup `json:"groups"`
	Layers   int            `json:"layers"`
	BatchCap int            `json:"batch_cap"` // maximum steps of one batch
	Slots    int            `json:"slots"`     // concurrent requests of one replica
}

// MixedLayout is the layout of the published results: eight replicas of three kinds.
// The step times are long enough that the processors of the machine are not the
// bottleneck.
func MixedLayout() Layout {
	const ms = time.Millisecond
	return Layout{
		Groups: []ReplicaGroup{
			{Kind: "fast", Replicas: 3, StepTimes: []time.Duration{10 * ms, 10 * ms}},
			{Kind: "medium", Replicas: 3, StepTimes: []time.Duration{11 * ms, 11 * ms, 11 * ms}},
			{Kind: "slow", Replicas: 2, StepTimes: []time.Duration{13 * ms, 13 * ms, 13 * ms}},
		},
		Layers:   24,
		BatchCap: 8,
		Slots:    36,
	}
}

// Bound returns the maximum tokens per second of one replica of the group. Each stage
// runs at most one full batch after another, and each slot generates at most one token
// per pass through all stages. Links are assumed to take no time, so that the result is
// an upper bound for any real link.
func (g ReplicaGroup) Bound(batchCap, slots int) float64 {
	var round, slowest time.Duration
	for _, s := range g.StepTimes {
		round += s
		slowest = max(slowest, s)
	}
	return min(float64(batchCap)/slowest.Seconds(), float64(slots)/round.Seconds())
}

// Bound returns the maximum tokens per second of all replicas.
func (l Layout) Bound() float64 {
	sum := 0.0
	for _, g := range l.Groups {
		sum += float64(g.Replicas) * g.Bound(l.BatchCap, l.Slots)
	}
	return sum
}

// replica is one chain of engines.
type replica struct {
	kind  string
	steps []time.Duration
	chain service.Chain
}

// replicas returns the chains of all groups.
func (l Layout) replicas() []replica {
	var out []replica
	for _, g := range l.Groups {
		c := site.Chains{Prefix: g.Kind, Replicas: g.Replicas, Stages: len(g.StepTimes), Layers: l.Layers}
		for _, chain := range c.Placement().Chains {
			out = append(out, replica{kind: g.Kind, steps: g.StepTimes, chain: chain})
		}
	}
	return out
}

// backendKinds returns the accelerator kinds, with speeds relative to the fastest.
func (l Layout) backendKinds() []service.BackendKind {
	best := 0.0
	for _, g := range l.Groups {
		best = max(best, g.Bound(l.BatchCap, l.Slots))
	}
	var out []service.BackendKind
	for _, g := range l.Groups {
		out = append(out, service.BackendKind{
			Kind: g.Kind, ChecksFencing: true,
			Speed: g.Bound(l.BatchCap, l.Slots) / best, MemoryLayers: l.Layers,
		})
	}
	return out
}

const modelName = "notes"

// startEngines starts the engines of all replicas.
func (l Layout) startEngines(s *site.Site) error {
	for i, r := range l.replicas() {
		for j, st := range r.chain.Stages {
			err := s.AddEngine(standin.EngineConfig{
				ID: st.Backend, Service: drafts, Kind: r.kind, Model: modelName, Version: "1",
				Layers: state.LayerRange{First: st.First, End: st.End}, ModelLayers: l.Layers,
				StepTime: r.steps[j], BatchCap: l.BatchCap, ChecksFencing: true,
			}, site.Domains[i%len(site.Domains)])
			if err != nil {
				return fmt.Errorf("engine %s: %w", st.Backend, err)
			}
		}
	}
	return nil
}
