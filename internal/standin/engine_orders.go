package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// WeightStore is the rate-limited store from which a site's engines load weights.
type WeightStore struct {
	perLayer time.Duration

	mu     sync.Mutex
	freeAt time.Time
}

// NewWeightStore returns a store that delivers layersPerSecond to all engines together.
func NewWeightStore(layersPerSecond float64) *WeightStore {
	return &WeightStore{perLayer: time.Duration(float64(time.Second) / layersPerSecond)}
}

// reserve queues a read of layers and returns the time at which it will be done.
func (w *WeightStore) reserve(layers int, now time.Time) time.Time {
	if w == nil {
		return now
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(layers) * w.perLayer)
	return w.freeAt
}

// order executes o. A load is answered at once and continues in the background, with
// State.Loading set until it ends.
func (e *Engine) order(o engine.Order) (engine.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	if e.cfg.ChecksFencing {
		if o.FencingNumber < inc.loaded.FencingNumber {
			return engine.OrderResult{Status: engine.OrderStale, State: inc.state(time.Now())}, nil
		}
		inc.loaded.FencingNumber = o.FencingNumber
	}
	if o.Kind == engine.OrderLoad && (o.Layers.First < 0 || o.Layers.Len() <= 0) {
		return engine.OrderResult{Status: engine.OrderRefused, State: inc.state(time.Now()), Detail: "no such layers"}, nil
	}
	inc.orders = append(inc.orders, o)
	switch o.Kind {
	case engine.OrderLoad:
		e.loadWeights(inc, o)
	case engine.OrderUnload:
		inc.setLoaded(engine.State{Role: inc.loaded.Role, FencingNumber: inc.loaded.FencingNumber})
	case engine.OrderSetRole:
		inc.loaded.Role = o.Role
	default:
		return engine.OrderResult{Status: engine.OrderRefused, State: inc.state(time.Now()), Detail: "no such order"}, nil
	}
	return engine.OrderResult{Status: engine.OrderApplied, State: inc.state(time.Now())}, nil
}

// loadWeights starts the load of the layers that are not loaded yet.
func (e *Engine) loadWeights(inc *incarnation, o engine.Order) {
	missing := o.Layers.Len()
	if o.Model == inc.loaded.Model && o.Version == inc.loaded.Version {
		overlap := state.LayerRange{First: max(o.Layers.First, inc.loaded.Layers.First), End: min(o.Layers.End, inc.loaded.Layers.End)}
		missing -= max(overlap.Len(), 0)
	}
	now := time.Now()
	ends := now.Add(time.Duration(missing) * e.cfg.LayerLoadTime)
	if missing > 0 {
		if shared := e.cfg.Weights.reserve(missing, now); shared.After(ends) {
			ends = shared
		}
	}
	inc.loadEnds = ends
	inc.setLoaded(engine.State{
		Service: o.Service, Model: o.Model, Version: o.Version, Adapters: slices.Clone(o.Adapters),
		Layers: o.Layers, Role: inc.loaded.Role, FencingNumber: inc.loaded.FencingNumber,
	})
}

// setLoaded makes s the engine's state. If the layers or the weights change, it drops
// all KV caches, which are then unusable.
func (inc *incarnation) setLoaded(s engine.State) {
	same := s.Layers == inc.loaded.Layers && s.Model == inc.loaded.Model && s.Version == inc.loaded.Version
	inc.loaded = s
	if same {
		return
	}
	for id, a := range inc.attempts {
		if a.holdsKV {
			a.broken = true
			inc.release(id, a)
		}
	}
}

func (inc *incarnation) loading(now time.Time) bool {
	return now.Before(inc.loadEnds)
}

func (inc *incarnation) state(now time.Time) engine.State {
	s := inc.loaded
	s.Loading = inc.loading(now)
	return s
}

// State returns the engine's current state.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation.state(time.Now())
}

// Orders returns the orders executed since the engine started.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.incarnation.orders)
}
