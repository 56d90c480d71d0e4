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

// StrategyRestart is the baseline of recovery: the process that notices the failure
// restarts the request from the first token.
const StrategyRestart = "begin anew"

const (
	roundTimeout      = 2 * time.Minute
	tokensBeforeFault = 5 // tokens that every stream has received by then
	noteTokens        = 2
	noteInterval      = 100 * time.Millisecond // between notes of one customer
)

// recovery is one run of the recovery measurement.
type recovery struct {
	cfg       RecoveryConfig
	cluster   *cluster
	baseline  *twoChoices
	report    func(string)
	sentCount int
}

// tally accumulates the results of one strategy under one fault.
type tally struct {
	FaultResult
	latencies     latencies
	otherOutcomes map[ending]int
	report        func(string)
}

func newTally(fault Fault, strategy string, report func(string)) *tally {
	return &tally{
		FaultResult: FaultResult{Fault: fault, Strategy: strategy},
		latencies:   newLatencies(), otherOutcomes: make(map[ending]int), report: report,
	}
}

func (t *tally) result() FaultResult {
	t.Times = t.latencies.quantiles()
	t.OtherOutcomes = reasonCounts(t.otherOutcomes)
	return t.FaultResult
}

// add adds the streams of a round. affected reports whether the fault affected a
// stream. Streams that were not completed or recovered late are reported one by one, so
// that they can be found in the log.
func (t *tally) add(ss *streams, at time.Time, affected func(*stream) bool) {
	for _, s := range ss.all {
		t.Streams++
		switch {
		case s.outcome != caller.EndCompleted:
			t.Incomplete++
			t.otherOutcomes[s.ending]++
		case !s.complete():
			t.WrongAnswers++
		}
		d, ok := s.timeToNextToken(at)
		if ok && affected(s) {
			t.latencies.add(d)
		}
		if s.outcome != caller.EndCompleted || affected(s) && d > goalStageRecovery {
			t.report(s.describe(at, d))
		}
	}
}

// warmUp sends one request per customer, so that the daemons connect to the engines, and
// waits until all have ended.
func (r *recovery) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	callers := r.cluster.callers(0)
	ss := startStreams(ctx, "warm", customerCount, r.sentCount, noteTokens, func(i int) runner { return reattachingRunner(callers[i]) })
	r.sentCount += customerCount
	ss.wg.Wait()
	return ctx.Err()
}

// measure runs all rounds of one fault.
func (r *recovery) measure(ctx context.Context, fault Fault) ([]FaultResult, error) {
	daemonTally, baselineTally := newTally(fault, StrategyDaemons, r.report), newTally(fault, StrategyRestart, r.report)
	violations := len(r.cluster.site.Ledger.Violations())
	for round := range r.cfg.Rounds {
		if err := r.runRound(ctx, fault, round, daemonTally, baselineTally); err != nil {
			return nil, err
		}
	}
	out := []FaultResult{daemonTally.result()}
	if baselineTally.Streams > 0 {
		out = append(out, baselineTally.result())
	}
	for i := range out {
		out[i].Violations = len(r.cluster.site.Ledger.Violations()) - violations
		r.report(out[i].String())
	}
	return out, nil
}

func (r *recovery) runRound(ctx context.Context, fault Fault, round int, daemonTally, baselineTally *tally) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var err error
	switch fault {
	case FaultStageDies:
		err = r.stageRound(ctx, round, daemonTally, baselineTally, (*standin.Engine).Kill)
	case FaultStageUnresponsive:
		err = r.stageRound(ctx, round, daemonTally, baselineTally, (*standin.Engine).BlackholeConnections)
	case FaultDaemonDies:
		err = r.daemonRound(ctx, daemonTally, baselineTally)
	case FaultCallerUnresponsive:
		err = r.callerConnectionRound(ctx, round, daemonTally)
	default:
		err = r.storeRound(ctx, daemonTally)
	}
	if err != nil {
		return err
	}
	return r.cluster.awaitServing(ctx)
}

// startRoundStreams starts the streams of one strategy of recovery (StrategyDaemons or
// StrategyRestart) in a round. Their requests are numbered on from those sent before.
func (r *recovery) startRoundStreams(ctx context.Context, strategy string, run func(i int) runner) *streams {
	ss := startStreams(ctx, strategy, r.cfg.Streams, r.sentCount, r.cfg.Tokens, run)
	r.sentCount += r.cfg.Streams
	return ss
}

// injectFault waits until every stream has tokensBeforeFault tokens, calls inject and
// waits until the streams have ended. It returns the time of the fault.
func injectFault(ctx context.Context, inject func(), streamSets ...*streams) (time.Time, error) {
	for _, ss := range streamSets {
		if err := ss.awaitTokens(ctx, tokensBeforeFault); err != nil {
			return time.Time{}, err
		}
	}
	at := time.Now()
	inject()
	for _, ss := range streamSets {
		ss.wg.Wait()
	}
	return at, ctx.Err()
}

