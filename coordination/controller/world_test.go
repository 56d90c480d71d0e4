package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	testService  = state.ServiceID("drafts")
	tickInterval = 50 * time.Millisecond
)

// simulation runs controllers against fake servers in virtual time.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	timers  []timer
	cfg     controller.Config
	servers map[state.BackendID]*fakeServer
	holders []*holder
	table   controller.ReplicaTable // as last published
	visible controller.ReplicaTable // as the daemons that send requests see it, up to PropagationDelay later

	lossRate        float64 // share of calls lost, and of answers lost
	maxDelay        time.Duration
	maxRequestTime  time.Duration // longest duration of a request; 0 for no requests
	replicaRequests map[state.ReplicaID]int
	violation       string
	maxLoading      int // most concurrent loads
	reads           int
}

type timer struct {
	at  time.Time
	run func()
}

// fakeServer is one backend server.
type fakeServer struct {
	id             state.BackendID
	checksFencing  bool
	state          controller.ServerState
	loadedAt       time.Time
	inFlight       int
	fencingNumbers []state.FencingNumber // of the orders that took effect
}

// holder is a controller that has, or had, the lease.
type holder struct {
	sim             *simulation
	m               *controller.Machine
	fencingRefusals int
	orders          []controller.Order
	delayNext       time.Duration // delay of the next order, once
	delayedServer   state.BackendID
	pause           time.Duration              // between deciding on an order and sending it
	dropped         int                        // orders not sent because NotAfter had passed
	calls           map[state.BackendID]string // "r" for each read, "o" for each order
}

func newSimulation(seed uint64, checks func(i int) bool, servers int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(0, 0), cfg: controller.DefaultConfig(testService),
		servers: map[state.BackendID]*fakeServer{}, replicaRequests: map[state.ReplicaID]int{}, maxDelay: 20 * time.Millisecond,
	}
	sim.cfg.GuaranteedLoads = 4
	for i := range servers {
		id := state.BackendID(fmt.Sprintf("b%02d", i))
		sim.servers[id] = &fakeServer{id: id, checksFencing: checks(i)}
	}
	return sim
}

func always(int) bool { return true }
func never(int) bool  { return false }

// startHolder starts a controller that holds the lease.
func (s *simulation) startHolder(fencing state.FencingNumber, clean bool, d controller.Desired) *holder {
	h := &holder{sim: s, m: controller.New(s.cfg), calls: map[state.BackendID]string{}}
	s.holders = append(s.holders, h)
	var list []controller.Backend
	for _, id := range s.ids() {
		list = append(list, controller.Backend{ID: id, ChecksFencing: s.servers[id].checksFencing})
	}
	h.step(controller.Backends{List: list})
	h.step(d)
	h.lease(lease.Held, fencing, clean, time.Hour)
	h.step(controller.Adopt{Table: s.table})
	return h
}

func (s *simulation) ids() []state.BackendID {
	var ids []state.BackendID
	for id := range s.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *holder) lease(s lease.State, fencing state.FencingNumber, clean bool, span time.Duration) {
	h.step(controller.Lease{Status: lease.Status{
		Service: testService, State: s, Fencing: fencing, Until: h.sim.now.Add(span), Clean: clean,
		TermID: state.Nonce(fmt.Sprint(fencing)),
	}})
}

func (s *simulation) after(d time.Duration, run func()) {
	s.timers = append(s.timers, timer{s.now.Add(d), run})
}

// run advances the virtual time; each step runs the due timers, then ticks the
// holders.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		due, rest := []timer{}, []timer{}
		for _, t := range s.timers {
			if t.at.After(s.now) {
				rest = append(rest, t)
			} else {
				due = append(due, t)
			}
		}
		s.timers = rest
		for _, t := range due {
			t.run()
		}
		if s.maxRequestTime > 0 {
			s.startRequest()
		}
		for _, h := range s.holders {
			h.step(controller.Tick{})
		}
		n := 0
		for _, f := range s.servers {
			f.state.Loading = s.now.Before(f.loadedAt)
			if f.state.Loading {
				n++
			}
		}
		s.maxLoading = max(s.maxLoading, n)
	}
}

// startRequest starts a request on a random replica of the visible table.
func (s *simulation) startRequest() {
	open := slices.DeleteFunc(slices.Clone(s.visible.Replicas), func(r controller.Replica) bool { return r.Leaving })
	if len(open) == 0 {
		return
	}
	r := open[s.rng.IntN(len(open))]
	add := func(n int) {
		s.replicaRequests[r.Chain.ID] += n
		for _, st := range r.Chain.Stages {
			s.servers[st.Backend].inFlight += n
		}
	}
	add(1)
	s.after(time.Duration(s.rng.Int64N(int64(s.maxRequestTime))), func() { add(-1) })
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rng.Int64N(int64(s.maxDelay)) + 1) }

