package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// WeightStore is the rate-limited store that a site's engines load from.
type WeightStore struct {
	perLayer time.Duration

	mu   sync.Mutex
	free time.Time
}

// NewWeightStore returns a store that gives layersPerSecond in total.
func NewWeightStore(layersPerSecond float64) *WeightStore {
	return &WeightStore{perLayer: time.Duration(float64(time.Second) / layersPerSecond)}
}

// reserve returns when layers that are asked for now have been read.
func (w *WeightStore) reserve(layers int, now time.Time) time.Time {
	if w == nil {
		return now
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(layers) * w.perLayer)
	return w.free
}

// order carries out o. A load is answered at once and goes on behind the
// answer, with State.Loading set until it ends.
func (e *Engine) order(o engine.Order) (engine.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	if e.cfg.ChecksFencing {
		if o.FencingNumber < l.held.FencingNumber {
			return engine.OrderResult{Status: engine.OrderStale, State: l.state(time.Now())}, nil
		}
		l.held.FencingNumber = o.FencingNumber
	}
	if o.Kind == engine.OrderLoad && (o.Layers.First < 0 || o.Layers.Len() <= 0) {
		return engine.OrderResult{Status: engine.OrderRefused, State: l.state(time.Now()), Detail: "no such layers"}, nil
	}
	l.orders = append(l.orders, o)
	switch o.Kind {
	case engine.OrderLoad:
		e.loadWeights(l, o)
	case engine.OrderUnload:
		l.hold(engine.State{Role: l.held.Role, FencingNumber: l.held.FencingNumber})
	case engine.OrderSetRole:
		l.held.Role = o.Role
	default:
		return engine.OrderResult{Status: engine.OrderRefused, State: l.state(time.Now()), Detail: "no such order"}, nil
	}
	return engine.OrderResult{Status: engine.OrderApplied, State: l.state(time.Now())}, nil
}

// loadWeights reads the layers that are not held yet.
func (e *Engine) loadWeights(l *life, o engine.Order) {
	missing := o.Layers.Len()
	if o.Model == l.held.Model && o.Version == l.held.Version {
		overlap := state.LayerRange{First: max(o.Layers.First, l.held.Layers.First), End: min(o.Layers.End, l.held.Layers.End)}
		missing -= max(overlap.Len(), 0)
	}
	now := time.Now()
	own := now.Add(time.Duration(missing) * e.cfg.LayerLoadTime)
	if missing > 0 {
		if shared := e.cfg.Weights.reserve(missing, now); shared.After(own) {
			own = shared
		}
	}
	l.ready = own
	l.hold(engine.State{
		Service: o.Service, Model: o.Model, Version: o.Version, Adapters: slices.Clone(o.Adapters),
		Layers: o.Layers, Role: l.held.Role, FencingNumber: l.held.FencingNumber,
	})
}

// hold takes s over. Caches of other layers or weights are of no use then.
func (l *life) hold(s engine.State) {
	same := s.Layers == l.held.Layers && s.Model == l.held.Model && s.Version == l.held.Version
	l.held = s
	if same {
		return
	}
	for id, a := range l.attempts {
		if a.holdsKV {
			a.broken = true
			l.release(id, a)
		}
	}
}

func (l *life) loading(now time.Time) bool {
	return now.Before(l.ready)
}

func (l *life) state(now time.Time) engine.State {
	s := l.held
	s.Loading = l.loading(now)
	return s
}

// State is what the engine holds now.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.state(time.Now())
}

// Orders lists the orders that were carried out since the engine started.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.life.orders)
}
