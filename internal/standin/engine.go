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
	kvIdleTimeout      = 30 * time.Second
)

// EngineConfig describes one model engine. Zero fields take the defaults.
type EngineConfig struct {
	ID      state.BackendID
	Service state.ServiceID
	Kind    string // kind of accelerator

	Model       string
	Version     string
	Adapters    []string
	Role        string
	Layers      state.LayerRange // loaded at the start; empty for none
	ModelLayers int              // of the complete model; the stage that ends there is the last

	StepTime    time.Duration // duration of one batch; default 200 µs
	LayerTime   time.Duration // added per layer
	PrefillTime time.Duration // added per prompt block that is not in the prefix cache
	BatchCap    int           // maximum steps per batch; default 32
	KVSlots     int           // attempts with a KV cache at a time; default 256

	ChecksFencing bool // refuse orders with an old fencing number

	CacheBlocks int           // prompt blocks in the prefix cache; default 1024
	CacheLag    time.Duration // delay from a cache event to its publication
	CacheGap    int           // every CacheGap-th event is never published; 0 publishes all
	LoadLag     time.Duration // age of load reports

	LayerLoadTime time.Duration // per layer that an order loads
	Weights       *WeightStore  // shared by a site; nil means no limit

	Ledger *Ledger // shared by a site; nil creates one
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

	mu               sync.Mutex
	changed          *sync.Cond // signals that a batch ended or the engine was killed
	incarnation      *incarnation
	slowdown         float64
	crashOn          string
	leavingSince     time.Time // time of the call of Leave; zero before
	startsAfterLeave []time.Time
}

// incarnation is the in-memory state of one run of an engine. Kill discards it.
type incarnation struct {
	bootID        string // unique to this incarnation
	dead          bool
	wake          chan struct{}
	queue         []*pendingStep
	batchSize     int           // steps in the current batch
	lateness      time.Duration // of the end of the last batch; used by loop only
	attempts      map[attemptID]*attempt
	endedAttempts []attemptID // ended or fenced attempts, oldest first
	kvSlotsInUse  int         // attempts that hold a KV cache
	loaded        engine.State
	loadEnds      time.Time // when the current load order ends
	cache         *prefixCache
	reportedLoad  *loadReport
	orders        []engine.Order
}

// StartEngine starts an engine on a loopback port.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	e := &Engine{endpoint: newEndpoint(), cfg: cfg.withDefaults(), slowdown: 1}
	e.changed = sync.NewCond(&e.mu)
	e.routes()
	e.onKill = append(e.onKill, e.endIncarnation)
	return e, e.start()
}

// Restart restarts a killed engine on its address, with empty caches and the
// configured layers.
func (e *Engine) Restart() error {
	return e.start()
}

func (e *Engine) start() error {
	if err := e.listen(); err != nil {
		return err
	}
	inc := &incarnation{
		bootID:       fmt.Sprintf("%s@%d", e.cfg.ID, time.Now().UnixNano()),
		wake:         make(chan struct{}, 1),
		attempts:     make(map[attemptID]*attempt),
		cache:        newPrefixCache(e.cfg.CacheBlocks, e.cfg.CacheLag, e.cfg.CacheGap),
		reportedLoad: newLoadReport(e.cfg.LoadLag),
		loaded: engine.State{
			Service: e.cfg.Service, Model: e.cfg.Model, Version: e.cfg.Version,
			Adapters: e.cfg.Adapters, Layers: e.cfg.Layers, Role: e.cfg.Role,
		},
	}
	e.mu.Lock()
	e.incarnation = inc
	e.leavingSince = time.Time{}
	e.mu.Unlock()
	go e.loop(inc)
	return nil
}

// endIncarnation ends the current incarnation, so that none of its steps runs or is
// recorded any more.
func (e *Engine) endIncarnation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	inc := e.incarnation
	inc.dead = true
	for _, p := range inc.queue {
		close(p.done)
	}
	inc.queue = nil
	inc.signal()
	e.changed.Broadcast()
}

func (inc *incarnation) signal() {
	select {
	case inc.wake <- struct{}{}:
	default:
	}
}

// HasStarted reports whether the engine has a record of a started attempt of a request.
func (e *Engine) HasStarted(id state.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, a := range e.incarnation.attempts {
		if key.request == id && a.started {
			return true
		}
	}
	return false
}

// Requests returns the requests with a started attempt that has neither completed nor
// been canceled.
func (e *Engine) Requests() []state.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []state.RequestID
	for key, a := range e.incarnation.attempts {
		if a.started && !a.final && !a.canceled {
			out = append(out, key.request)
		}
	}
	return out
}

// Served returns the number of started attempts of the current incarnation whose
// records are retained.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.incarnation.attempts {
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
	e.slowdown = factor
}

// CrashOn makes the engine crash when it starts a step of a request whose prompt
// contains part. "" disables it.
func (e *Engine) CrashOn(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn = part
}

// Leave makes the engine report that it is leaving. It continues to run steps.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
		e.incarnation.reportLoad(true)
	}
}

// StartedAfterLeave returns the number of attempts that started more than grace after
// Leave.
func (e *Engine) StartedAfterLeave(grace time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.startsAfterLeave {
		if at.Sub(e.leavingSince) > grace {
			n++
		}
	}
	return n
}

// Running returns the number of steps in the current batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation.batchSize
}

// ID returns the configured ID.
func (e *Engine) ID() state.BackendID { return e.cfg.ID }

// Config returns the configuration with its defaults filled in.
func (e *Engine) Config() EngineConfig { return e.cfg }

// routes registers the HTTP handlers of the engine protocol.
func (e *Engine) routes() {
	handle(e.endpoint, "POST "+engine.PathStep, writeCall, e.steps)
	handle(e.endpoint, "POST "+engine.PathResume, writeCall, e.resume)
	handle(e.endpoint, "POST "+engine.PathCancel, writeCall, e.cancel)
	handle(e.endpoint, "POST "+engine.PathExportKV, readCall, e.exportKV)
	handle(e.endpoint, "POST "+engine.PathImportKV, writeCall, e.importKV)
	handle(e.endpoint, "POST "+engine.PathOrder, writeCall, e.order)
	handle(e.endpoint, "GET "+engine.PathState, readCall, func(struct{}) (engine.State, error) { return e.State(), nil })
	handle(e.endpoint, "GET "+engine.PathLoad, readCall, e.loadCall)
	e.mux.HandleFunc("GET "+engine.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, readCall, func([]byte) (any, error) {
			after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
			if err != nil {
				return nil, err
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			return engine.CacheEvents{Events: e.incarnation.cache.published(after, time.Now())}, nil
		})
	})
}

func (e *Engine) loadCall(struct{}) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.incarnation.reportedLoad.reported(time.Now())
	load.BootID = e.incarnation.bootID
	return load, nil
}

// reportLoad records the current load.
func (inc *incarnation) reportLoad(leaving bool) {
	inc.reportedLoad.record(time.Now(), engine.Load{Running: inc.kvSlotsInUse, Queued: len(inc.queue), Leaving: leaving})
}

// crashesOn reports whether a request with this prompt crashes the engine, given that
// crashOn is set.
func (e *Engine) crashesOn(prompt string) bool {
	return strings.Contains(prompt, e.crashOn)
}
