package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Times of the simulated site.
const (
	hopDelay        = time.Millisecond       // one-way delay between any two processes
	progressTimeout = 500 * time.Millisecond // after which a call counts as unanswered
	storeTimeout    = time.Second            // after which a store call counts as unanswered
)

// Simulation is a site in virtual time. It must be used by one goroutine only.
type Simulation struct {
	startTime time.Time
	now       time.Time
	events    eventQueue
	seq       int
	rng       *rand.Rand

	stepTime time.Duration
	engines  []*engine
	replicas []state.Replica
	table    *table
	pool     *pool
	nodes    []*node
	callers  []*caller
	ledger   *ledger

	output []string
}

// Layout is the configuration of a simulated site.
type Layout struct {
	Daemons      int
	Replicas     int
	Stages       int
	Slots        int // concurrent requests of a replica
	StepTime     time.Duration
	StoreLatency time.Duration // of one store call
	Documents    bool          // the daemons run the document state machine

	Quarantine bool // the daemons quarantine contents that crash engines
}

// seed is fixed so that every run of a script gives the same output.
const seed = 11

// New returns a simulation of a site that is ready to serve requests.
func New(l Layout) *Simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &Simulation{
		startTime: start,
		now:       start,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		stepTime:  l.StepTime,
		table:     newTable(l.StoreLatency),
		ledger:    newLedger(),
	}
	for r := 1; r <= l.Replicas; r++ {
		sim.addReplica(r, l)
	}
	for i := 1; i <= l.Daemons; i++ {
		sim.addNode(fmt.Sprintf("d%d", i), uint32(i), l)
	}
	sim.pool = newPool(sim)
	if l.Quarantine {
		sim.updateQuarantineViews()
	}
	sim.waitReady()
	return sim
}

// waitReady advances time until the home has recovered its grants and the documents
// are ready.
func (sim *Simulation) waitReady() {
	const settled = 5 * time.Second
	sim.runUntil(sim.now.Add(settled), func() bool { return false })
	sim.startTime = sim.now
	sim.output = nil
}

func (sim *Simulation) addReplica(number int, l Layout) {
	r := state.Replica{
		ID: state.ReplicaID(fmt.Sprintf("r%d", number)), Service: serviceID, Slots: l.Slots, Speed: 1,
	}
	for s := 1; s <= l.Stages; s++ {
		e := newEngine(sim, fmt.Sprintf("%s-%d", r.ID, s), s-1, l.Stages)
		sim.engines = append(sim.engines, e)
		r.Stages = append(r.Stages, state.Stage{
			Backend: state.BackendID(e.name),
			Address: e.name,
			Layers:  state.LayerRange{First: s - 1, End: s},
		})
	}
	sim.replicas = append(sim.replicas, r)
}

func (sim *Simulation) engine(name string) *engine {
	for _, e := range sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (sim *Simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (sim *Simulation) caller(name string) *caller {
	for _, c := range sim.callers {
		if c.name == name {
			return c
		}
	}
	return nil
}

func (sim *Simulation) replica(id state.ReplicaID) (state.Replica, bool) {
	for _, r := range sim.replicas {
		if r.ID == id {
			return r, true
		}
	}
	return state.Replica{}, false
}

// timestamp returns the virtual time since the start of the scenario.
func (sim *Simulation) timestamp() string {
	return fmt.Sprintf("%dms", sim.now.Sub(sim.startTime).Milliseconds())
}

// printf prints a line with the current virtual time.
func (sim *Simulation) printf(format string, args ...any) {
	sim.output = append(sim.output, fmt.Sprintf("%8s  %s", sim.timestamp(), fmt.Sprintf(format, args...)))
}

// reportViolation prints a broken invariant.
func (sim *Simulation) reportViolation(format string, args ...any) {
	sim.output = append(sim.output, "VIOLATION "+fmt.Sprintf(format, args...))
}
