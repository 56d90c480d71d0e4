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

// loadTest runs key homes in virtual time: claims arrive in a Poisson process, are
// written, and write their terminal outcome a second later.
type loadTest struct {
	now           time.Time
	rng           *rand.Rand
	store         *fakeStore
	homes         []*claims.Batcher
	latency       time.Duration
	minTxnGap     time.Duration // least time between transactions of a home
	nextTxnAt     []time.Time   // by home, when it may send its next transaction
	pendingCalls  []pendingCall
	outcomeWrites []outcomeWrite
	repeatsCached bool // repeats use keys that the home has seen
	requestedAt   map[uint64]time.Time
	latencies     []time.Duration
	conflicts     int
}

type pendingCall struct {
	at   time.Time
	home int
	call store.Call
}

type outcomeWrite struct {
	at  time.Time
	req claims.WriteRequest
}

func (l *loadTest) homeOf(key string) int {
	return int(state.Attempt(len(key))+state.Attempt(key[len(key)-1])*7+state.Attempt(key[len(key)-2])) % len(l.homes)
}

func (l *loadTest) act(home int, actions []claims.BatchAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case claims.CallStore:
			at := l.now
			if a.Call.Writes() {
				at = later(at, l.nextTxnAt[home])
				l.nextTxnAt[home] = at.Add(l.minTxnGap)
			}
			l.pendingCalls = append(l.pendingCalls, pendingCall{at.Add(l.latency), home, a.Call})
			slices.SortStableFunc(l.pendingCalls, func(a, b pendingCall) int { return a.at.Compare(b.at) })
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

func (l *loadTest) replied(r claims.WriteReply) {
	at, ok := l.requestedAt[r.Call]
	if !ok {
		return
	}
	delete(l.requestedAt, r.Call)
	l.latencies = append(l.latencies, l.now.Sub(at))
	if r.Status == store.Conflict {
		l.conflicts++
		return
	}
	req := claims.WriteRequest{Call: r.Call + 1<<40, Key: fmt.Sprintf("k%08d", r.Call), Base: r.Revision, Value: []byte("done"), Lazy: true}
	l.outcomeWrites = append(l.outcomeWrites, outcomeWrite{l.now.Add(time.Second), req})
}

// repeat returns the key of a recent claim, or marks key as claimed before through
// another home.
func (l *loadTest) repeat(n uint64, key string) string {
	if l.repeatsCached {
		return fmt.Sprintf("k%08d", n-min(n-1, l.rng.Uint64N(1000)))
	}
	l.store.rows[key] = store.Row{Key: key, Value: []byte("other"), Revision: 3}
	return key
}

// run returns the number of claims requested.
func (l *loadTest) run(perSecond float64, repeats float64, span time.Duration) int {
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
			l.requestedAt[n] = l.now
			h := l.homeOf(key)
			l.act(h, l.homes[h].Step(l.now, claims.WriteRequested{Request: claims.WriteRequest{Call: n, Key: key, Value: []byte("claim")}}))
		}
		for len(l.outcomeWrites) > 0 && !l.outcomeWrites[0].at.After(l.now) {
			req := l.outcomeWrites[0].req
			l.outcomeWrites = l.outcomeWrites[1:]
			h := l.homeOf(req.Key)
			l.act(h, l.homes[h].Step(l.now, claims.WriteRequested{Request: req}))
		}
		for len(l.pendingCalls) > 0 && !l.pendingCalls[0].at.After(l.now) {
			d := l.pendingCalls[0]
			l.pendingCalls = l.pendingCalls[1:]
			res := l.store.serve(d.call.Request, outcomeOK)
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

// BenchmarkWritesPerClaim measures the savings of batching. A claim needs two row
// writes: the claim and its outcome. A store call takes 10 ms, and one claim in a
// hundred finds a row.
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

// BenchmarkPacedClaims limits each of four key homes to 33 transactions per second,
// halves of split ones included: that is a home's share of the site's writes among
// 420 daemons.
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
	l := &loadTest{
		now:       time.Unix(0, 0),
		rng:       rand.New(rand.NewPCG(1, 1)),
		store:     &fakeStore{rows: map[string]store.Row{}},
		latency:   10 * time.Millisecond,
		minTxnGap: pace,
		nextTxnAt: make([]time.Time, homes),

		repeatsCached: known,
		requestedAt:   map[uint64]time.Time{},
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
	slices.Sort(l.latencies)
	b.ReportMetric(float64(s.Txns)/float64(n), "txns/claim")
	b.ReportMetric(float64(s.Rows)/float64(n), "rows/claim")
	b.ReportMetric(float64(s.Reads)/float64(n), "reads/claim")
	b.ReportMetric(float64(s.Txns)/span.Seconds(), "txns/s")
	b.ReportMetric(float64(n-len(l.latencies))/float64(n), "unanswered/claim")
	b.ReportMetric(float64(l.latencies[len(l.latencies)*99/100].Milliseconds()), "p99-wait-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkClaimStep runs one claim from Start to its recorded outcome, which
// takes four events.
func BenchmarkClaimStep(b *testing.B) {
	now := time.Unix(0, 0)
	n := &node{accurateView: true, sim: &simulation{}}
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

// BenchmarkBatcherStep passes one write through a Batcher, in batches of 64.
func BenchmarkBatcherStep(b *testing.B) {
	now := time.Unix(0, 0)
	m := claims.NewBatcher(claims.DefaultBatchConfig())
	s := &fakeStore{rows: map[string]store.Row{}}
	var inFlight []claims.BatchAction
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := claims.WriteRequest{Call: uint64(i), Key: fmt.Sprintf("k%d", i%1024), Value: []byte("v"), Base: s.rows[fmt.Sprintf("k%d", i%1024)].Revision}
		for _, a := range m.Step(now, claims.WriteRequested{Request: req}) {
			if _, ok := a.(claims.CallStore); ok {
				inFlight = append(inFlight, a)
			}
		}
		if i%64 == 63 {
			for len(inFlight) > 0 {
				call := inFlight[0].(claims.CallStore).Call
				inFlight = inFlight[1:]
				res := s.serve(call.Request, outcomeOK)
				res.Call = call.ID
				for _, a := range m.Step(now, claims.StoreResult{Result: res}) {
					if _, ok := a.(claims.CallStore); ok {
						inFlight = append(inFlight, a)
					}
				}
			}
		}
	}
}
