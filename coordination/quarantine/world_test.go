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

// simulation runs daemons, replicas and a table service in virtual time. It counts the
// crashes of each content itself.
type simulation struct {
	now   time.Time
	queue events
	seq   int
	rng   *rand.Rand

	entryDaemons []*entryDaemon
	replicas     []*replica
	rows         map[string]store.Row

	loss      float64
	storeDown bool
	cfg       quarantine.Config

	crashes, exclusiveCrashes map[string]int // by content
	sharedExclusiveRuns       int            // exclusive runs beside which another run was present
	falseRefusals             int            // requests refused although their content does not crash
	messages                  int
}

type entryDaemon struct {
	member      state.Member
	machine     *quarantine.Quarantine
	dead        bool
	pausedUntil time.Time
	nextTick    time.Time
	requests    map[uint64]*job
	waiting     []*job // for DeathPropagated
}

type replica struct {
	id        state.ReplicaID
	domain    state.FailureDomain
	upAgainAt time.Time
	runs      map[quarantine.RunID]*job
	exclusive bool
}

// job is one request of a caller. done is called once, with the outcome.
type job struct {
	content string
	crashes bool
	daemon  *entryDaemon
	run     quarantine.RunID
	target  *replica
	lock    uint64
	done    func(outcome string)
}

type event struct {
	at  time.Time
	seq int
	f   func()
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

func newSimulation(seed uint64, daemons, replicas, domains int, cfg quarantine.Config) *simulation {
	w := &simulation{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 5)), rows: make(map[string]store.Row), cfg: cfg,
		crashes: make(map[string]int), exclusiveCrashes: make(map[string]int),
	}
	for i := range replicas {
		w.replicas = append(w.replicas, &replica{
			id:     state.ReplicaID(fmt.Sprint("r", i)),
			domain: state.FailureDomain(fmt.Sprint("d", i%domains)),
			runs:   make(map[quarantine.RunID]*job),
		})
	}
	for i := range daemons {
		w.entryDaemons = append(w.entryDaemons, &entryDaemon{})
		w.startDaemon(i, 1)
	}
	w.sendView()
	return w
}

func (w *simulation) startDaemon(i int, incarnation state.Incarnation) {
	n := &entryDaemon{member: state.Member{ID: state.DaemonID(fmt.Sprint("entry-", i)), Incarnation: incarnation}, requests: make(map[uint64]*job)}
	cfg := w.cfg
	cfg.Self = n.member
	n.machine = quarantine.New(cfg, w.now, rand.New(rand.NewPCG(w.rng.Uint64(), 9)))
	w.entryDaemons[i] = n
	w.step(n, quarantine.Tick{})
}

// kill stops a daemon. Its runs go on, and its callers are disconnected.
func (w *simulation) kill(i int) {
	n := w.entryDaemons[i]
	n.dead = true
	jobs := n.waiting
	for _, r := range w.replicas {
		for _, j := range r.runs {
			if j.daemon == n {
				jobs = append(jobs, j)
			}
		}
	}
	for _, j := range n.requests {
		jobs = append(jobs, j)
	}
	w.startDaemon(i, n.member.Incarnation+1)
	w.sendView()
	for _, j := range jobs {
		j.finish("disconnected")
	}
}

func (j *job) finish(outcome string) {
	if done := j.done; done != nil {
		j.done = nil
		done(outcome)
	}
}

func (w *simulation) sendView() {
	var live []state.Member
	for _, n := range w.entryDaemons {
		live = append(live, n.member)
	}
	for _, n := range w.entryDaemons {
		w.scheduleOn(w.now, n, func() { w.step(n, quarantine.ViewChanged{Live: live}) })
	}
}

func (w *simulation) schedule(t time.Time, do func()) {
	w.seq++
	if t.Before(w.now) {
		t = w.now
	}
	heap.Push(&w.queue, event{at: t, seq: w.seq, f: do})
}

func (w *simulation) scheduleOn(t time.Time, n *entryDaemon, do func()) {
	w.schedule(t, func() {
		switch {
		case n.dead:
		case n.pausedUntil.After(w.now):
			w.scheduleOn(n.pausedUntil, n, do)
		default:
			do()
		}
	})
}

func (w *simulation) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		ev := heap.Pop(&w.queue).(event)
		w.now = ev.at
		ev.f()
	}
	w.now = until
}

