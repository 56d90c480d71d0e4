package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// component is one state machine of the control goroutine together with the
// code that carries out its actions.
type component interface {
	// nextTick returns when tick is due, or the zero time for never.
	nextTick(now time.Time) time.Time
	tick(now time.Time)
}

// control owns all control state. Other goroutines access it through post; its
// components call each other directly.
type control struct {
	d   *Daemon
	rng *rand.Rand
	now time.Time // time of the current iteration

	mu    sync.Mutex
	inbox []func()
	wake  chan struct{}

	// deferred holds messages of this daemon to itself. They are delivered
	// after the component that sent them has finished its step.
	deferred []func()

	store     *storeComponent
	members   *membersTracker
	instances *instancesTracker
	documents *documentsComponent
	slots     *slotsComponent
	claims    *claimsComponent
	batcher   *batcherComponent
	retries   *retriesComponent
	streams   *streamsComponent
	backends  *backendsTracker
	addresses *addressesComponent
	limits    *limitsComponent

	quarantine *quarantineComponent

	leases      *leasesComponent
	tables      *tablesComponent
	catalog     *catalogComponent
	controllers *controllersComponent
	layout      *layoutComponent
	weights     *weightsComponent
	deaths      *deathsTracker

	components []component
}

// maxIdleWait bounds the wait of the control loop while no component needs a
// tick.
const maxIdleWait = time.Second

func newControl(d *Daemon) *control {
	seed := rand.New(rand.NewPCG(uint64(d.ownerNumber), uint64(time.Now().UnixNano())))
	c := &control{d: d, rng: seed, now: time.Now(), wake: make(chan struct{}, 1)}
	c.store = newStoreComponent(c)
	c.members = newMembersTracker(c)
	c.instances = newInstancesTracker(c)
	c.documents = newDocumentsComponent(c)
	c.slots = newSlotsComponent(c)
	c.claims = newClaimsComponent(c)
	c.batcher = newBatcherComponent(c)
	c.retries = newRetriesComponent(c)
	c.streams = newStreamsComponent(c)
	c.backends = newBackendsTracker(c)
	c.addresses = newAddressesComponent(c)
	c.limits = newLimitsComponent(c)
	c.quarantine = newQuarantineComponent(c)
	c.leases = newLeasesComponent(c)
	c.tables = newTablesComponent(c)
	c.catalog = newCatalogComponent(c)
	c.controllers = newControllersComponent(c)
	c.layout = newLayoutComponent(c)
	c.weights = newWeightsComponent(c)
	c.deaths = newDeathsTracker(c)
	c.components = []component{
		c.store, c.members, c.instances, c.documents, c.slots, c.claims,
		c.batcher, c.streams, c.backends, c.limits, c.quarantine, newGaugesTracker(c),
		c.leases, c.tables, c.catalog, c.controllers, c.layout,
	}
	return c
}

// post queues f to run on the control goroutine. It never blocks: a request's
// goroutine that blocked here could deadlock with a control goroutine that
// waits for it.
func (c *control) post(f func()) {
	c.mu.Lock()
	c.inbox = append(c.inbox, f)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// afterStep queues f to run in this iteration, after the current step.
func (c *control) afterStep(f func()) {
	c.deferred = append(c.deferred, f)
}

// run is the control goroutine; it ends when the daemon is killed.
func (c *control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.call(c.members.viewChanged) // without peers this daemon is home of everything
	c.call(func() { c.instances.seed(nil) })
	for {
		select {
		case <-c.d.kill:
			return
		case <-c.wake:
		case <-timer.C:
		}
		start := time.Now()
		c.iterate()
		c.d.metrics.Add(telemetry.ControlMicrosecondsTotal, time.Since(start).Microseconds())
		timer.Reset(c.untilTick())
	}
}

// iterate handles all posted functions and every tick that is due.
func (c *control) iterate() {
	c.now = time.Now()
	c.mu.Lock()
	inbox := c.inbox
	c.inbox = nil
	c.mu.Unlock()
	for _, f := range inbox {
		c.call(f)
	}
	for _, comp := range c.components {
		if at := comp.nextTick(c.now); !at.IsZero() && !at.After(c.now) {
			c.call(func() { comp.tick(c.now) })
		}
	}
}

// call runs f and then the functions that it deferred.
func (c *control) call(f func()) {
	f()
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		next()
	}
}

func (c *control) untilTick() time.Duration {
	wait := maxIdleWait
	now := time.Now()
	for _, comp := range c.components {
		if at := comp.nextTick(now); !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return max(wait, 0)
}