// stageRound fails one engine during streams through daemons and streams of the
// baseline.
func (r *recovery) stageRound(ctx context.Context, round int, daemonTally, baselineTally *tally, fail func(*standin.Engine)) error {
	replicas := r.cfg.Layout.replicas()
	chain := replicas[round%len(replicas)].chain
	e := r.cluster.site.Engines[chain.Stages[round%len(chain.Stages)].Backend]
	callers := r.cluster.callers(0)
	a := r.startRoundStreams(ctx, StrategyDaemons, func(i int) runner { return reattachingRunner(callers[i%len(callers)]) })
	b := r.startRoundStreams(ctx, StrategyRestart, func(int) runner { return r.baseline.restartRunner() })
	var affectedIDs []state.RequestID
	at, err := injectFault(ctx, func() {
		affectedIDs = e.Requests()
		fail(e)
	}, a, b)
	if err != nil {
		return err
	}
	affected := func(s *stream) bool { return slices.Contains(affectedIDs, s.request) }
	daemonTally.add(a, at, affected)
	baselineTally.add(b, at, affected)
	if e.Alive() {
		return nil
	}
	return e.Restart()
}

// daemonRound kills the oldest daemon during streams of callers that re-attach and of
// callers that resubmit, and starts a replacement.
func (r *recovery) daemonRound(ctx context.Context, daemonTally, baselineTally *tally) error {
	callers := r.cluster.callers(0)
	a := r.startRoundStreams(ctx, StrategyDaemons, func(i int) runner { return reattachingRunner(callers[i%len(callers)]) })
	b := r.startRoundStreams(ctx, StrategyRestart, r.cluster.resubmitRunner)
	oldest := r.cluster.site.Live()[0]
	name := oldest.DaemonStatus(ctx).ID
	at, err := injectFault(ctx, oldest.Kill, a, b)
	if err != nil {
		return err
	}
	affected := func(s *stream) bool { return s.tries > 1 }
	daemonTally.add(a, at, affected)
	baselineTally.add(b, at, affected)
	// The replacement keeps the name, and with it the seat in customers' limits.
	_, err = r.cluster.site.AddDaemon(func(set *settings.Settings) {
		r.cluster.adjust(set)
		set.ID, set.Instance = name, state.InstanceID(name)
	})
	return err
}

// callerConnectionRound makes the callers' connections to one daemon unresponsive. There
// is no baseline: a caller that gets no keep-alives could not detect the failure.
func (r *recovery) callerConnectionRound(ctx context.Context, round int, daemonTally *tally) error {
	dialer := &blackholeDialer{}
	a := r.startRoundStreams(ctx, StrategyDaemons, func(i int) runner { return reattachingRunner(r.cluster.caller(i, dialer.client())) })
	live := r.cluster.site.Live()
	address := live[round%len(live)].CallerAddress()
	at, err := injectFault(ctx, func() { dialer.blackhole(address) }, a)
	if err != nil {
		return err
	}
	daemonTally.add(a, at, func(s *stream) bool { return s.tries > 1 })
	return nil
}

// storeRound ends an outage of the store while customers keep sending requests that
// must not be repeated.
func (r *recovery) storeRound(ctx context.Context, daemonTally *tally) error {
	store := r.cluster.site.Platform
	store.Down(true)
	defer store.Down(false)
	running, stop := context.WithCancel(ctx)
	defer stop()
	all := make([]*noteCaller, customerCount)
	var ended recordedTime
	var over sync.WaitGroup
	for i, c := range r.cluster.callers(-1) {
		all[i] = &noteCaller{caller: c, ledger: r.cluster.site.Ledger, name: fmt.Sprintf("note %d", r.sentCount)}
		r.sentCount++
		over.Go(func() { all[i].run(running, &ended) })
	}
	if err := sleepUntil(ctx, time.Now().Add(r.cfg.Outage)); err != nil {
		return err
	}
	at := ended.record()
	store.Down(false)
	over.Wait()
	for _, n := range all {
		daemonTally.Streams++
		daemonTally.RanTwice += n.ranTwice
		if n.first.IsZero() {
			daemonTally.Incomplete++
			continue
		}
		daemonTally.latencies.add(n.first.Sub(at))
	}
	return ctx.Err()
}

// recordedTime is a time that one goroutine records and others read.
type recordedTime struct {
	mu sync.Mutex
	at time.Time
}

func (n *recordedTime) record() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at = time.Now()
	return n.at
}

// before reports whether the time has been recorded and is before t.
func (n *recordedTime) before(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.at.IsZero() && n.at.Before(t)
}

// noteCaller is a customer that sends requests that must not be repeated.
type noteCaller struct {
	caller *client.Client
	ledger *standin.Ledger
	name   string

	first    time.Time // time of the first token after the end of the outage
	ranTwice int
}

// run sends one request after another until a token arrives after the end of the
// outage.
func (n *noteCaller) run(ctx context.Context, ended *recordedTime) {
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
