package shares_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const model state.ServiceID = "model"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a site of daemons in virtual time.
type world struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	sequence int
	daemons  []*daemon
	fanout   int
	delay    time.Duration // the longest delay of a message
	loss     float64       // probability that a message is lost
	twice    float64       // probability that a message is delivered twice
	paused   time.Duration // all pauses of daemons together
	admitted map[shares.Customer]*total
	standing []shares.StandingChanged
}

// daemon is a daemon and what its network connects it to.
type daemon struct {
	id          state.DaemonID
	incarnation state.Incarnation
	machine     *shares.Machine
	group       int // daemons of different groups can't reach each other
	down        bool
	pausedUntil time.Time
	tickAt      time.Time
	messages    int
	bytes       int
	peers       map[state.DaemonID]bool // those that it has sent messages to
}

// total is the true use of a customer at all processes, also those that have ended.
type total struct {
	tokens float64
	at     time.Time
}

func (t *total) value(now time.Time) float64 {
	return t.tokens * math.Exp(-now.Sub(t.at).Seconds()/shares.Window.Seconds())
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, daemons, fanout int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, fanout: fanout, delay: 5 * time.Millisecond,
		admitted: make(map[shares.Customer]*total),
	}
	for i := range daemons {
		d := &daemon{id: state.DaemonID(fmt.Sprintf("g%d", i)), peers: make(map[state.DaemonID]bool)}
		w.daemons = append(w.daemons, d)
		w.start(d)
	}
	w.updateMembers()
	return w
}

func (w *world) start(d *daemon) {
	d.incarnation++
	d.down, d.pausedUntil, d.tickAt = false, time.Time{}, time.Time{}
	d.machine = shares.New(shares.Config{Self: state.Member{ID: d.id, Incarnation: d.incarnation}, Fanout: w.fanout})
}

func (w *world) at(t time.Time, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: t, sequence: w.sequence, run: run})
}

// run processes events up to a time.
func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = later(w.now, e.at)
		e.run()
	}
	w.now = until
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reaches reports whether messages pass between two daemons.
func reaches(a, b *daemon) bool { return !a.down && !b.down && a.group == b.group }

// updateMembers passes each daemon the ones that it reaches.
func (w *world) updateMembers() {
	for _, d := range w.daemons {
		w.updateView(d)
	}
}

func (w *world) updateView(d *daemon) {
	if d.down {
		return
	}
	live := lo.Filter(w.daemons, func(o *daemon, _ int) bool { return reaches(d, o) })
	w.step(d, shares.Membership{Daemons: lo.Map(live, func(o *daemon, _ int) state.DaemonID { return o.id })})
}

// updateMembersLate passes each daemon its view after up to some time.
func (w *world) updateMembersLate(most time.Duration) {
	for _, d := range w.daemons {
		w.at(w.now.Add(w.upTo(most)), func() { w.updateView(d) })
	}
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

// step delivers an event, once the daemon is no longer paused.
func (w *world) step(d *daemon, ev shares.Event) {
	if w.now.Before(d.pausedUntil) {
		incarnation := d.incarnation
		w.at(d.pausedUntil, func() {
			if !d.down && d.incarnation == incarnation {
				w.step(d, ev)
			}
		})
		return
	}
	if _, tick := ev.(shares.Tick); tick {
		d.tickAt = time.Time{}
	}
	for _, a := range d.machine.Step(w.now, ev) {
		w.perform(d, a)
	}
	w.schedule(d)
}

// schedule lets the machine's next timer run.
func (w *world) schedule(d *daemon) {
	next := d.machine.NextTick()
	if next.IsZero() || !d.tickAt.IsZero() && !next.Before(d.tickAt) {
		return
	}
	next = later(next, w.now.Add(time.Millisecond))
	d.tickAt = next
	incarnation := d.incarnation
	w.at(next, func() {
		if !d.down && d.incarnation == incarnation && d.tickAt.Equal(next) {
			w.step(d, shares.Tick{})
		}
	})
}

func (w *world) perform(d *daemon, a shares.Action) {
	switch a := a.(type) {
	case shares.Send:
		to := lo.Must(lo.Find(w.daemons, func(o *daemon) bool { return o.id == a.To }))
		d.messages++
		d.bytes += len(encode(a.Msg))
		d.peers[a.To] = true
		w.send(d, to, shares.Received{From: state.Member{ID: d.id, Incarnation: d.incarnation}, Msg: a.Msg})
	case shares.Broadcast:
		for _, to := range w.daemons {
			if to != d {
				w.send(d, to, shares.NoticeReceived{ContentionNotice: a.ContentionNotice, At: w.now})
			}
		}
	case shares.StandingChanged:
		w.standing = append(w.standing, a)
	}
}

func (w *world) send(from, to *daemon, ev shares.Event) {
	if w.rng.Float64() < w.loss || !reaches(from, to) {
		return
	}
	for range 1 + lo.Ternary(w.rng.Float64() < w.twice, 1, 0) {
		w.at(w.now.Add(w.upTo(w.delay)), func() {
			if reaches(from, to) {
				w.step(to, ev)
			}
		})
	}
}

// encode encodes a message as daemons do.
func encode(m shares.Message) []byte {
	var out countingBuffer
	enc := msgpack.NewEncoder(&out)
	enc.UseCompactInts(true)
	lo.Must0(enc.Encode(m))
	return out
}

type countingBuffer []byte

func (b *countingBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// charge admits a request of a customer at a daemon.
func (w *world) charge(d *daemon, c shares.Customer, tokens float64) {
	if d.down || w.now.Before(d.pausedUntil) {
		return
	}
	d.machine.Charge(w.now, model, c, tokens)
	t := w.admitted[c]
	if t == nil {
		t = &total{at: w.now}
		w.admitted[c] = t
	}
	t.tokens, t.at = t.value(w.now)+tokens, w.now
	w.schedule(d)
}

func (w *world) mark(d *daemon) {
	if d.down || w.now.Before(d.pausedUntil) {
		return
	}
	if d.machine.MarkContended(w.now, model) {
		w.step(d, shares.Tick{})
	}
}

// load makes customers send requests at daemons until a time.
func (w *world) load(until time.Time, interval time.Duration, request func()) {
	for t := w.now; t.Before(until); t = t.Add(interval) {
		w.at(t, request)
	}
}

// used returns what a daemon knows that a customer uses at all daemons.
func (w *world) used(d *daemon, c shares.Customer) (float64, bool) {
	st, ok := d.machine.Standing(w.now, model)
	if !ok {
		return 0, false
	}
	for _, s := range st.Customers {
		if s.Customer == c {
			return s.Used, true
		}
	}
	return 0, true
}
