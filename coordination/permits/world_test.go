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
	engine = state.BackendIncarnation{ID: "e1", Born: 1}
)

const (
	// convergenceTime is how long daemons may take to obey a limit; window is the period over which
	// the server's requests are counted.
	convergenceTime = 3 * time.Second
	window          = 4 * time.Second
	// noticeTime is the time after which a daemon that has received the limit must obey it.
	noticeTime = 500 * time.Millisecond
	// requestTimeout is how long a request tries to get a permit before it goes elsewhere.
	requestTimeout = 24 * time.Millisecond
	// answerDelay is how long the server takes to begin an answer.
	answerDelay = 150 * time.Millisecond
)

// allowed returns how many requests a server may get in one window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// strategy is how a daemon enforces a limit.
type strategy interface {
	// send reports whether the daemon sends a request now; retry is set if it is a retry.
	send(now time.Time, retry bool) bool
	step(now time.Time, ev permits.Event) []permits.Action
	next(now time.Time) time.Time
}

// simulation runs daemons in front of one server in virtual time.
type simulation struct {
	now         time.Time
	rng         *rand.Rand
	queue       events
	seq         int
	nodes       []*node
	newStrategy func() strategy
	loss        float64 // fraction of messages that are lost

	limit      fleet.RateLimit // declared by the server
	declaredAt time.Time
	arrivals   []arrival
	messages   int
}

// arrival is a request that the server received.
type arrival struct {
	at time.Time
	// informed is set if its daemon had known the limit from an answer for at least noticeTime.
	informed bool
}

// node is one daemon.
type node struct {
	id          state.DaemonID
	strategy    strategy
	demand      float64 // requests per second
	dead        bool
	frozenUntil time.Time // end of the freeze
	partition   int
	// suspected is set if others believe it dead.
	suspected  bool
	timerAt    time.Time // when the pending timer fires
	informedAt time.Time // when an answer first declared the limit in this incarnation
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

// newSimulation creates n daemons with a total demand in requests per second, or with all of it at
// the first one.
func newSimulation(seed uint64, n int, demand float64, oneDaemon bool, newStrategy func() strategy) *simulation {
	sim := &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), newStrategy: newStrategy}
	for i := range n {
		nd := &node{id: state.DaemonID(fmt.Sprintf("d%03d", i)), strategy: newStrategy()}
		switch {
		case !oneDaemon:
			nd.demand = demand / float64(n)
		case i == 0:
			nd.demand = demand
		}
		sim.nodes = append(sim.nodes, nd)
	}
	for _, nd := range sim.nodes {
		sim.updateView(nd)
		sim.scheduleRequest(nd)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: run})
}

// run advances the time.
func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

// on runs a function at a daemon, after its freeze has ended.
func (sim *simulation) on(nd *node, run func()) {
	switch strategy := nd.strategy; {
	case nd.dead:
	case sim.now.Before(nd.frozenUntil):
		sim.after(nd.frozenUntil.Sub(sim.now), func() { sim.on(nd, run) })
	case strategy == nd.strategy:
		run()
	}
}

// step lets a daemon process an event.
func (sim *simulation) step(nd *node, ev permits.Event) {
	for _, a := range nd.strategy.step(sim.now, ev) {
		switch a := a.(type) {
		case permits.Send:
			sim.send(nd, a)
		case permits.Broadcast:
			sim.announce(nd, a.LimitNotice)
		}
	}
	sim.setTimer(nd)
}

func (sim *simulation) setTimer(nd *node) {
	next := nd.strategy.next(sim.now)
	if next.IsZero() || !nd.timerAt.IsZero() && !next.Before(nd.timerAt) && nd.timerAt.After(sim.now) {
		return
	}
	at := max(next.Sub(sim.now), 2*time.Millisecond)
	nd.timerAt = sim.now.Add(at)
	sim.after(at, func() { sim.on(nd, func() { sim.step(nd, permits.Tick{}) }) })
}

// send delivers a message over a link.
func (sim *simulation) send(from *node, s permits.Send) {
	sim.messages++
	for _, to := range sim.nodes {
		if to.id != s.To || to.partition != from.partition || sim.rng.Float64() < sim.loss {
			continue
		}
		sim.after(sim.delay(), func() {
			sim.on(to, func() { sim.step(to, permits.MessageReceived{From: from.id, Msg: s.Msg}) })
		})
	}
}

// announce delivers a limit to all daemons of a partition within a second.
func (sim *simulation) announce(from *node, t permits.LimitNotice) {
	at := sim.now
	for _, to := range sim.nodes {
		if to == from || to.partition != from.partition {
			continue
		}
		sim.after(time.Duration(sim.rng.Float64()*float64(time.Second)), func() {
			sim.on(to, func() { sim.step(to, permits.LimitReceived{LimitNotice: t, At: at}) })
		})
	}
}

