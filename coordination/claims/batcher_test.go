package claims_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// load drives key homes in virtual time: claims arrive by a Poisson process,
// are inserted, and write their terminal outcome a second later.
type load struct {
	now       time.Time
	rng       *rand.Rand
	store     *table
	homes     []*claims.Batcher
	latency   time.Duration
	pace      time.Duration // between transactions of a home, 0 for none
	free      []time.Time   // when a home may send its next
	due       []dueCall
	lazy      []lazyWrite
	homeKnows bool // repeats are of keys that the home saw
	asked     map[uint64]time.Time
	waits     []time.Duration
	conflicts int
}

type dueCall struct {
	at   time.Time
	home int
	call store.Call
}

type lazyWrite struct {
	at  time.Time
	req claims.WriteRequest
}

func (l *load) homeOf(key string) int {
	return int(state.Attempt(len(key))+state.Attempt(key[len(key)-1])*7+state.Attempt(key[len(key)-2])) % len(l.homes)
}

func (l *load) act(home int, actions []claims.BatchAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case claims.CallStore:
			at := l.now
			if a.Call.Writes() {
				at = later(at, l.free[home])
				l.free[home] = at.Add(l.pace)
			}
			l.due = append(l.due, dueCall{at.Add(l.latency), home, a.Call})
			slices.SortStableFunc(l.due, func(a, b dueCall) int { return a.at.Compare(b.at) })
		case claims.Reply:
			l.replied(a.Reply)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *load) replied(r claims.WriteReply) {
	at, ok := l.asked[r.Call]
	if !ok {
		return
	}
	delete(l.asked, r.Call)
	l.waits = append(l.waits, l.now.Sub(at))
	if r.Status == store.Conflict {
		l.conflicts++
		return
	}
	req := claims.WriteRequest{Call: r.Call + 1<<40, Key: fmt.Sprintf("k%08d", r.Call), Base: r.Revision, Value: []byte("done"), Lazy: true}
	l.lazy = append(l.lazy, lazyWrite{l.now.Add(time.Second), req})
}

// repeat returns the key of a claim of late, or marks key as claimed before
// through another home.
func (l *load) repeat(n uint64, key string) string {
	if l.homeKnows {
		return fmt.Sprintf("k%08d", n-min(n-1, l.rng.Uint64N(1000)))
	}
	l.store.rows[key] = store.Row{Key: key, Value: []byte("other"), Revision: 3}
	return key
}

// run returns the claims asked for.
func (l *load) run(perSecond float64, repeats float64, span time.Duration) int {
	const tick = time.Millisecond
	n := uint64(0)
	next := 0.0
	for t := time.Duration(0); t < span; t += tick {
		l.now = l.now.Add(tick)
		for next <= t.Seconds() {
			n++
			next += l.rng.ExpFloat64() / perSecond
			key := fmt.Sprintf("k%08d", n)
			if l.rng.Float64() < repeats {
				key = l.repeat(n, key)
			}
			l.asked[n] = l.now
			h := l.homeOf(key)
			l.act(h, l.homes[h].Step(l.now, claims.WriteRequested{Request: claims.WriteRequest{Call: n, Key: key, Value: []byte("claim")}}))
		}
		for len(l.lazy) > 0 && !l.lazy[0].at.After(l.now) {
			req := l.lazy[0].req
			l.lazy = l.lazy[1:]
			h := l.homeOf(req.Key)
			l.act(h, l.homes[h].Step(l.now, claims.WriteRequested{Request: req}))
		}
		for len(l.due) > 0 && !l.due[0].at.After(l.now) {
			d := l.due[0]
			l.due = l.due[1:]
			res := l.store.serve(d.call.Request, fateOK)
			res.Call = d.call.ID
			l.act(d.home, l.homes[d.home].Step(l.now, claims.StoreResult{Result: res}))
		}
		for h, b := range l.homes {
			if at := b.NextTick(); !at.IsZero() && !at.After(l.now) {
				l.act(h, b.Step(l.now, claims.Tick{}))
			}
		}
	}
	return int(n)
}

// BenchmarkWritesPerClaim measures what batching saves. A claim costs two row
// writes: the claim and its outcome. The store takes 10 ms a call, and one
// claim in a hundred finds a row.
func BenchmarkWritesPerClaim(b *testing.B) {
	for _, rate := range []float64{10, 100, 1000, 5000} {
		for _, homes := range []int{1, 4, 9, 64} {
			b.Run(fmt.Sprintf("claims=%v/homes=%d", rate, homes), func(b *testing.B) {
				for b.Loop() {
					measure(b, rate, homes, 0, 0.01, false)
				}
			})
		}
	}
}

