package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var epoch = time.Unix(1_000_000, 0)

// world runs daemons, replicas and a table service in virtual time. It counts
// the crashes of each content by itself.
type world struct {
	now   time.Time
	queue events
	seq   int
	rng   *rand.Rand

	nodes    []*node
	replicas []*replica
	rows     map[string]store.Row

	loss      float64
	storeDown bool
	cfg       quarantine.Config

	crashes, alone map[string]int // by content
	aloneBeside    int            // runs alone that were not
	wronged        int            // innocents that were refused
	messages       int
}

type node struct {
	member   state.Member
	m        *quarantine.Quarantine
	dead     bool
	pausedTo time.Time
	wake     time.Time
	asks     map[uint64]*job
	waiting  []*job // for Spread
}

type replica struct {
	id     state.ReplicaID
	domain state.FailureDomain
	upAt   time.Time
	runs   map[quarantine.RunID]*job
	alone  bool
}

// job is one request of a caller; done is called once, with how it ended.
type job struct {
	content string
	crashes bool
	n       *node
	run     quarantine.RunID
	r       *replica
	turn    uint64
	done    func(outcome string)
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, daemons, replicas, domains int, cfg quarantine.Config) *world {
	w := &world{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 5)), rows: make(map[string]store.Row), cfg: cfg,
		crashes: make(map[string]int), alone: make(map[string]int),
	}
	for i := range replicas {
		w.replicas = append(w.replicas, &replica{
			id:     state.ReplicaID(fmt.Sprint("r", i)),
			domain: state.FailureDomain(fmt.Sprint("d", i%domains)),
			runs:   make(map[quarantine.RunID]*job),
		})
	}
	for i := range daemons {
		w.nodes = append(w.nodes, &node{})
		w.boot(i, 1)
	}
	w.tellMembers()
	return w
}

func (w *world) boot(i int, life state.Incarnation) {
	n := &node{member: state.Member{ID: state.DaemonID(fmt.Sprint("entry-", i)), Incarnation: life}, asks: make(map[uint64]*job)}
	cfg := w.cfg
	cfg.Self = n.member
	n.m = quarantine.New(cfg, w.now, rand.New(rand.NewPCG(w.rng.Uint64(), 9)))
	w.nodes[i] = n
	w.step(n, quarantine.Tick{})
}

// kill ends a daemon; what it runs goes on. Its callers are cut off.
func (w *world) kill(i int) {
	n := w.nodes[i]
	n.dead = true
	jobs := n.waiting
	for _, r := range w.replicas {
		for _, j := range r.runs {
			if j.n == n {
				jobs = append(jobs, j)
			}
		}
	}
	for _, j := range n.asks {
		jobs = append(jobs, j)
	}
	w.boot(i, n.member.Incarnation+1)
	w.tellMembers()
	for _, j := range jobs {
		j.finish("cut off")
	}
}

func (j *job) finish(how string) {
	if done := j.done; done != nil {
		j.done = nil
		done(how)
	}
}

func (w *world) tellMembers() {
	var live []state.Member
	for _, n := range w.nodes {
		live = append(live, n.member)
	}
	for _, n := range w.nodes {
		w.on(w.now, n, func() { w.step(n, quarantine.ViewChanged{Live: live}) })
	}
}

func (w *world) at(t time.Time, do func()) {
	w.seq++
	if t.Before(w.now) {
		t = w.now
	}
	heap.Push(&w.queue, event{at: t, seq: w.seq, do: do})
}

func (w *world) on(t time.Time, n *node, do func()) {
	w.at(t, func() {
		switch {
		case n.dead:
		case n.pausedTo.After(w.now):
			w.on(n.pausedTo, n, do)
		default:
			do()
		}
	})
}

func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		ev := heap.Pop(&w.queue).(event)
		w.now = ev.at
		ev.do()
	}
	w.now = until
}

