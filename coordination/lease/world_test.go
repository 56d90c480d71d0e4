package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// world runs several machines against one row store in virtual time. Each node's
// clock has its own rate and zero.
type world struct {
	rng      *rand.Rand
	now      time.Duration // true time
	queue    happenings
	seq      int
	rows     map[state.ServiceID]lease.StoredRow
	nodes    []*node
	faults   faults
	writes   int // applied rows
	txns     int // commits sent
	reads    int // read calls sent
	rowsRead int
	takeover int
	broken   string // the first broken invariant
}

type faults struct {
	storeDown              bool
	lostRequest, lostReply float64
	maxDelay               time.Duration // of a store call's effect
}

type node struct {
	w      *world
	id     state.DaemonID
	m      *lease.Machine
	rate   float64
	zero   time.Time
	paused time.Duration // true time until which it runs nothing
	status map[state.ServiceID]lease.Status
	cut    bool // from the store
	tick   time.Time
}

type happening struct {
	at  time.Duration
	seq int
	run func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newWorld(seed uint64, drifts []float64, tune func(*lease.Config), services ...state.ServiceID) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), rows: map[state.ServiceID]lease.StoredRow{}}
	var live []state.DaemonID
	for i := range drifts {
		live = append(live, state.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	for i, d := range drifts {
		cfg := lease.DefaultConfig(state.Member{ID: live[i], Incarnation: 1})
		tune(&cfg)
		n := &node{
			w: w, id: live[i], rate: 1 + d,
			zero:   time.Unix(int64(1000*i), 0),
			m:      lease.New(cfg, rand.New(rand.NewPCG(seed, uint64(i+2)))),
			status: map[state.ServiceID]lease.Status{},
		}
		w.nodes = append(w.nodes, n)
		w.at(0, func() { n.step(lease.Members{Live: live}) })
		w.at(0, func() { n.step(lease.Services{IDs: services}) })
	}
	return w
}

func (w *world) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, happening{at: max(t, w.now), seq: w.seq, run: run})
}

func (w *world) runUntil(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.run()
		w.check()
	}
	w.now = t
	w.check()
}

func (w *world) holders(service state.ServiceID) []*node {
	var out []*node
	for _, n := range w.nodes {
		if n.m.Holds(service, n.local()) {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) check() {
	for s := range w.rows {
		if hs := w.holders(s); len(hs) > 1 && w.broken == "" {
			w.broken = fmt.Sprintf("at %v both %s and %s hold %s", w.now, hs[0].id, hs[1].id, s)
		}
	}
}

// local is the node's clock now.
func (n *node) local() time.Time {
	return n.zero.Add(time.Duration(float64(n.w.now) * n.rate))
}

// step delivers an event, after the node's pause if it is in one, and carries
// the actions out.
func (n *node) step(ev lease.Event) {
	if n.w.now < n.paused {
		n.w.at(n.paused, func() { n.step(ev) })
		return
	}
	for _, a := range n.m.Step(n.local(), ev) {
		switch a := a.(type) {
		case lease.Status:
			n.status[a.Service] = a
		case lease.Send:
			for _, peer := range n.w.nodes {
				if peer.id == a.To {
					n.w.at(n.w.now+time.Millisecond, func() { peer.step(lease.Received{Msg: a.Msg}) })
				}
			}
		case lease.Read:
			n.w.reads++
			n.w.rowsRead += len(a.Services)
			n.w.call(n, a.Call, func() lease.Event {
				ev := lease.ReadDone{Call: a.Call}
				for _, s := range a.Services {
					row := n.w.rows[s]
					row.Service = s
					ev.Rows = append(ev.Rows, row)
				}
				return ev
			})
		case lease.Commit:
			n.w.txns++
			n.w.call(n, a.Call, func() lease.Event { return n.w.commit(a) })
		}
	}
	n.schedule()
}

func (n *node) schedule() {
	t := n.m.NextTick()
	if t.IsZero() || t.Equal(n.tick) {
		return
	}
	n.tick = t
	at := time.Duration(float64(t.Sub(n.zero))/n.rate) + time.Microsecond
	n.w.at(at, func() {
		n.tick = time.Time{}
		n.step(lease.Tick{})
	})
}

// call runs a store call: effect and answer are each late by chance, and either
// way may be lost. A pause of the caller delays its sending too.
func (w *world) call(n *node, c lease.CallID, effect func() lease.Event) {
	sent := w.now
	if n.paused > sent {
		sent = n.paused
	}
	if w.faults.storeDown || n.cut || w.rng.Float64() < w.faults.lostRequest {
		w.at(sent+time.Second, func() { n.step(lease.Unanswered{Call: c}) })
		return
	}
	lost := w.rng.Float64() < w.faults.lostReply
	w.at(sent+w.delay(), func() {
		ev := effect()
		if lost {
			ev = lease.Unanswered{Call: c}
		}
		w.at(w.now+w.delay(), func() { n.step(ev) })
	})
}

func (w *world) delay() time.Duration {
	if w.faults.maxDelay == 0 {
		return time.Millisecond
	}
	if w.rng.IntN(4) > 0 {
		return time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
	}
	return time.Duration(w.rng.Int64N(int64(w.faults.maxDelay)))
}

func (w *world) commit(c lease.Commit) lease.Event {
	for _, wr := range c.Writes {
		if w.rows[wr.Service].Revision != wr.Revision {
			return lease.Conflicted{Call: c.Call}
		}
	}
	done := lease.Committed{Call: c.Call}
	for _, wr := range c.Writes {
		old := w.rows[wr.Service]
		if wr.Row.Nonce != old.Row.Nonce {
			w.takeover++
		}
		if wr.Row.Nonce != old.Row.Nonce && wr.Row.Fencing <= old.Row.Fencing {
			w.broken = fmt.Sprintf("takeover with number %d after %d", wr.Row.Fencing, old.Row.Fencing)
		}
		row := lease.StoredRow{Service: wr.Service, Revision: old.Revision + 1, Row: wr.Row}
		w.rows[wr.Service] = row
		w.writes++
		done.Rows = append(done.Rows, row)
	}
	return done
}
