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
	drafts = state.ServiceID("drafts")
	tickOf = 50 * time.Millisecond
)

// world runs controllers against fake servers in virtual time.
type world struct {
	rng     *rand.Rand
	now     time.Time
	late    []timer
	cfg     controller.Config
	servers map[state.BackendID]*fake
	holders []*holder
	table   controller.ReplicaTable // as last published
	viewed  controller.ReplicaTable // as the traffic sees it, up to Spread later

	lost     float64 // of calls, either way
	maxDelay time.Duration
	longest  time.Duration // of a request; 0: no traffic
	flights  map[state.ReplicaID]int
	broken   string
	loading  int // most loads at one time
	reads    int
}

type timer struct {
	at  time.Time
	run func()
}

// fake is one backend server.
type fake struct {
	id       state.BackendID
	checks   bool
	state    controller.ServerState
	ready    time.Time
	inFlight int
	numbers  []state.FencingNumber // of the orders that took effect
}

type holder struct {
	w       *world
	m       *controller.Machine
	refused int
	orders  []controller.Order
	holdUp  time.Duration // of the next order, once
	heldUp  state.BackendID
	pause   time.Duration              // between the decision on an order and its sending
	dropped int                        // orders whose NotAfter had passed when they were to leave
	calls   map[state.BackendID]string // "r" for each read, "o" for each order
}

func newWorld(seed uint64, checks func(i int) bool, servers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(0, 0), cfg: controller.DefaultConfig(drafts),
		servers: map[state.BackendID]*fake{}, flights: map[state.ReplicaID]int{}, maxDelay: 20 * time.Millisecond,
	}
	w.cfg.GuaranteedLoads = 4
	for i := range servers {
		id := state.BackendID(fmt.Sprintf("b%02d", i))
		w.servers[id] = &fake{id: id, checks: checks(i)}
	}
	return w
}

func always(int) bool { return true }
func never(int) bool  { return false }

// hold starts a controller whose lease is held.
func (w *world) hold(fencing state.FencingNumber, clean bool, d controller.Desired) *holder {
	h := &holder{w: w, m: controller.New(w.cfg), calls: map[state.BackendID]string{}}
	w.holders = append(w.holders, h)
	var list []controller.Backend
	for _, id := range w.ids() {
		list = append(list, controller.Backend{ID: id, ChecksFencing: w.servers[id].checks})
	}
	h.step(controller.Backends{List: list})
	h.step(d)
	h.lease(lease.Held, fencing, clean, time.Hour)
	h.step(controller.Adopt{Table: w.table})
	return h
}

func (w *world) ids() []state.BackendID {
	var ids []state.BackendID
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *holder) lease(s lease.State, fencing state.FencingNumber, clean bool, span time.Duration) {
	h.step(controller.Lease{Status: lease.Status{
		Service: drafts, State: s, Fencing: fencing, Until: h.w.now.Add(span), Clean: clean,
		TermID: state.Nonce(fmt.Sprint(fencing)),
	}})
}

func (w *world) after(d time.Duration, run func()) {
	w.late = append(w.late, timer{w.now.Add(d), run})
}

// run advances the world; each step runs what is due, then ticks the holders.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickOf)
		due, rest := []timer{}, []timer{}
		for _, t := range w.late {
			if t.at.After(w.now) {
				rest = append(rest, t)
			} else {
				due = append(due, t)
			}
		}
		w.late = rest
		for _, t := range due {
			t.run()
		}
		if w.longest > 0 {
			w.serve()
		}
		for _, h := range w.holders {
			h.step(controller.Tick{})
		}
		n := 0
		for _, f := range w.servers {
			f.state.Loading = w.now.Before(f.ready)
			if f.state.Loading {
				n++
			}
		}
		w.loading = max(w.loading, n)
	}
}

// serve starts a request on a random replica of the viewed table.
func (w *world) serve() {
	open := slices.DeleteFunc(slices.Clone(w.viewed.Replicas), func(r controller.Replica) bool { return r.Leaving })
	if len(open) == 0 {
		return
	}
	r := open[w.rng.IntN(len(open))]
	add := func(n int) {
		w.flights[r.Chain.ID] += n
		for _, st := range r.Chain.Stages {
			w.servers[st.Backend].inFlight += n
		}
	}
	add(1)
	w.after(time.Duration(w.rng.Int64N(int64(w.longest))), func() { add(-1) })
}