func (sim *simulation) delay() time.Duration {
	return 300*time.Microsecond + time.Duration(sim.rng.ExpFloat64()*float64(time.Millisecond))
}

// updateView gives a daemon a membership of the daemons that it can reach.
func (sim *simulation) updateView(nd *node) {
	var ids []state.DaemonID
	for _, other := range sim.nodes {
		if !other.dead && other.partition == nd.partition && (other == nd || !other.suspected) {
			ids = append(ids, other.id)
		}
	}
	v := permits.Membership{Self: nd.id, Daemons: ids, Share: float64(len(ids)) / float64(len(sim.nodes))}
	sim.on(nd, func() { sim.step(nd, v) })
}

// updateViews gives all daemons the current membership, each after a delay of its own.
func (sim *simulation) updateViews(least, most time.Duration) {
	for _, nd := range sim.nodes {
		d := least + time.Duration(sim.rng.Float64()*float64(most-least))
		sim.after(d, func() { sim.updateView(nd) })
	}
}

// scheduleRequest schedules the next request at a daemon.
func (sim *simulation) scheduleRequest(nd *node) {
	d := time.Hour
	if nd.demand > 0 {
		d = time.Duration(sim.rng.ExpFloat64() / nd.demand * float64(time.Second))
	}
	sim.after(d, func() {
		sim.on(nd, func() { sim.request(nd) })
		sim.scheduleRequest(nd)
	})
}

// request starts one request for the server.
func (sim *simulation) request(nd *node) {
	sim.try(nd, sim.now.Add(requestTimeout), false)
}

// try sends a request, or retries for a short time before the request goes elsewhere.
func (sim *simulation) try(nd *node, until time.Time, retry bool) {
	if nd.strategy.send(sim.now, retry) {
		informed := !nd.informedAt.IsZero() && sim.now.Sub(nd.informedAt) >= noticeTime
		sim.arrivals = append(sim.arrivals, arrival{at: sim.now, informed: informed})
		sim.answer(nd)
	} else if sim.now.Before(until) {
		sim.after(3*time.Millisecond, func() { sim.on(nd, func() { sim.try(nd, until, true) }) })
	}
	sim.step(nd, permits.Tick{})
}

// answer schedules the server's answer, with the limit at the time of the request.
func (sim *simulation) answer(nd *node) {
	sent, limit := sim.now, sim.limit
	sim.after(answerDelay, func() {
		sim.on(nd, func() {
			if limit.Named && nd.informedAt.IsZero() {
				nd.informedAt = sim.now
			}
			sim.step(nd, permits.LimitObserved{Server: engine, Limit: limit, Sent: sent})
		})
	})
}

// declare lets the server declare a limit from now on.
func (sim *simulation) declare(perSecond float64) {
	sim.limit = fleet.RateLimit{Named: true, PerSecond: perSecond}
	sim.declaredAt = sim.now
}

// restart restarts a daemon without its state.
func (sim *simulation) restart(nd *node) {
	nd.strategy, nd.dead, nd.timerAt, nd.informedAt = sim.newStrategy(), false, time.Time{}, time.Time{}
	sim.updateView(nd)
}

// maxPerWindow returns the maximum number of requests that the server got in any window that begins
// at from or later, from informed daemons.
func (sim *simulation) maxPerWindow(from time.Time) int {
	var at []time.Time
	for _, a := range sim.arrivals {
		if a.informed && !a.at.Before(from) {
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

// receivedSince returns how many requests the server got since from.
func (sim *simulation) receivedSince(from time.Time) int {
	return len(sim.arrivals) - slices.IndexFunc(append(sim.arrivals, arrival{at: sim.now.Add(time.Hour)}), func(a arrival) bool { return !a.at.Before(from) })
}

// shared is the strategy of the package: all daemons share the limit by means of permits.
type shared struct{ l *permits.Limiter }

func newShared() strategy { return &shared{l: permits.New()} }

func (s *shared) send(now time.Time, retry bool) bool {
	ok, _ := s.l.Take(now, engine)
	if !ok {
		s.l.RecordDemand(now, engine, retry)
	}
	return ok
}

func (s *shared) step(now time.Time, ev permits.Event) []permits.Action { return s.l.Step(now, ev) }
func (s *shared) next(now time.Time) time.Time                          { return s.l.NextTick(now) }

// split is the alternative: each daemon enforces its equal part by itself, with a bucket
// that starts empty and holds at least one request.
type split struct {
	limit fleet.RateLimit
	part  float64
	live  int
	level float64
	at    time.Time
}

func newSplit() strategy { return &split{} }

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
