package home_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// randomEvents applies random events to a simulation.
type randomEvents struct {
	*simulation
	t        *rapid.T
	specs    []state.Replica
	class    map[home.SlotRequestID]state.ClassID
	requests []home.SlotRequestID
	leaving  map[state.ReplicaID]bool
	ended    map[home.SlotRequestID]bool // ended by the test
}

func (h *randomEvents) randomEvent() {
	switch rapid.SampledFrom([]string{"request", "request", "request", "release", "release", "cancel", "time", "fail", "leave", "repeat"}).Draw(h.t, "act") {
	case "request":
		class := rapid.SampledFrom([]state.ClassID{"check", "draft", "draft"}).Draw(h.t, "class")
		requestID := h.request(entry1, class, rapid.IntRange(0, 2).Draw(h.t, "customer"), func(m *home.SlotRequest) {
			m.Budget = time.Duration(rapid.IntRange(1, 20).Draw(h.t, "budget")) * time.Second
			if rapid.IntRange(0, 4).Draw(h.t, "excludes") == 0 {
				m.Exclude = []state.ReplicaID{h.specs[0].ID}
			}
		})
		h.class[requestID] = class
		h.requests = append(h.requests, requestID)
	case "release":
		h.releaseRandom(home.OutcomeServed)
	case "fail":
		h.releaseRandom(home.OutcomeFailed)
	case "cancel":
		if requestID, ok := h.drawRequest(); ok {
			delete(h.waiting, requestID)
			delete(h.granted, requestID)
			h.ended[requestID] = true
			h.step(home.Received{From: entry1, Msg: home.CancelSlotRequest{ID: requestID, Pool: poolID}})
		}
	case "repeat":
		if requestID, ok := h.drawRequest(); ok && !h.ended[requestID] && h.simulation.refused[requestID].Reason == "" {
			m := home.SlotRequest{ID: requestID, Pool: poolID, Class: h.class[requestID], Customer: customer(0), Budget: time.Second}
			h.step(home.Received{From: entry1, Msg: m})
		}
	case "time":
		h.advance(time.Duration(rapid.IntRange(1, 5000).Draw(h.t, "ms")) * time.Millisecond)
	case "leave":
		if rapid.IntRange(0, 9).Draw(h.t, "leaves") == 0 {
			id := h.specs[len(h.specs)-1].ID
			h.leaving[id] = true
			h.step(home.ReplicaLeaving{Replica: id})
		}
	}
}

func (h *randomEvents) drawRequest() (home.SlotRequestID, bool) {
	if len(h.requests) == 0 {
		return home.SlotRequestID{}, false
	}
	return rapid.SampledFrom(h.requests).Draw(h.t, "request"), true
}

func (h *randomEvents) releaseRandom(outcome home.SlotOutcome) {
	requestID, ok := h.drawRequest()
	if _, held := h.granted[requestID]; ok && held {
		h.ended[requestID] = true
		h.release(entry1, requestID, outcome)
	}
}

// check verifies the guarantees of the home after every event.
func (h *randomEvents) check() {
	for _, r := range h.specs {
		if used := h.usedBy(r.ID); used > r.Slots {
			h.t.Fatalf("%s runs %d of %d slots", r.ID, used, r.Slots)
		}
	}
	for requestID, n := range h.simulation.ended {
		if n != 1 {
			h.t.Fatalf("%v ended %d times", requestID, n)
		}
	}
	for _, m := range h.waiting {
		for _, r := range h.specs {
			if h.usable(r, m) {
				h.t.Fatalf("%v waits although %s has a free slot", m.ID, r.ID)
			}
		}
	}
}

// usable reports, by the test's own record, whether m could run on r.
func (h *randomEvents) usable(r state.Replica, m home.SlotRequest) bool {
	if h.suspected[r.ID] || h.leaving[r.ID] || slices.Contains(m.Exclude, r.ID) {
		return false
	}
	drafts := 0
	for requestID, g := range h.granted {
		if g.Replica == r.ID && h.class[requestID] == "draft" {
			drafts++
		}
	}
	if h.usedBy(r.ID) >= r.Slots {
		return false
	}
	return m.Class == "check" || drafts < max(r.Slots-1, 1)
}

var _ = Describe("a home under any order of events", func() {
	It("never exceeds a replica's slots, leaves no usable slot free, and ends each request once", func() {
		total := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			specs := replicas(rapid.IntRange(1, 3).Draw(t, "replicas"), rapid.IntRange(1, 4).Draw(t, "slots"), 1, 0.5)
			h := &randomEvents{
				simulation: newSimulation(home.Config{}, document(rapid.IntRange(1, 6).Draw(t, "queue"), 3), specs, entry1),
				t:          t, specs: specs, class: map[home.SlotRequestID]state.ClassID{},
				leaving: map[state.ReplicaID]bool{}, ended: map[home.SlotRequestID]bool{},
			}
			h.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID}})
			for range rapid.IntRange(1, 120).Draw(t, "events") {
				h.randomEvent()
				h.check()
			}
			h.advance(time.Minute)
			if len(h.waiting) > 0 {
				t.Fatalf("%d requests still wait past their budget", len(h.waiting))
			}
			total += len(h.requests)
		})
		Expect(total).To(BeNumerically(">", 100))
	})

	// However long the backlogs of the others are, and whenever they join, a waiting
	// customer gets a slot before any other customer of the same weight gets a third.
	It("bounds how long a customer waits for the others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const customers = 4
			w := newSimulation(home.Config{}, document(10000, customers), replicas(1, 2)) // one slot for drafts
			of := map[home.SlotRequestID]int{}
			since := [customers][customers]int{} // [a][b]: grants of b since the last grant of a
			for range rapid.IntRange(1, 60).Draw(t, "turns") {
				c := rapid.IntRange(0, customers-1).Draw(t, "customer")
				for range rapid.IntRange(0, 20).Draw(t, "burst") {
					of[w.request(entry1, "draft", c)] = c
				}
				for range rapid.IntRange(0, 10).Draw(t, "releases") {
					waited := w.backlog(of)
					for requestID := range w.granted {
						w.release(entry1, requestID, home.OutcomeServed)
					}
					for requestID := range w.granted {
						got := of[requestID]
						since[got] = [customers]int{}
						for c := range customers {
							if waited[c] == 0 {
								since[c] = [customers]int{}
							} else if c != got {
								since[c][got]++
							}
							if since[c][got] > 2 {
								t.Fatalf("customer %d waited for %d grants of customer %d", c, since[c][got], got)
							}
						}
					}
				}
			}
		})
	})
})

// backlog returns the number of waiting requests by customer.
func (w *simulation) backlog(of map[home.SlotRequestID]int) map[int]int {
	n := map[int]int{}
	for requestID := range w.waiting {
		n[of[requestID]]++
	}
	return n
}