func (w *simulation) randomDelay(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

func (w *simulation) step(n *entryDaemon, ev quarantine.Event) {
	for _, a := range n.machine.Step(w.now, ev) {
		switch a := a.(type) {
		case quarantine.Send:
			w.send(n, a)
		case quarantine.CallStore:
			w.store(n, a.Call)
		case quarantine.Allow:
			j := n.requests[a.Call]
			delete(n.requests, a.Call)
			j.lock = a.Lock
			w.dispatch(j, a.Exclusive)
		case quarantine.Refuse:
			j := n.requests[a.Call]
			delete(n.requests, a.Call)
			j.finish("refused")
		case quarantine.DeathPropagated:
			jobs := n.waiting
			n.waiting = nil
			for _, j := range jobs {
				j.finish("failed")
			}
		}
	}
	if next := n.machine.NextTick(); !next.Equal(n.nextTick) {
		n.nextTick = next
		w.scheduleOn(next, n, func() {
			if n.nextTick.Equal(next) {
				n.nextTick = time.Time{}
				w.step(n, quarantine.Tick{})
			}
		})
	}
}

func (w *simulation) send(from *entryDaemon, a quarantine.Send) {
	w.messages++
	if w.rng.Float64() < w.loss {
		return
	}
	for _, to := range w.entryDaemons {
		if to.member.ID == a.To {
			w.scheduleOn(w.now.Add(w.randomDelay(1, 5)), to, func() {
				w.step(to, quarantine.Received{From: from.member, Msg: a.Msg})
			})
		}
	}
}

// store answers within a few milliseconds. While the store is down no call is answered,
// but half of the writes still take effect, up to 3 s late.
func (w *simulation) store(n *entryDaemon, c store.Call) {
	answer := func(after time.Duration, res store.Result) {
		res.Call = c.ID
		w.scheduleOn(w.now.Add(after), n, func() { w.step(n, quarantine.StoreResult{Result: res}) })
	}
	if w.storeDown {
		if w.rng.IntN(2) == 0 {
			w.schedule(w.now.Add(w.randomDelay(1, 3000)), func() { w.apply(c) })
		}
		answer(200*time.Millisecond, store.Result{})
		return
	}
	w.schedule(w.now.Add(w.randomDelay(1, 4)), func() { answer(w.randomDelay(1, 4), w.apply(c)) })
}

func (w *simulation) apply(c store.Call) store.Result {
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

// request sends a content to daemon i.
func (w *simulation) request(i int, content string, crashes bool, done func(string)) {
	n := w.entryDaemons[i]
	w.seq++
	j := &job{content: content, crashes: crashes, daemon: n, run: quarantine.RunID(w.seq), done: done}
	n.requests[uint64(w.seq)] = j
	call := uint64(w.seq)
	w.scheduleOn(w.now, n, func() { w.step(n, quarantine.RunRequested{Call: call, Fingerprint: fp(content)}) })
}

// dispatch runs j on a replica that is up, and idle if the run is exclusive.
func (w *simulation) dispatch(j *job, exclusive bool) {
	var free []*replica
	for _, r := range w.replicas {
		if !r.upAgainAt.After(w.now) && !r.exclusive && (!exclusive || len(r.runs) == 0) {
			free = append(free, r)
		}
	}
	if len(free) == 0 {
		w.scheduleOn(w.now.Add(20*time.Millisecond), j.daemon, func() { w.dispatch(j, exclusive) })
		return
	}
	j.target = free[w.rng.IntN(len(free))]
	j.target.exclusive = exclusive
	j.target.runs[j.run] = j
	w.step(j.daemon, quarantine.RunStarted{Run: j.run, Fingerprint: fp(j.content), Replica: j.target.id, Lock: j.lock})
	w.schedule(w.now.Add(w.randomDelay(50, 500)), func() { w.finishRun(j, exclusive) })
}

// finishRun ends a run with a crash of its replica or with a complete answer.
func (w *simulation) finishRun(j *job, exclusive bool) {
	if j.target.runs[j.run] != j {
		return
	}
	if exclusive && len(j.target.runs) > 1 {
		w.sharedExclusiveRuns++
	}
	if j.crashes {
		w.crashes[j.content]++
		if exclusive {
			w.exclusiveCrashes[j.content]++
		}
		w.crash(j.target)
		return
	}
	delete(j.target.runs, j.run)
	j.target.exclusive = false
	w.scheduleOn(w.now, j.daemon, func() {
		w.step(j.daemon, quarantine.RunEnded{Run: j.run, Result: quarantine.RunCompleted})
		j.finish("completed")
	})
}

// crash stops a replica for 2 s. Every daemon with a run there detects it.
func (w *simulation) crash(r *replica) {
	runs := r.runs
	r.runs = make(map[quarantine.RunID]*job)
	r.exclusive = false
	r.upAgainAt = w.now.Add(2 * time.Second)
	for _, n := range w.entryDaemons {
		var mine []*job
		for _, j := range runs {
			if j.daemon == n {
				mine = append(mine, j)
			}
		}
		if len(mine) == 0 {
			continue
		}
		w.scheduleOn(w.now.Add(time.Millisecond), n, func() {
			n.waiting = append(n.waiting, mine...)
			w.step(n, quarantine.BackendDied{Replica: r.id, Domain: r.domain})
			for _, j := range mine {
				w.step(n, quarantine.RunEnded{Run: j.run, Result: quarantine.RunStopped})
			}
		})
	}
}
