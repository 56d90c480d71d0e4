package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// simulation runs several state machines against one row store in virtual time. Each node's
// clock has its own rate and start.
type simulation struct {
	rng           *rand.Rand
	now           time.Duration // true time
	queue         eventQueue
	seq           int
	rows          map[state.ServiceID]lease.StoredRow
	nodes         []*node
	faults        faults
	writes        int // rows written
	commits       int // commits sent
	reads         int // read calls sent
	rowsRead      int
	takeoverCount int
	violation     string // the first violated invariant
}

type faults struct {
	storeDown              bool
	lostRequest, lostReply float64
	maxDelay               time.Duration // of a store call's effect
}

type node struct {
	sim              *simulation
	id               state.DaemonID
	m                *lease.Machine
	rate             float64 // speed of the node's clock relative to true time
	clockStart       time.Time
	pausedUntil      time.Duration // true time until which the node runs nothing
	status           map[state.ServiceID]lease.Status
	storeUnreachable bool
	tickAt           time.Time
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSimulation(seed uint64, drifts []float64, tune func(*lease.Config), services ...state.ServiceID) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), rows: map[state.ServiceID]lease.StoredRow{}}
	var live []state.DaemonID
	for i := range drifts {
		live = append(live, state.DaemonID(fmt.Sprintf("entry-%d", i)))
	}
	for i, d := range drifts {
		cfg := lease.DefaultConfig(state.Member{ID: live[i], Incarnation: 1})
		tune(&cfg)
		n := &node{
			sim: sim, id: live[i], rate: 1 + d,
			clockStart: time.Unix(int64(1000*i), 0),
			m:          lease.New(cfg, rand.New(rand.NewPCG(seed, uint64(i+2)))),
			status:     map[state.ServiceID]lease.Status{},
		}
		sim.nodes = append(sim.nodes, n)
		sim.schedule(0, func() { n.step(lease.Members{Live: live}) })
		sim.schedule(0, func() { n.step(lease.Services{IDs: services}) })
	}
	return sim
}

func (sim *simulation) schedule(t time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{at: max(t, sim.now), seq: sim.seq, run: run})
}

func (sim *simulation) runUntil(t time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= t {
		h := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = h.at
		h.run()
		sim.check()
	}
	sim.now = t
	sim.check()
}

func (sim *simulation) holdersOf(service state.ServiceID) []*node {
	var out []*node
	for _, n := range sim.nodes {
		if n.m.Holds(service, n.localTime()) {
			out = append(out, n)
		}
	}
	return out
}

func (sim *simulation) check() {
	for s := range sim.rows {
		if hs := sim.holdersOf(s); len(hs) > 1 && sim.violation == "" {
			sim.violation = fmt.Sprintf("at %v both %s and %s hold %s", sim.now, hs[0].id, hs[1].id, s)
		}
	}
}

// localTime returns the current time of the node's clock.
func (n *node) localTime() time.Time {
	return n.clockStart.Add(time.Duration(float64(n.sim.now) * n.rate))
}

// step delivers an event, after the node's pause if it is paused, and performs the actions.
func (n *node) step(ev lease.Event) {
	if n.sim.now < n.pausedUntil {
		n.sim.schedule(n.pausedUntil, func() { n.step(ev) })
		return
	}
	for _, a := range n.m.Step(n.localTime(), ev) {
		switch a := a.(type) {
		case lease.Status:
			n.status[a.Service] = a
		case lease.Send:
			for _, peer := range n.sim.nodes {
				if peer.id == a.To {
					n.sim.schedule(n.sim.now+time.Millisecond, func() { peer.step(lease.Received{Msg: a.Msg}) })
				}
			}
		case lease.Read:
			n.sim.reads++
			n.sim.rowsRead += len(a.Services)
			n.sim.call(n, a.Call, func() lease.Event {
				ev := lease.ReadDone{Call: a.Call}
				for _, s := range a.Services {
					row := n.sim.rows[s]
					row.Service = s
					ev.Rows = append(ev.Rows, row)
				}
				return ev
			})
		case lease.Commit:
			n.sim.commits++
			n.sim.call(n, a.Call, func() lease.Event { return n.sim.commit(a) })
		}
	}
	n.schedule()
}

func (n *node) schedule() {
	t := n.m.NextTick()
	if t.IsZero() || t.Equal(n.tickAt) {
		return
	}
	n.tickAt = t
	at := time.Duration(float64(t.Sub(n.clockStart))/n.rate) + time.Microsecond
	n.sim.schedule(at, func() {
		n.tickAt = time.Time{}
		n.step(lease.Tick{})
	})
}

// call simulates a store call: effect and answer are delayed at random, and the request or the
// answer may be lost. If the caller is paused, the request is sent at the end of its pause.
func (sim *simulation) call(n *node, c lease.CallID, effect func() lease.Event) {
	sent := sim.now
	if n.pausedUntil > sent {
		sent = n.pausedUntil
	}
	if sim.faults.storeDown || n.storeUnreachable || sim.rng.Float64() < sim.faults.lostRequest {
		sim.schedule(sent+time.Second, func() { n.step(lease.Unanswered{Call: c}) })
		return
	}
	lost := sim.rng.Float64() < sim.faults.lostReply
	sim.schedule(sent+sim.delay(), func() {
		ev := effect()
		if lost {
			ev = lease.Unanswered{Call: c}
		}
		sim.schedule(sim.now+sim.delay(), func() { n.step(ev) })
	})
}

func (sim *simulation) delay() time.Duration {
	if sim.faults.maxDelay == 0 {
		return time.Millisecond
	}
	if sim.rng.IntN(4) > 0 {
		return time.Duration(sim.rng.Int64N(int64(50 * time.Millisecond)))
	}
	return time.Duration(sim.rng.Int64N(int64(sim.faults.maxDelay)))
}

func (sim *simulation) commit(c lease.Commit) lease.Event {
	for _, wr := range c.Writes {
		if sim.rows[wr.Service].Revision != wr.Revision {
			return lease.Conflicted{Call: c.Call}
		}
	}
	done := lease.Committed{Call: c.Call}
	for _, wr := range c.Writes {
		old := sim.rows[wr.Service]
		if wr.Row.Nonce != old.Row.Nonce {
			sim.takeoverCount++
		}
		if wr.Row.Nonce != old.Row.Nonce && wr.Row.Fencing <= old.Row.Fencing {
			sim.violation = fmt.Sprintf("takeover with fencing number %d after %d", wr.Row.Fencing, old.Row.Fencing)
		}
		row := lease.StoredRow{Service: wr.Service, Revision: old.Revision + 1, Row: wr.Row}
		sim.rows[wr.Service] = row
		sim.writes++
		done.Rows = append(done.Rows, row)
	}
	return done
}
