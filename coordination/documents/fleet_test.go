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

// table simulates the table service and records all committed documents.
type table struct {
	rows           map[string]store.Row
	committedTexts map[string]string // service/version: text
	reads          int
	writes         int
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
			s.committedTexts[fmt.Sprintf("%s/%d", w.Key, rec.Version)] = rec.Text
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

// queue orders scheduled events by time.
type queue []scheduledEvent

type scheduledEvent struct {
	at       time.Time
	seq      int
	callback func()
}

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// daemon is one state machine with its observable state.
type daemon struct {
	*documents.Documents
	member           state.Member
	region           int
	dead             bool
	partitioned      bool // reaches no peer
	storeUnreachable bool // does not reach the store
	applied          map[state.ServiceID]state.DocumentVersion
	isolatedAt       time.Time // when it reported isolation
	sentBytes        int
	sentMessages     int
}

// cluster runs daemons, network and store in virtual time.
type cluster struct {
	now     time.Time
	rng     *rand.Rand
	events  queue
	seq     int
	daemons []*daemon
	store   *table

	storeUp           bool
	storeLatency      time.Duration
	answerLoss        float64 // probability that a store answer is lost
	messageLoss       float64 // probability that a message is lost
	regionPartitioned bool    // region 0 reaches no other region

	loseCommitAnswers bool // commits take effect and their answers are lost

	answers    map[uint64]documents.EditAnswered
	lastID     uint64
	fail       func(format string, args ...any)
	countBytes bool // measure sentBytes
}

func newCluster(n int, seed uint64, fail func(string, ...any)) *cluster {
	c := &cluster{
		now:          time.Unix(1_000_000, 0),
		rng:          rand.New(rand.NewPCG(seed, 9)),
		store:        &table{rows: map[string]store.Row{}, committedTexts: map[string]string{}},
		storeUp:      true,
		storeLatency: 10 * time.Millisecond,
		answers:      map[uint64]documents.EditAnswered{},
		fail:         fail,
	}
	for i := range n {
		c.add(fmt.Sprintf("d%03d", i), 1, i%3)
	}
	return c
}

func (c *cluster) add(id string, inc state.Incarnation, region int) *daemon {
	m := state.Member{ID: state.DaemonID(id), Incarnation: inc}
	d := &daemon{
		Documents: documents.New(documents.DefaultConfig(), c.rng, m, c.now),
		member:    m,
		region:    region,
		applied:   map[state.ServiceID]state.DocumentVersion{},
	}
	c.daemons = append(c.daemons, d)
	return d
}

func (c *cluster) after(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{c.now.Add(t), c.seq, do})
}

func (c *cluster) step(d *daemon, ev documents.Event) {
	if d.dead {
		return
	}
	for _, a := range d.Step(c.now, ev) {
		switch a := a.(type) {
		case documents.CallStore:
			c.call(d, a.Call)
		case documents.Send:
			c.send(d, a)
		case documents.Applied:
			c.checkApplied(d, a.Doc)
		case documents.IsolatedChanged:
			d.isolatedAt = time.Time{}
			if a.Isolated {
				d.isolatedAt = c.now
			}
		case documents.EditAnswered:
			c.answers[a.ID] = a
		}
	}
}

// checkApplied checks the invariants of each applied document: versions only increase, and the
// text is the committed one.
func (c *cluster) checkApplied(d *daemon, doc documents.Doc) {
	if doc.Version <= d.applied[doc.Service] {
		c.fail("%v went from version %d to %d", d.member, d.applied[doc.Service], doc.Version)
	}
	d.applied[doc.Service] = doc.Version
	if want, ok := c.store.committedTexts[fmt.Sprintf("%s/%d", doc.Service, doc.Version)]; !ok || want != string(doc.Text) {
		c.fail("%v has a text of %s version %d that was never committed", d.member, doc.Service, doc.Version)
	}
}

// call serves a store call. If the answer is lost, the call takes effect at once, later or
// never.
func (c *cluster) call(d *daemon, storeCall store.Call) {
	const timeout = time.Second
	answer := func(res store.Result) func() {
		res.Call = storeCall.ID
		return func() { c.step(d, documents.StoreResult{Result: res}) }
	}
	c.after(c.storeLatency/2, func() {
		switch {
		case !c.storeUp || d.storeUnreachable:
			c.after(timeout, answer(store.Result{}))
		case c.loseCommitAnswers && storeCall.Writes():
			c.store.serve(storeCall.Request)
			c.after(timeout, answer(store.Result{}))
		case c.rng.Float64() < c.answerLoss:
			c.after(time.Duration(c.rng.Int64N(int64(3*timeout))), func() {
				if c.rng.IntN(3) > 0 {
					c.store.serve(storeCall.Request)
				}
			})
			c.after(timeout, answer(store.Result{}))
		default:
			c.after(c.storeLatency/2, answer(c.store.serve(storeCall.Request)))
		}
	})
}

