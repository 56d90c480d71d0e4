package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// part is one state machine of the control goroutine with what carries out its
// actions.
type part interface {
	// nextTick is when tick is due, or the zero time.
	nextTick(now time.Time) time.Time
	tick(now time.Time)
}

// control owns all control state. Other goroutines reach it through post; its
// parts call each other directly.
type control struct {
	d   *Daemon
	rng *rand.Rand
	now time.Time // of the turn under way

	mu    sync.Mutex
	inbox []func()
	wake  chan struct{}

	// local are messages of this daemon to itself, delivered after the part
	// that sent them has finished its step.
	local []func()

	store     *storePart
	members   *membersPart
	instances *instancesPart
	documents *documentsPart
	slots     *slotsPart
	claims    *claimsPart
	batcher   *batcherPart
	retries   *retriesPart
	streams   *streamsPart
	backends  *backendsPart
	addresses *addressesPart
	limits    *limitsPart

	quarantine *quarantinePart

	leases      *leasesPart
	tables      *tablesPart
	catalog     *catalogPart
	controllers *controllersPart
	layout      *layoutPart
	weights     *weightsPart
	deaths      *deathsPart

	parts []part
}

// idleWait bounds a turn's wait where no part wants a tick.
const idleWait = time.Second

func newControl(d *Daemon) *control {
	seed := rand.New(rand.NewPCG(uint64(d.owner), uint64(time.Now().UnixNano())))
	c := &control{d: d, rng: seed, now: time.Now(), wake: make(chan struct{}, 1)}
	c.store = newStorePart(c)
	c.members = newMembersPart(c)
	c.instances = newInstancesPart(c)
	c.documents = newDocumentsPart(c)
	c.slots = newSlotsPart(c)
	c.claims = newClaimsPart(c)
	c.batcher = newBatcherPart(c)
	c.retries = newRetriesPart(c)
	c.streams = newStreamsPart(c)
	c.backends = newBackendsPart(c)
	c.addresses = newAddressesPart(c)
	c.limits = newLimitsPart(c)
	c.quarantine = newQuarantinePart(c)
	c.leases = newLeasesPart(c)
	c.tables = newTablesPart(c)
	c.catalog = newCatalogPart(c)
	c.controllers = newControllersPart(c)
	c.layout = newLayoutPart(c)
	c.weights = newWeightsPart(c)
	c.deaths = newDeathsPart(c)
	c.parts = []part{
		c.store, c.members, c.instances, c.documents, c.slots, c.claims,
		c.batcher, c.streams, c.backends, c.limits, c.quarantine, newGaugesPart(c),
		c.leases, c.tables, c.catalog, c.controllers, c.layout,
	}
	return c
}

// post has f run on the control goroutine. It never blocks, so that a request's
// goroutine can't hold up the control goroutine that waits for it.
func (c *control) post(f func()) {
	c.mu.Lock()
	c.inbox = append(c.inbox, f)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// later has f run in this turn, after the step under way.
func (c *control) later(f func()) {
	c.local = append(c.local, f)
}

// run is the control goroutine; it ends when the daemon is killed.
func (c *control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.call(c.members.viewChanged) // a daemon alone is home of everything
	c.call(func() { c.instances.seed(nil) })
	for {
		select {
		case <-c.d.kill:
			return
		case <-c.wake:
		case <-timer.C:
		}
		began := time.Now()
		c.turn()
		c.d.metrics.Add(telemetry.ControlMicrosecondsTotal, time.Since(began).Microseconds())
		timer.Reset(c.untilTick())
	}
}

// turn handles everything that has come in and every tick that is due.
func (c *control) turn() {
	c.now = time.Now()
	c.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	for _, f := range inbox {
		c.call(f)
	}
	for _, p := range c.parts {
		if at := p.nextTick(c.now); !at.IsZero() && !at.After(c.now) {
			c.call(func() { p.tick(c.now) })
		}
	}
}

// call runs f and then what it left for later.
func (c *control) call(f func()) {
	f()
	for len(c.local) > 0 {
		next := c.local[0]
		c.local = c.local[1:]
		next()
	}
}

func (c *control) untilTick() time.Duration {
	wait := idleWait
	now := time.Now()
	for _, p := range c.parts {
		if at := p.nextTick(now); !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return max(wait, 0)
}
