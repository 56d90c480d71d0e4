package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// StrategyRestart is the baseline of recovery: whoever notices the failure begins anew,
// from the first token.
const StrategyRestart = "begin anew"

const (
	roundTimeout = 2 * time.Minute
	beforeFault  = 5 // tokens that every stream has
	noteTokens   = 2
	noteInterval = 100 * time.Millisecond // between one customer's notes
)

// recovery is one run.
type recovery struct {
	cfg   RecoveryConfig
	fleet *fleet
	base  *twoChoices
	say   func(string)
	sent  int
}

// tally gathers what one way showed under one fault.
type tally struct {
	FaultResult
	times times
	ends  map[ending]int
}

func newTally(fault Fault, way string) *tally {
	return &tally{FaultResult: FaultResult{Fault: fault, Strategy: way}, times: newTimes(), ends: make(map[ending]int)}
}

func (t *tally) result() FaultResult {
	t.Times = t.times.quantiles()
	t.OtherOutcomes = reasonCounts(t.ends)
	return t.FaultResult
}

// add takes a round's streams in. The function met says whether the fault met a
// stream.
func (t *tally) add(ss *streams, at time.Time, met func(*stream) bool) {
	for _, s := range ss.all {
		t.Streams++
		switch {
		case s.outcome != caller.EndCompleted:
			t.Incomplete++
			t.ends[s.ending]++
		case !s.whole():
			t.WrongAnswers++
		}
		if d, ok := s.next(at); ok && met(s) {
			t.times.add(d)
		}
	}
}

// warmUp has every daemon reach every engine once.
func (r *recovery) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	callers := r.fleet.callers(0)
	ss := begin(ctx, "warm", customers, r.sent, noteTokens, func(i int) runner { return reattaching(callers[i]) })
	r.sent += customers
	ss.wg.Wait()
	return ctx.Err()
}

// measure runs all rounds of one fault.
func (r *recovery) measure(ctx context.Context, fault Fault) ([]FaultResult, error) {
	ours, base := newTally(fault, StrategyDaemons), newTally(fault, StrategyRestart)
	violations := len(r.fleet.site.Ledger.Violations())
	for round := range r.cfg.Rounds {
		if err := r.round(ctx, fault, round, ours, base); err != nil {
			return nil, err
		}
	}
	out := []FaultResult{ours.result()}
	if base.Streams > 0 {
		out = append(out, base.result())
	}
	for i := range out {
		out[i].Violations = len(r.fleet.site.Ledger.Violations()) - violations
		r.say(out[i].String())
	}
	return out, nil
}

func (r *recovery) round(ctx context.Context, fault Fault, round int, ours, base *tally) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var err error
	switch fault {
	case FaultStageDies:
		err = r.stageRound(ctx, round, ours, base, (*standin.Engine).Kill)
	case FaultStageUnresponsive:
		err = r.stageRound(ctx, round, ours, base, (*standin.Engine).BlackholeConnections)
	case FaultDaemonDies:
		err = r.daemonRound(ctx, ours, base)
	case FaultCallerUnresponsive:
		err = r.silentRound(ctx, round, ours)
	default:
		err = r.storeRound(ctx, ours)
	}
	if err != nil {
		return err
	}
	return r.fleet.awaitServing(ctx)
}

// start begins a round's streams of one way and counts them.
func (r *recovery) start(ctx context.Context, way string, run func(i int) runner) *streams {
	ss := begin(ctx, way, r.cfg.Streams, r.sent, r.cfg.Tokens, run)
	r.sent += r.cfg.Streams
	return ss
}

// strike waits until all streams are under way, fails something and waits for
// the streams' ends. It returns when it failed it.
func strike(ctx context.Context, fail func(), all ...*streams) (time.Time, error) {
	for _, ss := range all {
		if err := ss.awaitTokens(ctx, beforeFault); err != nil {
			return time.Time{}, err
		}
	}
	at := time.Now()
	fail()
	for _, ss := range all {
		ss.wg.Wait()
	}
	return at, ctx.Err()
}