func (c *cluster) reaches(a, b *daemon) bool {
	if a.partitioned || b.partitioned || a.dead || b.dead {
		return false
	}
	return !c.regionPartitioned || (a.region == 0) == (b.region == 0)
}

func (c *cluster) find(m state.Member) *daemon {
	for _, d := range c.daemons {
		if d.member == m {
			return d
		}
	}
	return nil
}

func (c *cluster) send(d *daemon, s documents.Send) {
	to := c.find(s.To)
	if c.countBytes {
		b, _ := msgpack.Marshal(s.Msg)
		d.sentBytes += len(b) + 16 // frame and kind
		d.sentMessages++
	}
	if to == nil || !c.reaches(d, to) || c.rng.Float64() < c.messageLoss {
		return
	}
	c.after(c.linkDelay(d, to), func() {
		if c.reaches(d, to) {
			c.step(to, documents.Received{From: d.member, Msg: s.Msg})
		}
	})
}

// linkDelay is 1 ms within a region and 20 to 60 ms between regions.
func (c *cluster) linkDelay(a, b *daemon) time.Duration {
	if a.region == b.region {
		return time.Millisecond
	}
	return time.Duration(20+c.rng.IntN(40)) * time.Millisecond
}

// heartbeat has d probe one other daemon, both sending digests, and updates its members. It
// runs once a second per daemon.
func (c *cluster) heartbeat(d *daemon) {
	var live []state.Member
	known := 0
	for _, o := range c.daemons {
		if !o.dead {
			known++
		}
		if o != d && c.reaches(d, o) {
			live = append(live, o.member)
		}
	}
	c.step(d, documents.Members{Live: live, Known: known})
	if len(live) == 0 {
		return
	}
	o := c.find(live[c.rng.IntN(len(live))])
	c.send(d, documents.Send{To: o.member, Msg: d.Digest()})
	c.send(o, documents.Send{To: d.member, Msg: o.Digest()})
}

// run advances virtual time by span.
func (c *cluster) run(span time.Duration) {
	end := c.now.Add(span)
	for c.now.Before(end) {
		c.now = c.now.Add(tick)
		for len(c.events) > 0 && !c.events[0].at.After(c.now) {
			heap.Pop(&c.events).(scheduledEvent).callback()
		}
		phase := int(c.now.UnixMilli()/int64(tick/time.Millisecond)) % 200
		for i, d := range c.daemons {
			if d.dead {
				continue
			}
			if i%200 == phase {
				c.heartbeat(d)
			}
			if t := d.NextTick(); !t.IsZero() && !t.After(c.now) {
				c.step(d, documents.Tick{})
			}
		}
	}
}

// runUntil runs until ok returns true, at most for span, and returns the elapsed time.
func (c *cluster) runUntil(span time.Duration, ok func() bool) (time.Duration, bool) {
	from := c.now
	for c.now.Sub(from) < span {
		if ok() {
			return c.now.Sub(from), true
		}
		c.run(tick)
	}
	return span, ok()
}

func (c *cluster) apply(d *daemon, service string, base state.DocumentVersion, editID, text string) uint64 {
	c.lastID++
	c.step(d, documents.SubmitEdit{
		ID: c.lastID, Service: state.ServiceID(service), Base: base, EditID: editID,
		Text: []byte(text), Deadline: c.now.Add(5 * time.Second),
	})
	return c.lastID
}

// edit submits an edit of the document that d has and waits for the answer.
func (c *cluster) edit(d *daemon, service string) documents.EditAnswered {
	c.lastID++
	base := d.ActiveVersions()[state.ServiceID(service)]
	id := c.apply(d, service, base, fmt.Sprintf("e%d", c.lastID), text(int(c.lastID)))
	c.runUntil(10*time.Second, func() bool { _, ok := c.answers[id]; return ok })
	return c.answers[id]
}

// allHave reports whether every live daemon has at least version v.
func (c *cluster) allHave(service string, v state.DocumentVersion) bool {
	for _, d := range c.daemons {
		if !d.dead && d.applied[state.ServiceID(service)] < v {
			return false
		}
	}
	return true
}

// text returns a document of 6 KB that contains the number n, with white space and characters
// that encoders tend to change.
func text(n int) string {
	return fmt.Sprintf("{\n  \"a\": \"%s\",\n  \"n\": %d, \"z\": \"<&>%s\"\n}\n", strings.Repeat("x", 3000), n, strings.Repeat("y", 3000))
}
