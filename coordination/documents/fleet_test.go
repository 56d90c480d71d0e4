package documents_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const tick = 5 * time.Millisecond

// table is the table service with its history of documents.
type table struct {
	rows    map[string]store.Row
	history map[string]string // service/version: text
	reads   int
	writes  int
}

func (s *table) commit(txn store.Txn) store.Result {
	for _, c := range txn.Conditions {
		if s.rows[c.Table+"/"+c.Key].Revision != c.Revision {
			return store.Result{Status: store.Conflict}
		}
	}
	res := store.Result{Status: store.Done}
	for _, w := range txn.Writes {
		key := w.Table + "/" + w.Key
		row := store.Row{Table: w.Table, Key: w.Key, Value: w.Value, Revision: s.rows[key].Revision + 1}
		s.rows[key] = row
		res.Rows = append(res.Rows, row)
		if rec, err := documents.DecodeRow(row); err == nil && w.Table == documents.Table {
			s.history[fmt.Sprintf("%s/%d", w.Key, rec.Version)] = rec.Text
		}
	}
	return res
}

func (s *table) serve(req store.Request) store.Result {
	switch req := req.(type) {
	case store.Commit:
		s.writes++
		return s.commit(req.Txn)
	case store.Get:
		s.reads++
		if row, ok := s.rows[req.Table+"/"+req.Key]; ok {
			return store.Result{Status: store.Done, Rows: []store.Row{row}}
		}
	case store.Scan:
		s.reads++
		res := store.Result{Status: store.Done}
		for _, row := range s.rows {
			if row.Table == req.Table {
				res.Rows = append(res.Rows, row)
			}
		}
		return res
	}
	return store.Result{Status: store.Done}
}

func (s *table) version(service string) state.DocumentVersion {
	rec, _ := documents.DecodeRow(s.rows[documents.Table+"/"+service])
	return rec.Version
}

// queue orders what is to happen by time.
type queue []happening

type happening struct {
	at  time.Time
	seq int
	do  func()
}

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(happening)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// daemon is one machine with what its surroundings see of it.
type daemon struct {
	*documents.Documents
	member   state.Member
	region   int
	dead     bool
	cut      bool // reaches no peer
	noStore  bool // does not reach the store
	adopted  map[state.ServiceID]state.DocumentVersion
	isolated time.Time // when it said so
	sent     int       // bytes
	msgs     int
}

// fleet runs daemons, network and store in virtual time.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	q       queue
	seq     int
	daemons []*daemon
	store   *table

	up      bool
	latency time.Duration // of the store
	loseIn  float64       // chance that a store answer is lost
	lossy   float64       // chance that a message is lost
	parted  bool          // region 0 reaches no other

	loseCommits bool // commits take effect and their answers are lost

	answers map[uint64]documents.EditAnswered
	lastID  uint64
	fail    func(format string, args ...any)
	count   bool // measure bytes
}

func newFleet(n int, seed uint64, fail func(string, ...any)) *fleet {
	f := &fleet{
		now:     time.Unix(1_000_000, 0),
		rng:     rand.New(rand.NewPCG(seed, 9)),
		store:   &table{rows: map[string]store.Row{}, history: map[string]string{}},
		up:      true,
		latency: 10 * time.Millisecond,
		answers: map[uint64]documents.EditAnswered{},
		fail:    fail,
	}
	for i := range n {
		f.add(fmt.Sprintf("d%03d", i), 1, i%3)
	}
	return f
}

func (f *fleet) add(id string, inc state.Incarnation, region int) *daemon {
	m := state.Member{ID: state.DaemonID(id), Incarnation: inc}
	d := &daemon{
		Documents: documents.New(documents.DefaultConfig(), f.rng, m, f.now),
		member:    m,
		region:    region,
		adopted:   map[state.ServiceID]state.DocumentVersion{},
	}
	f.daemons = append(f.daemons, d)
	return d
}

func (f *fleet) after(t time.Duration, do func()) {
	f.seq++
	heap.Push(&f.q, happening{f.now.Add(t), f.seq, do})
}

func (f *fleet) step(d *daemon, ev documents.Event) {
	if d.dead {
		return
	}
	for _, a := range d.Step(f.now, ev) {
		switch a := a.(type) {
		case documents.CallStore:
			f.call(d, a.Call)
		case documents.Send:
			f.send(d, a)
		case documents.Applied:
			f.check(d, a.Doc)
		case documents.IsolatedChanged:
			d.isolated = time.Time{}
			if a.Isolated {
				d.isolated = f.now
			}
		case documents.EditAnswered:
			f.answers[a.ID] = a
		}
	}
}

// check holds what must hold of each document that comes into force: versions
// only grow, and the text is the committed one.
func (f *fleet) check(d *daemon, doc documents.Doc) {
	if doc.Version <= d.adopted[doc.Service] {
		f.fail("%v went from version %d to %d", d.member, d.adopted[doc.Service], doc.Version)
	}
	d.adopted[doc.Service] = doc.Version
	if want, ok := f.store.history[fmt.Sprintf("%s/%d", doc.Service, doc.Version)]; !ok || want != string(doc.Text) {
		f.fail("%v has a text of %s version %d that was never committed", d.member, doc.Service, doc.Version)
	}
}

