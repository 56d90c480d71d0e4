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
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	entry2 = state.Member{ID: "entry-2", Incarnation: 1}
	entry1 = state.Member{ID: "entry-1", Incarnation: 1}
)

// document returns a document with a class check, which has one reserved slot, and a
// class draft.
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

// simulation drives one home and keeps its own record of what the home granted.
type simulation struct {
	home          *home.Home
	now           time.Time
	granted       map[home.SlotRequestID]home.SlotGrant
	waiting       map[home.SlotRequestID]home.SlotRequest
	refused       map[home.SlotRequestID]home.SlotRefusal
	ended         map[home.SlotRequestID]int
	reportQueries []state.DaemonID
	redirected    []home.SlotRequestID
	recoveries    int
	suspected     map[state.ReplicaID]bool
	serial        int
}

func newSimulation(cfg home.Config, doc *service.Document, specs []state.Replica, live ...state.Member) *simulation {
	w := &simulation{
		home: home.New(cfg), now: start,
		granted: map[home.SlotRequestID]home.SlotGrant{}, waiting: map[home.SlotRequestID]home.SlotRequest{},
		refused: map[home.SlotRequestID]home.SlotRefusal{}, ended: map[home.SlotRequestID]int{},
		suspected: map[state.ReplicaID]bool{},
	}
	w.step(home.ViewChanged{Live: live})
	w.step(home.DocumentChanged{Document: doc})
	w.assign(specs)
	return w
}

func (w *simulation) assign(specs []state.Replica) {
	w.step(home.PoolsAssigned{Pools: []home.PoolSpec{{ID: poolID, Service: "drafting", Replicas: specs}}})
}

func (w *simulation) step(ev home.Event) {
	for _, a := range w.home.Step(w.now, ev) {
		switch a := a.(type) {
		case home.Send:
			w.receive(a)
		case home.Suspected:
			w.suspected[a.Replica] = true
		case home.Recovered:
			delete(w.suspected, a.Replica)
		case home.GrantsRecovered:
			w.recoveries++
		}
	}
}

func (w *simulation) receive(a home.Send) {
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
		w.reportQueries = append(w.reportQueries, a.To)
	case home.NotHome:
		w.redirected = append(w.redirected, m.IDs...)
	}
}

// request sends a slot request of the class and returns its ID.
func (w *simulation) request(from state.Member, class state.ClassID, c int, change ...func(*home.SlotRequest)) home.SlotRequestID {
	w.serial++
	id := home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-1-%08d", w.serial)), Attempt: 1}
	m := home.SlotRequest{ID: id, Pool: poolID, Class: class, Customer: customer(c), Budget: time.Hour}
	for _, f := range change {
		f(&m)
	}
	w.waiting[id] = m
	w.step(home.Received{From: from, Msg: m})
	return id
}

func (w *simulation) release(from state.Member, id home.SlotRequestID, outcome home.SlotOutcome) {
	g := w.granted[id]
	delete(w.granted, id)
	w.step(home.Received{From: from, Msg: home.SlotRelease{ID: id, Pool: poolID, Replica: g.Replica, Outcome: outcome}})
}

// advance moves the clock, with a Tick whenever the home requests one.
func (w *simulation) advance(d time.Duration) {
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

func (w *simulation) usedBy(id state.ReplicaID) int {
	n := 0
	for _, g := range w.granted {
		if g.Replica == id {
			n++
		}
	}
	return n
}