func (w *world) delay() time.Duration { return time.Duration(w.rng.Int64N(int64(w.maxDelay)) + 1) }

func (h *holder) step(ev controller.Event) {
	for _, a := range h.m.Step(h.w.now, ev) {
		h.do(a)
	}
}

func (h *holder) do(a controller.Action) {
	w := h.w
	switch a := a.(type) {
	case controller.Order:
		h.orders = append(h.orders, a)
		h.calls[a.Backend] += "o"
		d := w.delay() + h.holdUp
		if h.holdUp > 0 {
			h.heldUp = a.Backend
		}
		h.holdUp = 0
		w.after(h.pause, func() {
			if !a.NotAfter.IsZero() && w.now.After(a.NotAfter) {
				h.dropped++
				return
			}
			h.call(a.Call, d, func() controller.Event { return w.servers[a.Backend].order(w, a) })
		})
	case controller.ReadState:
		w.reads++
		h.calls[a.Backend] += "r"
		h.call(a.Call, w.delay(), func() controller.Event {
			return controller.ReadResult{Call: a.Call, State: w.servers[a.Backend].state}
		})
	case controller.Publish:
		w.table = a.Table
		w.after(w.delay(), func() { h.step(controller.Published{Serial: a.Table.Serial}) })
		w.after(time.Duration(w.rng.Int64N(int64(w.cfg.PropagationDelay))), func() {
			if a.Table.Newer(w.viewed) {
				w.viewed = a.Table
			}
		})
	case controller.QueryRequestCounts:
		for _, id := range a.Replicas {
			n := w.flights[id]
			w.after(w.delay(), func() { h.step(controller.ReplicaRequests{Replica: id, Count: n}) })
		}
		for _, id := range a.Backends {
			n := w.servers[id].inFlight
			w.after(time.Duration(w.rng.Int64N(int64(w.cfg.ReportLag))), func() {
				h.step(controller.BackendRequests{Backend: id, Count: n})
			})
		}
	case controller.FencingRefused:
		h.refused++
	}
}

func (h *holder) call(c controller.CallNumber, d time.Duration, effect func() controller.Event) {
	w := h.w
	if w.rng.Float64() < w.lost {
		w.after(time.Second, func() { h.step(controller.ResultUnknown{Call: c}) })
		return
	}
	w.after(d, func() {
		ev := effect()
		if w.rng.Float64() < w.lost {
			ev = controller.ResultUnknown{Call: c}
		}
		w.after(w.delay(), func() { h.step(ev) })
	})
}

// order is the server's side: a load takes three seconds.
func (f *fake) order(w *world, o controller.Order) controller.Event {
	if f.checks && o.Fencing < f.state.Fencing {
		return controller.OrderResult{Call: o.Call, Status: controller.StatusStale, State: f.state}
	}
	if f.checks {
		f.state.Fencing = o.Fencing
	}
	if f.inFlight > 0 && w.broken == "" {
		w.broken = fmt.Sprintf("%v ordered %s while %d requests ran", f.id, o.Kind, f.inFlight)
	}
	f.numbers = append(f.numbers, o.Fencing)
	f.state.Service = drafts
	switch o.Kind {
	case controller.OrderUnload:
		f.state.Loaded = controller.Assignment{}
	case controller.OrderSetRole:
		f.state.Loaded.Role = o.Assignment.Role
	case controller.OrderLoad:
		f.state.Loaded = o.Assignment
		f.ready = w.now.Add(3 * time.Second)
		f.state.Loading = true
	}
	return controller.OrderResult{Call: o.Call, Status: controller.StatusApplied, State: f.state}
}

// chains lays a version's replicas of two stages over servers from a first one.
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

// serving counts the published replicas that take new work.
func (w *world) serving(version string) int {
	n := 0
	for _, r := range w.table.Replicas {
		if !r.Leaving && (version == "" || r.Chain.Stages[0].Assignment.Version == version) {
			n++
		}
	}
	return n
}
