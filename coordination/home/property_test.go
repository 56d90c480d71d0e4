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

// history is a world under random events.
type history struct {
	*world
	t       *rapid.T
	specs   []state.Replica
	class   map[home.SlotRequestID]state.ClassID
	asks    []home.SlotRequestID
	leaving map[state.ReplicaID]bool
	ended   map[home.SlotRequestID]bool // ended by us
}

func (h *history) act() {
	switch rapid.SampledFrom([]string{"ask", "ask", "ask", "release", "release", "cancel", "time", "fail", "leave", "repeat"}).Draw(h.t, "act") {
	case "ask":
		class := rapid.SampledFrom([]state.ClassID{"check", "draft", "draft"}).Draw(h.t, "class")
		ask := h.ask(other, class, rapid.IntRange(0, 2).Draw(h.t, "customer"), func(m *home.SlotRequest) {
			m.Budget = time.Duration(rapid.IntRange(1, 20).Draw(h.t, "budget")) * time.Second
			if rapid.IntRange(0, 4).Draw(h.t, "excludes") == 0 {
				m.Exclude = []state.ReplicaID{h.specs[0].ID}
			}
		})
		h.class[ask] = class
		h.asks = append(h.asks, ask)
	case "release":
		h.end(home.OutcomeServed)
	case "fail":
		h.end(home.OutcomeFailed)
	case "cancel":
		if ask, ok := h.draw(); ok {
			delete(h.waiting, ask)
			delete(h.granted, ask)
			h.ended[ask] = true
			h.step(home.Received{From: other, Msg: home.CancelSlotRequest{ID: ask, Pool: poolID}})
		}
	case "repeat":
		if ask, ok := h.draw(); ok && !h.ended[ask] && h.world.refused[ask].Reason == "" {
			m := home.SlotRequest{ID: ask, Pool: poolID, Class: h.class[ask], Customer: customer(0), Budget: time.Second}
			h.step(home.Received{From: other, Msg: m})
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

func (h *history) draw() (home.SlotRequestID, bool) {
	if len(h.asks) == 0 {
		return home.SlotRequestID{}, false
	}
	return rapid.SampledFrom(h.asks).Draw(h.t, "ask"), true
}

func (h *history) end(use home.SlotOutcome) {
	ask, ok := h.draw()
	if _, held := h.granted[ask]; ok && held {
		h.ended[ask] = true
		h.release(other, ask, use)
	}
}

// check holds the home to what it promises after every event.
func (h *history) check() {
	for _, r := range h.specs {
		if used := h.usedBy(r.ID); used > r.Slots {
			h.t.Fatalf("%s runs %d of %d slots", r.ID, used, r.Slots)
		}
	}
	for ask, n := range h.world.ended {
		if n != 1 {
			h.t.Fatalf("%v ended %d times", ask, n)
		}
	}
	for _, m := range h.waiting {
		for _, r := range h.specs {
			if h.usable(r, m) {
				h.t.Fatalf("%v waits beside a free slot of %s", m.ID, r.ID)
			}
		}
	}
}

// usable tells by the test's own books whether m could run on r.
func (h *history) usable(r state.Replica, m home.SlotRequest) bool {
	if h.bad[r.ID] || h.leaving[r.ID] || slices.Contains(m.Exclude, r.ID) {
		return false
	}
	drafts := 0
	for ask, g := range h.granted {
		if g.Replica == r.ID && h.class[ask] == "draft" {
			drafts++
		}
	}
	if h.usedBy(r.ID) >= r.Slots {
		return false
	}
	return m.Class == "check" || drafts < max(r.Slots-1, 1)
}

var _ = Describe("a home under any order of events", func() {
	It("never passes a replica's slots, leaves no usable slot free, and ends each ask once", func() {
		asked := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			specs := replicas(rapid.IntRange(1, 3).Draw(t, "replicas"), rapid.IntRange(1, 4).Draw(t, "slots"), 1, 0.5)
			h := &history{
				world: newWorld(home.Config{}, document(rapid.IntRange(1, 6).Draw(t, "queue"), 3), specs, other),
				t:     t, specs: specs, class: map[home.SlotRequestID]state.ClassID{},
				leaving: map[state.ReplicaID]bool{}, ended: map[home.SlotRequestID]bool{},
			}
			h.step(home.Received{From: other, Msg: home.GrantReport{Pool: poolID}})
			for range rapid.IntRange(1, 120).Draw(t, "events") {
				h.act()
				h.check()
			}
			h.advance(time.Minute)
			if len(h.waiting) > 0 {
				t.Fatalf("%d asks still wait past their budget", len(h.waiting))
			}
			asked += len(h.asks)
		})
		Expect(asked).To(BeNumerically(">", 100))
	})

	// However long the backlogs of others, and whenever they join, a customer
	// that waits gets a slot before any other of its weight gets a third.
	It("bounds how long one customer waits for the others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const customers = 4
			w := newWorld(home.Config{}, document(10000, customers), replicas(1, 2)) // one slot for drafts
			of := map[home.SlotRequestID]int{}
			since := [customers][customers]int{} // grants of the second since the first one's last
			for range rapid.IntRange(1, 60).Draw(t, "turns") {
				c := rapid.IntRange(0, customers-1).Draw(t, "customer")
				for range rapid.IntRange(0, 20).Draw(t, "burst") {
					of[w.ask(other, "draft", c)] = c
				}
				for range rapid.IntRange(0, 10).Draw(t, "releases") {
					waited := w.backlog(of)
					for ask := range w.granted {
						w.release(other, ask, home.OutcomeServed)
					}
					for ask := range w.granted {
						got := of[ask]
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

// backlog counts the waiting asks by customer.
func (w *world) backlog(of map[home.SlotRequestID]int) map[int]int {
	n := map[int]int{}
	for ask := range w.waiting {
		n[of[ask]]++
	}
	return n
}