// BenchmarkPacedClaims gives each of four key homes 33 transactions a second,
// halves of split ones included: its share of the site's writes among 420
// daemons.
func BenchmarkPacedClaims(b *testing.B) {
	for _, rate := range []float64{500, 1000, 2000, 3000, 4000} {
		for _, repeats := range []float64{0.001, 0.01} {
			for _, known := range []bool{false, true} {
				b.Run(fmt.Sprintf("claims=%v/repeats=%v/known=%v", rate, repeats, known), func(b *testing.B) {
					for b.Loop() {
						measure(b, rate, 4, time.Second/33, repeats, known)
					}
				})
			}
		}
	}
}

func measure(b *testing.B, rate float64, homes int, pace time.Duration, repeats float64, known bool) {
	const span = 20 * time.Second
	l := &load{
		now:     time.Unix(0, 0),
		rng:     rand.New(rand.NewPCG(1, 1)),
		store:   &table{rows: map[string]store.Row{}},
		latency: 10 * time.Millisecond,
		pace:    pace,
		free:    make([]time.Time, homes),

		homeKnows: known,
		asked:     map[uint64]time.Time{},
	}
	for range homes {
		l.homes = append(l.homes, claims.NewBatcher(claims.DefaultBatchConfig()))
	}
	n := l.run(rate, repeats, span)
	var s claims.BatchStats
	for _, h := range l.homes {
		s.Txns += h.Stats().Txns
		s.Rows += h.Stats().Rows
		s.Reads += h.Stats().Reads
	}
	slices.Sort(l.waits)
	b.ReportMetric(float64(s.Txns)/float64(n), "txns/claim")
	b.ReportMetric(float64(s.Rows)/float64(n), "rows/claim")
	b.ReportMetric(float64(s.Reads)/float64(n), "reads/claim")
	b.ReportMetric(float64(s.Txns)/span.Seconds(), "txns/s")
	b.ReportMetric(float64(n-len(l.waits))/float64(n), "unanswered/claim")
	b.ReportMetric(float64(l.waits[len(l.waits)*99/100].Milliseconds()), "p99-wait-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkClaimStep runs one claim from Start to its recorded outcome: four
// events.
func BenchmarkClaimStep(b *testing.B) {
	now := time.Unix(0, 0)
	n := &node{honest: true, w: &world{}}
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		c := claims.New(claims.DefaultConfig(), rng, n, claims.Request{
			Key: claims.Key{Service: "s", Customer: "c", Key: "k"}, Nonce: "n", Deadline: now.Add(time.Second),
		})
		written := func(actions []claims.Action) claims.StoreResult {
			call := actions[0].(claims.CallStore).Call
			w := call.Request.(store.Commit).Txn.Writes[0]
			return claims.StoreResult{Result: store.Result{Call: call.ID, Status: store.Done, Rows: []store.Row{{Value: w.Value, Revision: 1}}}}
		}
		c.Step(now, written(c.Step(now, claims.Start{})))
		c.Step(now, written(c.Step(now, claims.Ended{Phase: claims.PhaseDone})))
		if !c.Released() {
			b.Fatal("not released")
		}
	}
}

// BenchmarkBatcherStep is one write through a Batcher, in batches of 64.
func BenchmarkBatcherStep(b *testing.B) {
	now := time.Unix(0, 0)
	m := claims.NewBatcher(claims.DefaultBatchConfig())
	s := &table{rows: map[string]store.Row{}}
	var under []claims.BatchAction
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := claims.WriteRequest{Call: uint64(i), Key: fmt.Sprintf("k%d", i%1024), Value: []byte("v"), Base: s.rows[fmt.Sprintf("k%d", i%1024)].Revision}
		for _, a := range m.Step(now, claims.WriteRequested{Request: req}) {
			if _, ok := a.(claims.CallStore); ok {
				under = append(under, a)
			}
		}
		if i%64 == 63 {
			for len(under) > 0 {
				call := under[0].(claims.CallStore).Call
				under = under[1:]
				res := s.serve(call.Request, fateOK)
				res.Call = call.ID
				for _, a := range m.Step(now, claims.StoreResult{Result: res}) {
					if _, ok := a.(claims.CallStore); ok {
						under = append(under, a)
					}
				}
			}
		}
	}
}
