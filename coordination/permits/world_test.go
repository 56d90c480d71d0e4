package permits_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	engine = state.Life{ID: "e1", Born: 1}
)

const (
	// settles is how long daemons may take to keep a limit; window is the span over which
	// what the server gets is counted.
	settles = 3 * time.Second
	window  = 4 * time.Second
	// toldFor is after what time a daemon that has been told is to keep the limit.
	toldFor = 500 * time.Millisecond
	// patience is how long a request asks for a permit before it goes elsewhere.
	patience = 24 * time.Millisecond
	// answerAfter is how long the server takes to begin an answer.
	answerAfter = 150 * time.Millisecond
)

// allowed is how many requests a server may get in one window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// way is how a daemon keeps a limit.
type way interface {
	// send reports whether the daemon sends a request now; again for one that asks again.
	send(now time.Time, again bool) bool
	step(now time.Time, ev permits.Event) []permits.Action
	next(now time.Time) time.Time
}

// world runs daemons before one server in virtual time.
type world struct {
	now    time.Time
	rng    *rand.Rand
	queue  events
	seq    int
	nodes  []*node
	newWay func() way
	loss   float64 // of messages

	limit    fleet.RateLimit // that the server names
	named    time.Time
	arrivals []arrival
	sent     int // messages
}

// arrival is a request that the server got.
type arrival struct {
	at time.Time
	// told is whether its daemon had had an answer with the limit for toldFor.
	told bool
}

// node is one daemon.
type node struct {
	id     state.DaemonID
	way    way
	demand float64 // requests a second
	dead   bool
	frozen time.Time // until when
	side   int
	// suspected is whether others hold it for dead.
	suspected bool
	wake      time.Time // of the timer that is set
	told      time.Time // when an answer named the limit first in this life
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// newWorld has n daemons that want demand requests a second together, or the first one alone.
func newWorld(seed uint64, n int, demand float64, alone bool, newWay func() way) *world {
	w := &world{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), newWay: newWay}
	for i := range n {
		nd := &node{id: state.DaemonID(fmt.Sprintf("d%03d", i)), way: newWay()}
		switch {
		case !alone:
			nd.demand = demand / float64(n)
		case i == 0:
			nd.demand = demand
		}
		w.nodes = append(w.nodes, nd)
	}
	for _, nd := range w.nodes {
		w.see(nd)
		w.arrive(nd)
	}
	return w
}

func (w *world) in(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// on runs something at a daemon, once it thaws if it is frozen.
func (w *world) on(nd *node, run func()) {
	switch way := nd.way; {
	case nd.dead:
	case w.now.Before(nd.frozen):
		w.in(nd.frozen.Sub(w.now), func() { w.on(nd, run) })
	case way == nd.way:
		run()
	}
}

// step has a daemon take an event.
func (w *world) step(nd *node, ev permits.Event) {
	for _, a := range nd.way.step(w.now, ev) {
		switch a := a.(type) {
		case permits.Send:
			w.send(nd, a)
		case permits.Broadcast:
			w.tell(nd, a.LimitNotice)
		}
	}
	w.setTimer(nd)
}

func (w *world) setTimer(nd *node) {
	next := nd.way.next(w.now)
	if next.IsZero() || !nd.wake.IsZero() && !next.Before(nd.wake) && nd.wake.After(w.now) {
		return
	}
	at := max(next.Sub(w.now), 2*time.Millisecond)
	nd.wake = w.now.Add(at)
	w.in(at, func() { w.on(nd, func() { w.step(nd, permits.Tick{}) }) })
}

// send carries a message over a link.
func (w *world) send(from *node, s permits.Send) {
	w.sent++
	for _, to := range w.nodes {
		if to.id != s.To || to.side != from.side || w.rng.Float64() < w.loss {
			continue
		}
		w.in(w.delay(), func() {
			w.on(to, func() { w.step(to, permits.MessageReceived{From: from.id, Msg: s.Msg}) })
		})
	}
}

// tell has all daemons of a side learn something, within a second.
func (w *world) tell(from *node, t permits.LimitNotice) {
	at := w.now
	for _, to := range w.nodes {
		if to == from || to.side != from.side {
			continue
		}
		w.in(time.Duration(w.rng.Float64()*float64(time.Second)), func() {
			w.on(to, func() { w.step(to, permits.LimitReceived{LimitNotice: t, At: at}) })
		})
	}
}

func (w *world) delay() time.Duration {
	return 300*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(time.Millisecond))
}

// see has a daemon see those that it can reach.
func (w *world) see(nd *node) {
	var ids []state.DaemonID
	for _, other := range w.nodes {
		if !other.dead && other.side == nd.side && (other == nd || !other.suspected) {
			ids = append(ids, other.id)
		}
	}
	v := permits.Membership{Self: nd.id, Daemons: ids, Share: float64(len(ids)) / float64(len(w.nodes))}
	w.on(nd, func() { w.step(nd, v) })
}

