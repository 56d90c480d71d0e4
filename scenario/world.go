package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Times of the model site.
const (
	hop          = time.Millisecond       // one way between any two processes
	progressWait = 500 * time.Millisecond // after which a call counts as unanswered
	storeWait    = time.Second            // after which a store call counts as unanswered
)

// World is a site in virtual time. It belongs to one goroutine.
type Simulation struct {
	began  time.Time
	now    time.Time
	agenda agenda
	seq    int
	rng    *rand.Rand

	stepTime time.Duration
	engines  []*engine
	replicas []state.Replica
	table    *table
	pool     *pool
	nodes    []*node
	callers  []*caller
	books    *books

	out []string
}

// Layout is what a site is made of.
type Layout struct {
	Daemons      int
	Replicas     int
	Stages       int
	Slots        int // requests at one time in a replica
	StepTime     time.Duration
	StoreLatency time.Duration // of one call
	Documents    bool          // the daemons keep service documents

	Quarantine bool // the daemons quarantine what crashes engines
}

// seed makes every run of a script alike.
const seed = 11

// New returns a site that has been up for long enough to serve.
func New(l Layout) *Simulation {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &Simulation{
		began:    began,
		now:      began,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		stepTime: l.StepTime,
		table:    newTable(l.StoreLatency),
		books:    newBooks(),
	}
	for r := 1; r <= l.Replicas; r++ {
		w.addReplica(r, l)
	}
	for i := 1; i <= l.Daemons; i++ {
		w.addNode(fmt.Sprintf("d%d", i), uint32(i), l)
	}
	w.pool = newPool(w)
	if l.Quarantine {
		w.tellQuarantines()
	}
	w.settle()
	return w
}

// settle lets the home learn who holds what, and the documents become ready.
func (w *Simulation) settle() {
	const settled = 5 * time.Second
	w.runUntil(w.now.Add(settled), func() bool { return false })
	w.began = w.now
	w.out = nil
}

func (w *Simulation) addReplica(number int, l Layout) {
	r := state.Replica{
		ID: state.ReplicaID(fmt.Sprintf("r%d", number)), Service: serviceID, Slots: l.Slots, Speed: 1,
	}
	for s := 1; s <= l.Stages; s++ {
		e := newEngine(w, fmt.Sprintf("%s-%d", r.ID, s), s-1, l.Stages)
		w.engines = append(w.engines, e)
		r.Stages = append(r.Stages, state.Stage{
			Backend: state.BackendID(e.name),
			Address: e.name,
			Layers:  state.LayerRange{First: s - 1, End: s},
		})
	}
	w.replicas = append(w.replicas, r)
}

func (w *Simulation) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (w *Simulation) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *Simulation) caller(name string) *caller {
	for _, c := range w.callers {
		if c.name == name {
			return c
		}
	}
	return nil
}

func (w *Simulation) replica(id state.ReplicaID) (state.Replica, bool) {
	for _, r := range w.replicas {
		if r.ID == id {
			return r, true
		}
	}
	return state.Replica{}, false
}

// stamp is the time since the story began.
func (w *Simulation) stamp() string {
	return fmt.Sprintf("%dms", w.now.Sub(w.began).Milliseconds())
}

// say prints what happens now.
func (w *Simulation) say(format string, args ...any) {
	w.out = append(w.out, fmt.Sprintf("%8s  %s", w.stamp(), fmt.Sprintf(format, args...)))
}

// violated prints a promise that was broken.
func (w *Simulation) violated(format string, args ...any) {
	w.out = append(w.out, "VIOLATION "+fmt.Sprintf(format, args...))
}
