package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Defaults of EngineConfig.
const (
	DefaultStepTime    = 200 * time.Microsecond
	DefaultBatchCap    = 32
	DefaultKVSlots     = 256
	DefaultCacheBlocks = 1024
	defaultKVIdle      = 30 * time.Second
)

// EngineConfig describes one model engine. Zero fields take the defaults.
type EngineConfig struct {
	ID      state.BackendID
	Service state.ServiceID
	Kind    string // of accelerator

	Model       string
	Version     string
	Adapters    []string
	Role        string
	Layers      state.LayerRange // held at the start; empty for none
	ModelLayers int              // of the whole model; the stage that ends there is the last

	StepTime    time.Duration // of one batch; default 200 µs
	LayerTime   time.Duration // added per layer
	PrefillTime time.Duration // added per prompt block that is not in the prefix cache
	BatchCap    int           // steps of one batch; default 32
	KVSlots     int           // attempts in progress; default 256

	ChecksFencing bool // refuse orders with an old fencing number

	CacheBlocks int           // prompt blocks that the prefix cache holds; default 1024
	CacheLag    time.Duration // from a cache event to its publishing
	CacheGap    int           // each CacheGap-th event is never published; 0 for none
	LoadLag     time.Duration // age of load reports

	LayerLoadTime time.Duration // per layer that an order loads
	Weights       *WeightStore  // shared by a site; nil has no limit

	Ledger *Ledger // shared by a site; nil keeps its own
}

func (c EngineConfig) withDefaults() EngineConfig {
	if c.StepTime <= 0 {
		c.StepTime = DefaultStepTime
	}
	if c.BatchCap <= 0 {
		c.BatchCap = DefaultBatchCap
	}
	if c.KVSlots <= 0 {
		c.KVSlots = DefaultKVSlots
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.ModelLayers <= 0 {
		c.ModelLayers = c.Layers.End
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}

// Engine is a stand-in of one model engine.
type Engine struct {
	*endpoint
	cfg EngineConfig

	mu      sync.Mutex
	changed *sync.Cond // an attempt stopped running, or the engine died
	life    *life
	slow    float64
	crashOn string
	left    time.Time // when Leave was called; zero before
	late    []time.Time
}

// life is what an engine holds in memory: all of it is gone after Kill.
type life struct {
	name     string // unlike any other life's
	dead     bool
	wake     chan struct{}
	queue    []*pendingStep
	batch    int           // steps of the batch under way
	lateness time.Duration // of the last batch's end; the loop's own
	attempts map[attemptID]*attempt
	done     []attemptID // finished or barred attempts, oldest first
	live     int         // attempts that hold KV cache
	held     engine.State
	ready    time.Time // when the load order under way ends
	cache    *prefixCache
	load     *loadReport
	orders   []engine.Order
}

// StartEngine starts an engine on a loopback port.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	e := &Engine{endpoint: newEndpoint(), cfg: cfg.withDefaults(), slow: 1}
	e.changed = sync.NewCond(&e.mu)
	e.routes()
	e.onKill = append(e.onKill, e.end)
	return e, e.start()
}

// Restart starts a killed engine again, on its address, with empty caches and
// the configured layers.
func (e *Engine) Restart() error {
	return e.start()
}

func (e *Engine) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	l := &life{
		name:     fmt.Sprintf("%s@%d", e.cfg.ID, time.Now().UnixNano()),
		wake:     make(chan struct{}, 1),
		attempts: make(map[attemptID]*attempt),
		cache:    newPrefixCache(e.cfg.CacheBlocks, e.cfg.CacheLag, e.cfg.CacheGap),
		load:     newLoadReport(e.cfg.LoadLag),
		held: engine.State{
			Service: e.cfg.Service, Model: e.cfg.Model, Version: e.cfg.Version,
			Adapters: e.cfg.Adapters, Layers: e.cfg.Layers, Role: e.cfg.Role,
		},
	}
	e.mu.Lock()
	e.life = l
	e.left = time.Time{}
	e.mu.Unlock()
	go e.loop(l)
	return nil
}

// end marks the life over, so that nothing of it runs or is recorded any more.
func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	l.dead = true
	for _, p := range l.queue {
		close(p.done)
	}
	l.queue = nil
	l.signal()
	e.changed.Broadcast()
}

func (l *life) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Runs reports whether the engine holds an attempt of a request that began.
func (e *Engine) HasStarted(id state.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, a := range e.life.attempts {
		if key.request == id && a.started {
			return true
		}
	}
	return false
}

// Requests lists the requests that have an attempt here which began and has not
// ended.
func (e *Engine) Requests() []state.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []state.RequestID
	for key, a := range e.life.attempts {
		if a.started && !a.final && !a.canceled {
			out = append(out, key.request)
		}
	}
	return out
}

// Served counts the attempts that began in this life of the engine and are
// remembered.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.life.attempts {
		if a.started {
			n++
		}
	}
	return n
}

// Slow makes every batch take factor times as long.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// CrashOn makes the engine die when it begins a step of a request whose prompt
// contains part; "" ends it.
func (e *Engine) CrashOn(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = part
}

// Leave makes the engine report that it is leaving. It goes on running steps.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left.IsZero() {
		e.left = time.Now()
		e.life.report(true)
	}
}

// NewAfterLeave counts the attempts that began later than grace after Leave.
func (e *Engine) StartedAfterLeave(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.late {
		if at.Sub(e.left) > grace {
			n++
		}
	}
	return n
}

// Running counts the steps of the batch under way.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.batch
}

// ID is the configured name.
func (e *Engine) ID() state.BackendID { return e.cfg.ID }

// Config is the configuration with its defaults filled in.
func (e *Engine) Config() EngineConfig { return e.cfg }

// routes binds the engine contract to HTTP.
func (e *Engine) routes() {
	handle(e.endpoint, "POST "+engine.PathStep, changing, e.steps)
	handle(e.endpoint, "POST "+engine.PathResume, changing, e.resume)
	handle(e.endpoint, "POST "+engine.PathCancel, changing, e.cancel)
	handle(e.endpoint, "POST "+engine.PathExportKV, reading, e.exportKV)
	handle(e.endpoint, "POST "+engine.PathImportKV, changing, e.importKV)
	handle(e.endpoint, "POST "+engine.PathOrder, changing, e.order)
	handle(e.endpoint, "GET "+engine.PathState, reading, func(struct{}) (engine.State, error) { return e.State(), nil })
	handle(e.endpoint, "GET "+engine.PathLoad, reading, e.loadCall)
	e.mux.HandleFunc("GET "+engine.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, reading, func([]byte) (any, error) {
			after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
			if err != nil {
				return nil, err
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			return engine.CacheEvents{Events: e.life.cache.published(after, time.Now())}, nil
		})
	})
}

func (e *Engine) loadCall(struct{}) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.life.load.at(time.Now())
	load.BootID = e.life.name
	return load, nil
}

// report notes the load of this moment.
func (l *life) report(leaving bool) {
	l.load.note(time.Now(), engine.Load{Running: l.live, Queued: len(l.queue), Leaving: leaving})
}

// crashes reports whether running a request with this prompt ends the engine,
// given that crashOn is set.
func (e *Engine) crashes(prompt string) bool {
	return strings.Contains(prompt, e.crashOn)
}
