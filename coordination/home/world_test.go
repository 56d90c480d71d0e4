package home_test

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const poolID = home.PoolID("drafting@kerala-south/0")

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	third = state.Member{ID: "entry-2", Incarnation: 1}
	other = state.Member{ID: "entry-1", Incarnation: 1}
)

// document has a class check with one reserved slot and a class draft.
func document(queue, customers int) *service.Document {
	d := &service.Document{
		Service:  "drafting",
		Capacity: service.Capacity{QueuePerClass: queue},
		Classes: []service.Class{
			{Name: "draft", Priority: 1},
			{Name: "check", Priority: 0, ReservedSlots: 1},
		},
	}
	for i := range customers {
		d.Customers = append(d.Customers, service.Customer{ID: customer(i), Weight: 1})
	}
	return d
}

func customer(i int) state.CustomerID {
	return state.CustomerID(fmt.Sprintf("customer-%d", i))
}

func replicaID(i int) state.ReplicaID {
	return state.ReplicaID(fmt.Sprintf("replica-%02d", i))
}

func replicas(n, slots int, speeds ...float64) []state.Replica {
	out := make([]state.Replica, n)
	for i := range out {
		out[i] = state.Replica{ID: replicaID(i), Service: "drafting", Slots: slots, Speed: 1}
		if len(speeds) > 0 {
			out[i].Speed = speeds[i%len(speeds)]
		}
	}
	return out
}

// world drives one home and keeps its own books of what it granted.
type world struct {
	home    *home.Home
	now     time.Time
	granted map[home.SlotRequestID]home.SlotGrant
	waiting map[home.SlotRequestID]home.SlotRequest
	refused map[home.SlotRequestID]home.SlotRefusal
	ended   map[home.SlotRequestID]int
	queries []state.DaemonID
	again   []home.SlotRequestID
	learned int
	bad     map[state.ReplicaID]bool
	serial  int
}

func newWorld(cfg home.Config, doc *service.Document, specs []state.Replica, live ...state.Member) *world {
	w := &world{
		home: home.New(cfg), now: start,
		granted: map[home.SlotRequestID]home.SlotGrant{}, waiting: map[home.SlotRequestID]home.SlotRequest{},
		refused: map[home.SlotRequestID]home.SlotRefusal{}, ended: map[home.SlotRequestID]int{},
		bad: map[state.ReplicaID]bool{},
	}
	w.step(home.ViewChanged{Live: live})
	w.step(home.DocumentChanged{Document: doc})
	w.assign(specs)
	return w
}

func (w *world) assign(specs []state.Replica) {
	w.step(home.PoolsAssigned{Pools: []home.PoolSpec{{ID: poolID, Service: "drafting", Replicas: specs}}})
}

func (w *world) step(ev home.Event) {
	for _, a := range w.home.Step(w.now, ev) {
		switch a := a.(type) {
		case home.Send:
			w.sent(a)
		case home.Suspected:
			w.bad[a.Replica] = true
		case home.Recovered:
			delete(w.bad, a.Replica)
		case home.GrantsRecovered:
			w.learned++
		}
	}
}

func (w *world) sent(a home.Send) {
	switch m := a.Msg.(type) {
	case home.SlotGrant:
		if _, known := w.granted[m.ID]; !known {
			w.ended[m.ID]++
		}
		w.granted[m.ID] = m
		delete(w.waiting, m.ID)
	case home.SlotRefusal:
		w.ended[m.ID]++
		w.refused[m.ID] = m
		delete(w.waiting, m.ID)
	case home.ReportQuery:
		w.queries = append(w.queries, a.To)
	case home.NotHome:
		w.again = append(w.again, m.IDs...)
	}
}

// ask sends a request of the class and returns its name.
func (w *world) ask(from state.Member, class state.ClassID, c int, change ...func(*home.SlotRequest)) home.SlotRequestID {
	w.serial++
	ask := home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-1-%08d", w.serial)), Attempt: 1}
	m := home.SlotRequest{ID: ask, Pool: poolID, Class: class, Customer: customer(c), Budget: time.Hour}
	for _, f := range change {
		f(&m)
	}
	w.waiting[ask] = m
	w.step(home.Received{From: from, Msg: m})
	return ask
}

func (w *world) release(from state.Member, ask home.SlotRequestID, use home.SlotOutcome) {
	g := w.granted[ask]
	delete(w.granted, ask)
	w.step(home.Received{From: from, Msg: home.SlotRelease{ID: ask, Pool: poolID, Replica: g.Replica, Outcome: use}})
}

// advance moves the clock, ticking whenever the home asks for it.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := w.home.NextTick(w.now)
		if next.IsZero() || next.After(end) {
			break
		}
		if next.After(w.now) {
			w.now = next
		}
		w.step(home.Tick{})
	}
	w.now = end
	w.step(home.Tick{})
}

func (w *world) usedBy(id state.ReplicaID) int {
	n := 0
	for _, g := range w.granted {
		if g.Replica == id {
			n++
		}
	}
	return n
}