// call serves a store call; a lost answer may belong to a call that took
// effect at once, takes effect later or never does.
func (f *fleet) call(d *daemon, c store.Call) {
	const timeout = time.Second
	answer := func(res store.Result) func() {
		res.Call = c.ID
		return func() { f.step(d, documents.StoreResult{Result: res}) }
	}
	f.after(f.latency/2, func() {
		switch {
		case !f.up || d.noStore:
			f.after(timeout, answer(store.Result{}))
		case f.loseCommits && c.Writes():
			f.store.serve(c.Request)
			f.after(timeout, answer(store.Result{}))
		case f.rng.Float64() < f.loseIn:
			f.after(time.Duration(f.rng.Int64N(int64(3*timeout))), func() {
				if f.rng.IntN(3) > 0 {
					f.store.serve(c.Request)
				}
			})
			f.after(timeout, answer(store.Result{}))
		default:
			f.after(f.latency/2, answer(f.store.serve(c.Request)))
		}
	})
}

func (f *fleet) reaches(a, b *daemon) bool {
	if a.cut || b.cut || a.dead || b.dead {
		return false
	}
	return !f.parted || (a.region == 0) == (b.region == 0)
}

func (f *fleet) find(m state.Member) *daemon {
	for _, d := range f.daemons {
		if d.member == m {
			return d
		}
	}
	return nil
}

func (f *fleet) send(d *daemon, s documents.Send) {
	to := f.find(s.To)
	if f.count {
		b, _ := msgpack.Marshal(s.Msg)
		d.sent += len(b) + 16 // frame and kind
		d.msgs++
	}
	if to == nil || !f.reaches(d, to) || f.rng.Float64() < f.lossy {
		return
	}
	f.after(f.hop(d, to), func() {
		if f.reaches(d, to) {
			f.step(to, documents.Received{From: d.member, Msg: s.Msg})
		}
	})
}

// hop is 1 ms in a region and 20 to 60 ms between regions.
func (f *fleet) hop(a, b *daemon) time.Duration {
	if a.region == b.region {
		return time.Millisecond
	}
	return time.Duration(20+f.rng.IntN(40)) * time.Millisecond
}

// heartbeat has each daemon probe one other a second, both telling digests, and
// renews its view of who is in reach.
func (f *fleet) heartbeat(d *daemon) {
	var live []state.Member
	known := 0
	for _, o := range f.daemons {
		if !o.dead {
			known++
		}
		if o != d && f.reaches(d, o) {
			live = append(live, o.member)
		}
	}
	f.step(d, documents.Members{Live: live, Known: known})
	if len(live) == 0 {
		return
	}
	o := f.find(live[f.rng.IntN(len(live))])
	f.send(d, documents.Send{To: o.member, Msg: d.Digest()})
	f.send(o, documents.Send{To: d.member, Msg: o.Digest()})
}

// run lets time pass.
func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for f.now.Before(end) {
		f.now = f.now.Add(tick)
		for len(f.q) > 0 && !f.q[0].at.After(f.now) {
			heap.Pop(&f.q).(happening).do()
		}
		phase := int(f.now.UnixMilli()/int64(tick/time.Millisecond)) % 200
		for i, d := range f.daemons {
			if d.dead {
				continue
			}
			if i%200 == phase {
				f.heartbeat(d)
			}
			if t := d.NextTick(); !t.IsZero() && !t.After(f.now) {
				f.step(d, documents.Tick{})
			}
		}
	}
}

// until runs until ok holds, at most for span, and returns the time it took.
func (f *fleet) until(span time.Duration, ok func() bool) (time.Duration, bool) {
	from := f.now
	for f.now.Sub(from) < span {
		if ok() {
			return f.now.Sub(from), true
		}
		f.run(tick)
	}
	return span, ok()
}

func (f *fleet) apply(d *daemon, service string, base state.DocumentVersion, editID, text string) uint64 {
	f.lastID++
	f.step(d, documents.SubmitEdit{
		ID: f.lastID, Service: state.ServiceID(service), Base: base, EditID: editID,
		Text: []byte(text), Deadline: f.now.Add(5 * time.Second),
	})
	return f.lastID
}

// edit applies an edit of what d holds and waits for the answer.
func (f *fleet) edit(d *daemon, service string) documents.EditAnswered {
	f.lastID++
	base := d.ActiveVersions()[state.ServiceID(service)]
	id := f.apply(d, service, base, fmt.Sprintf("e%d", f.lastID), text(int(f.lastID)))
	f.until(10*time.Second, func() bool { _, ok := f.answers[id]; return ok })
	return f.answers[id]
}

// all reports whether every live daemon has the version.
func (f *fleet) all(service string, v state.DocumentVersion) bool {
	for _, d := range f.daemons {
		if !d.dead && d.adopted[state.ServiceID(service)] < v {
			return false
		}
	}
	return true
}

// text is a document of 6 KB in which n is one number, with white space and
// signs that encoders like to change.
func text(n int) string {
	return fmt.Sprintf("{\n  \"a\": \"%s\",\n  \"n\": %d, \"z\": \"<&>%s\"\n}\n", strings.Repeat("x", 3000), n, strings.Repeat("y", 3000))
}