func (h *holder) step(ev controller.Event) {
	for _, a := range h.m.Step(h.sim.now, ev) {
		h.execute(a)
	}
}

func (h *holder) execute(a controller.Action) {
	sim := h.sim
	switch a := a.(type) {
	case controller.Order:
		h.orders = append(h.orders, a)
		h.calls[a.Backend] += "o"
		d := sim.delay() + h.delayNext
		if h.delayNext > 0 {
			h.delayedServer = a.Backend
		}
		h.delayNext = 0
		sim.after(h.pause, func() {
			if !a.NotAfter.IsZero() && sim.now.After(a.NotAfter) {
				h.dropped++
				return
			}
			h.call(a.Call, d, func() controller.Event { return sim.servers[a.Backend].handleOrder(sim, a) })
		})
	case controller.ReadState:
		sim.reads++
		h.calls[a.Backend] += "r"
		h.call(a.Call, sim.delay(), func() controller.Event {
			return controller.ReadResult{Call: a.Call, State: sim.servers[a.Backend].state}
		})
	case controller.Publish:
		sim.table = a.Table
		sim.after(sim.delay(), func() { h.step(controller.Published{Serial: a.Table.Serial}) })
		sim.after(time.Duration(sim.rng.Int64N(int64(sim.cfg.PropagationDelay))), func() {
			if a.Table.Newer(sim.visible) {
				sim.visible = a.Table
			}
		})
	case controller.QueryRequestCounts:
		for _, id := range a.Replicas {
			n := sim.replicaRequests[id]
			sim.after(sim.delay(), func() { h.step(controller.ReplicaRequests{Replica: id, Count: n}) })
		}
		for _, id := range a.Backends {
			n := sim.servers[id].inFlight
			sim.after(time.Duration(sim.rng.Int64N(int64(sim.cfg.ReportLag))), func() {
				h.step(controller.BackendRequests{Backend: id, Count: n})
			})
		}
	case controller.FencingRefused:
		h.fencingRefusals++
	}
}

func (h *holder) call(c controller.CallNumber, d time.Duration, effect func() controller.Event) {
	sim := h.sim
	if sim.rng.Float64() < sim.lossRate {
		sim.after(time.Second, func() { h.step(controller.ResultUnknown{Call: c}) })
		return
	}
	sim.after(d, func() {
		ev := effect()
		if sim.rng.Float64() < sim.lossRate {
			ev = controller.ResultUnknown{Call: c}
		}
		sim.after(sim.delay(), func() { h.step(ev) })
	})
}

// handleOrder is the server's side of an order. A load takes three seconds.
func (f *fakeServer) handleOrder(sim *simulation, o controller.Order) controller.Event {
	if f.checksFencing && o.Fencing < f.state.Fencing {
		return controller.OrderResult{Call: o.Call, Status: controller.StatusStale, State: f.state}
	}
	if f.checksFencing {
		f.state.Fencing = o.Fencing
	}
	if f.inFlight > 0 && sim.violation == "" {
		sim.violation = fmt.Sprintf("%v applied %s while %d requests ran", f.id, o.Kind, f.inFlight)
	}
	f.fencingNumbers = append(f.fencingNumbers, o.Fencing)
	f.state.Service = testService
	switch o.Kind {
	case controller.OrderUnload:
		f.state.Loaded = controller.Assignment{}
	case controller.OrderSetRole:
		f.state.Loaded.Role = o.Assignment.Role
	case controller.OrderLoad:
		f.state.Loaded = o.Assignment
		f.loadedAt = sim.now.Add(3 * time.Second)
		f.state.Loading = true
	}
	return controller.OrderResult{Call: o.Call, Status: controller.StatusApplied, State: f.state}
}

// chains returns n chains of a version, each with two stages, on the servers from
// index first on.
func chains(version string, first, n int) []controller.Chain {
	var out []controller.Chain
	for i := range n {
		c := controller.Chain{ID: state.ReplicaID(fmt.Sprintf("%s-%d", version, i))}
		for j := range 2 {
			c.Stages = append(c.Stages, controller.Stage{
				Backend:    state.BackendID(fmt.Sprintf("b%02d", first+2*i+j)),
				Assignment: controller.Assignment{Model: "m", Version: version, Layers: state.LayerRange{First: 10 * j, End: 10*j + 10}},
			})
		}
		out = append(out, c)
	}
	return out
}

// countServing counts the published replicas of a version that accept new
// requests; all versions if it is empty.
func (s *simulation) countServing(version string) int {
	n := 0
	for _, r := range s.table.Replicas {
		if !r.Leaving && (version == "" || r.Chain.Stages[0].Assignment.Version == version) {
			n++
		}
	}
	return n
}