// stageRound fails one engine under streams through daemons and streams of the
// baseline.
func (r *recovery) stageRound(ctx context.Context, round int, ours, base *tally, fail func(*standin.Engine)) error {
	replicas := r.cfg.Layout.replicas()
	chain := replicas[round%len(replicas)].chain
	e := r.fleet.site.Engines[chain.Stages[round%len(chain.Stages)].Backend]
	callers := r.fleet.callers(0)
	a := r.start(ctx, StrategyDaemons, func(i int) runner { return reattaching(callers[i%len(callers)]) })
	b := r.start(ctx, StrategyRestart, func(int) runner { return r.base.beginAnew() })
	var there []state.RequestID
	at, err := strike(ctx, func() {
		there = e.Requests()
		fail(e)
	}, a, b)
	if err != nil {
		return err
	}
	met := func(s *stream) bool { return slices.Contains(there, s.request) }
	ours.add(a, at, met)
	base.add(b, at, met)
	if e.Alive() {
		return nil
	}
	return e.Restart()
}

// daemonRound kills the oldest daemon under callers that re-attach and callers
// that send anew, and puts another in its place.
func (r *recovery) daemonRound(ctx context.Context, ours, base *tally) error {
	callers := r.fleet.callers(0)
	a := r.start(ctx, StrategyDaemons, func(i int) runner { return reattaching(callers[i%len(callers)]) })
	b := r.start(ctx, StrategyRestart, r.fleet.sendAnew)
	oldest := r.fleet.site.Live()[0]
	name := oldest.DaemonStatus(ctx).ID
	at, err := strike(ctx, oldest.Kill, a, b)
	if err != nil {
		return err
	}
	met := func(s *stream) bool { return s.tries > 1 }
	ours.add(a, at, met)
	base.add(b, at, met)
	// A replacement keeps the name, and with it the seat in customers' limits.
	_, err = r.fleet.site.AddDaemon(func(set *settings.Settings) {
		r.fleet.change(set)
		set.ID, set.Instance = name, state.InstanceID(name)
	})
	return err
}

// silentRound silences the connections of callers to one daemon. A caller without
// signs of life could only guess when to give up, so that there is no baseline.
func (r *recovery) silentRound(ctx context.Context, round int, ours *tally) error {
	m := &muter{}
	a := r.start(ctx, StrategyDaemons, func(i int) runner { return reattaching(r.fleet.caller(i, m.client())) })
	live := r.fleet.site.Live()
	address := live[round%len(live)].CallerAddress()
	at, err := strike(ctx, func() { m.silence(address) }, a)
	if err != nil {
		return err
	}
	ours.add(a, at, func(s *stream) bool { return s.tries > 1 })
	return nil
}

// storeRound ends an outage of the store under customers that keep sending
// requests that are never to be repeated.
func (r *recovery) storeRound(ctx context.Context, ours *tally) error {
	store := r.fleet.site.Platform
	store.Down(true)
	defer store.Down(false)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	all := make([]*noteTaker, customers)
	var ended noted
	var over sync.WaitGroup
	for i, c := range r.fleet.callers(-1) {
		all[i] = &noteTaker{caller: c, ledger: r.fleet.site.Ledger, name: fmt.Sprintf("note %d", r.sent)}
		r.sent++
		over.Go(func() { all[i].run(asking, &ended) })
	}
	if err := sleepUntil(ctx, time.Now().Add(r.cfg.Outage)); err != nil {
		return err
	}
	at := ended.now()
	store.Down(false)
	over.Wait()
	for _, n := range all {
		ours.Streams++
		ours.RanTwice += n.ranTwice
		if n.first.IsZero() {
			ours.Incomplete++
			continue
		}
		ours.times.add(n.first.Sub(at))
	}
	return ctx.Err()
}

// noted is a moment that one goroutine notes and others ask about.
type noted struct {
	mu sync.Mutex
	at time.Time
}

func (n *noted) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at = time.Now()
	return n.at
}

// before reports whether the moment came before t.
func (n *noted) before(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.at.IsZero() && n.at.Before(t)
}

// noteTaker is a customer that sends requests that are never to be repeated.
type noteTaker struct {
	caller *client.Client
	ledger *standin.Ledger
	name   string

	first    time.Time // the first token after the outage's end
	ranTwice int
}

// run sends one request after another until one gives a token after the outage's
// end.
func (n *noteTaker) run(ctx context.Context, ended *noted) {
	for i := 0; n.first.IsZero() && ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("%s/%d tokens=%d", n.name, i, noteTokens)
		req := client.Request{Class: classNote, Prompt: prompt, MaxTokens: noteTokens}
		_, _ = n.caller.Do(ctx, req, func(caller.TokenEvent) {
			if at := time.Now(); n.first.IsZero() && ended.before(at) {
				n.first = at
			}
		})
		if n.ledger.Runs(prompt) > 1 {
			n.ranTwice++
		}
		_ = sleepUntil(ctx, time.Now().Add(noteInterval))
	}
}