// seeAll has all daemons see the present state, each after a delay of its own.
func (w *world) seeAll(least, most time.Duration) {
	for _, nd := range w.nodes {
		d := least + time.Duration(w.rng.Float64()*float64(most-least))
		w.in(d, func() { w.see(nd) })
	}
}

// arrive has a daemon's next caller come.
func (w *world) arrive(nd *node) {
	d := time.Hour
	if nd.demand > 0 {
		d = time.Duration(w.rng.ExpFloat64() / nd.demand * float64(time.Second))
	}
	w.in(d, func() {
		w.on(nd, func() { w.request(nd) })
		w.arrive(nd)
	})
}

// request is one request that would go to the server.
func (w *world) request(nd *node) {
	w.try(nd, w.now.Add(patience), false)
}

// try sends a request, or tries again for a moment before it goes elsewhere.
func (w *world) try(nd *node, until time.Time, again bool) {
	if nd.way.send(w.now, again) {
		told := !nd.told.IsZero() && w.now.Sub(nd.told) >= toldFor
		w.arrivals = append(w.arrivals, arrival{at: w.now, told: told})
		w.answer(nd)
	} else if w.now.Before(until) {
		w.in(3*time.Millisecond, func() { w.on(nd, func() { w.try(nd, until, true) }) })
	}
	w.step(nd, permits.Tick{})
}

// answer has the server answer a daemon, with the limit as it is when the request comes.
func (w *world) answer(nd *node) {
	sent, limit := w.now, w.limit
	w.in(answerAfter, func() {
		w.on(nd, func() {
			if limit.Named && nd.told.IsZero() {
				nd.told = w.now
			}
			w.step(nd, permits.LimitObserved{Server: engine, Limit: limit, Sent: sent})
		})
	})
}

// name has the server name a limit from now on.
func (w *world) name(perSecond float64) {
	w.limit = fleet.RateLimit{Named: true, PerSecond: perSecond}
	w.named = w.now
}

// restart has a daemon lose what it knows.
func (w *world) restart(nd *node) {
	nd.way, nd.dead, nd.wake, nd.told = w.newWay(), false, time.Time{}, time.Time{}
	w.see(nd)
}

// busiest is the most requests that the server got in any window that begins at a moment or
// later, from daemons that had been told.
func (w *world) busiest(from time.Time) int {
	var at []time.Time
	for _, a := range w.arrivals {
		if a.told && !a.at.Before(from) {
			at = append(at, a.at)
		}
	}
	most, j := 0, 0
	for i, t := range at {
		for t.Sub(at[j]) >= window {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}

// got is how many requests the server got from a moment on.
func (w *world) got(from time.Time) int {
	return len(w.arrivals) - slices.IndexFunc(append(w.arrivals, arrival{at: w.now.Add(time.Hour)}), func(a arrival) bool { return !a.at.Before(from) })
}

// issued is the way of the package.
type issued struct{ p *permits.Limiter }

func newIssued() way { return &issued{p: permits.New()} }

func (i *issued) send(now time.Time, again bool) bool {
	ok, _ := i.p.Take(now, engine)
	if !ok {
		i.p.RecordDemand(now, engine, again)
	}
	return ok
}

func (i *issued) step(now time.Time, ev permits.Event) []permits.Action { return i.p.Step(now, ev) }
func (i *issued) next(now time.Time) time.Time                          { return i.p.NextTick(now) }

// split is the other way: each daemon keeps its equal part by itself, a bucket that begins
// empty and holds one request at least.
type split struct {
	limit fleet.RateLimit
	part  float64
	live  int
	level float64
	at    time.Time
}

func newSplit() way { return &split{} }

func (s *split) send(now time.Time, _ bool) bool {
	if !s.limit.Named {
		return true
	}
	rate := s.limit.PerSecond * s.part / float64(s.live)
	s.level = min(s.level+rate*now.Sub(s.at).Seconds(), max(1, rate*0.1))
	s.at = now
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

func (s *split) step(now time.Time, ev permits.Event) []permits.Action {
	switch ev := ev.(type) {
	case permits.Membership:
		s.part, s.live = ev.Share, len(ev.Daemons)
	case permits.LimitObserved:
		if ev.Limit == s.limit {
			return nil
		}
		s.limit, s.level, s.at = ev.Limit, 0, now
		return []permits.Action{permits.Broadcast{LimitNotice: permits.LimitNotice{Server: engine, Limit: ev.Limit}}}
	case permits.LimitReceived:
		if ev.Limit != s.limit {
			s.limit, s.level, s.at = ev.Limit, 0, now
		}
	}
	return nil
}

func (s *split) next(time.Time) time.Time { return time.Time{} }