func (w *world) millis(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

func (w *world) step(n *node, ev quarantine.Event) {
	for _, a := range n.m.Step(w.now, ev) {
		switch a := a.(type) {
		case quarantine.Send:
			w.send(n, a)
		case quarantine.CallStore:
			w.store(n, a.Call)
		case quarantine.Allow:
			j := n.asks[a.Call]
			delete(n.asks, a.Call)
			j.turn = a.Lock
			w.dispatch(j, a.Exclusive)
		case quarantine.Refuse:
			j := n.asks[a.Call]
			delete(n.asks, a.Call)
			j.finish("refused")
		case quarantine.DeathPropagated:
			jobs := n.waiting
			n.waiting = nil
			for _, j := range jobs {
				j.finish("failed")
			}
		}
	}
	if next := n.m.NextTick(); !next.Equal(n.wake) {
		n.wake = next
		w.on(next, n, func() {
			if n.wake.Equal(next) {
				n.wake = time.Time{}
				w.step(n, quarantine.Tick{})
			}
		})
	}
}

func (w *world) send(from *node, a quarantine.Send) {
	w.messages++
	if w.rng.Float64() < w.loss {
		return
	}
	for _, to := range w.nodes {
		if to.member.ID == a.To {
			w.on(w.now.Add(w.millis(1, 5)), to, func() {
				w.step(to, quarantine.Received{From: from.member, Msg: a.Msg})
			})
		}
	}
}

// store answers in a few milliseconds. While it is down no call is answered,
// and half of the writes land all the same, up to 3 s late.
func (w *world) store(n *node, c store.Call) {
	answer := func(after time.Duration, res store.Result) {
		res.Call = c.ID
		w.on(w.now.Add(after), n, func() { w.step(n, quarantine.StoreResult{Result: res}) })
	}
	if w.storeDown {
		if w.rng.IntN(2) == 0 {
			w.at(w.now.Add(w.millis(1, 3000)), func() { w.apply(c) })
		}
		answer(200*time.Millisecond, store.Result{})
		return
	}
	w.at(w.now.Add(w.millis(1, 4)), func() { answer(w.millis(1, 4), w.apply(c)) })
}

func (w *world) apply(c store.Call) store.Result {
	res := store.Result{Status: store.Done}
	switch r := c.Request.(type) {
	case store.Get:
		if row, ok := w.rows[r.Key]; ok {
			res.Rows = append(res.Rows, row)
		}
	case store.Scan:
		for _, row := range w.rows {
			res.Rows = append(res.Rows, row)
		}
	case store.Commit:
		for _, cond := range r.Txn.Conditions {
			if w.rows[cond.Key].Revision != cond.Revision {
				return store.Result{Status: store.Conflict}
			}
		}
		for _, wr := range r.Txn.Writes {
			row := store.Row{Table: wr.Table, Key: wr.Key, Value: wr.Value, Revision: w.rows[wr.Key].Revision + 1}
			w.rows[wr.Key] = row
			res.Rows = append(res.Rows, row)
		}
	}
	return res
}

func fp(content string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("s", "m", "v", content)
}

// request sends a content to node i.
func (w *world) request(i int, content string, crashes bool, done func(string)) {
	n := w.nodes[i]
	w.seq++
	j := &job{content: content, crashes: crashes, n: n, run: quarantine.RunID(w.seq), done: done}
	n.asks[uint64(w.seq)] = j
	call := uint64(w.seq)
	w.on(w.now, n, func() { w.step(n, quarantine.RunRequested{Call: call, Fingerprint: fp(content)}) })
}

// dispatch runs j on a replica that is up, empty if alone.
func (w *world) dispatch(j *job, alone bool) {
	var free []*replica
	for _, r := range w.replicas {
		if !r.upAt.After(w.now) && !r.alone && (!alone || len(r.runs) == 0) {
			free = append(free, r)
		}
	}
	if len(free) == 0 {
		w.on(w.now.Add(20*time.Millisecond), j.n, func() { w.dispatch(j, alone) })
		return
	}
	j.r = free[w.rng.IntN(len(free))]
	j.r.alone = alone
	j.r.runs[j.run] = j
	w.step(j.n, quarantine.RunStarted{Run: j.run, Fingerprint: fp(j.content), Replica: j.r.id, Lock: j.turn})
	w.at(w.now.Add(w.millis(50, 500)), func() { w.ran(j, alone) })
}

// ran ends a run: with a crash of its replica or a whole answer.
func (w *world) ran(j *job, alone bool) {
	if j.r.runs[j.run] != j {
		return
	}
	if alone && len(j.r.runs) > 1 {
		w.aloneBeside++
	}
	if j.crashes {
		w.crashes[j.content]++
		if alone {
			w.alone[j.content]++
		}
		w.crash(j.r)
		return
	}
	delete(j.r.runs, j.run)
	j.r.alone = false
	w.on(w.now, j.n, func() {
		w.step(j.n, quarantine.RunEnded{Run: j.run, Result: quarantine.RunCompleted})
		j.finish("completed")
	})
}

// crash ends a replica for 2 s. Every daemon with a run there sees it.
func (w *world) crash(r *replica) {
	runs := r.runs
	r.runs = make(map[quarantine.RunID]*job)
	r.alone = false
	r.upAt = w.now.Add(2 * time.Second)
	for _, n := range w.nodes {
		var mine []*job
		for _, j := range runs {
			if j.n == n {
				mine = append(mine, j)
			}
		}
		if len(mine) == 0 {
			continue
		}
		w.on(w.now.Add(time.Millisecond), n, func() {
			n.waiting = append(n.waiting, mine...)
			w.step(n, quarantine.BackendDied{Replica: r.id, Domain: r.domain})
			for _, j := range mine {
				w.step(n, quarantine.RunEnded{Run: j.run, Result: quarantine.RunStopped})
			}
		})
	}
}
