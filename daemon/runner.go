package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

const (
	// eventBacklog is how many events may wait for a request's goroutine before
	// their senders block. A request has one step in flight at a time, so the
	// queue stays short.
	eventBacklog = 16

	// releaseDelay is how long the stages keep the KV cache of a complete
	// answer. The answer can be read there if this daemon dies before it has
	// reached the registrars.
	releaseDelay = time.Second
)

// runner drives one request: it owns the request's state machine, carries out
// its actions, and feeds the results back.
type runner struct {
	d             *Daemon
	spec          request.Spec
	contentDigest string // identifies the work; see digestContent
	machine       *request.Request
	trace         *trace.Run
	answer        *answer

	// executionID is the request ID under which backend servers know the work.
	// It is another request's if a claimed attempt of a daemon that is gone is
	// continued.
	executionID atomic.Pointer[state.RequestID]
	// grantedReplica is the replica of the last slot; nil before the first.
	grantedReplica atomic.Pointer[state.Replica]
	// backendStateUnknown is set while it can't be determined whether the
	// backend server that failed the attempt is alive.
	backendStateUnknown atomic.Bool
	// suspect is set while the attempt is suspected of crashing its backend
	// server.
	suspect atomic.Bool
	// probe is the attempt that its home waits for to prove the replica, or nil.
	probe atomic.Pointer[state.Attempt]
	// joined is set before the end if another request of the same key has the
	// answer.
	joined atomic.Pointer[joinedRequest]

	joinAttempts int // owners of the key that were gone before this attempt

	events chan request.Event
	done   chan struct{} // closed when run returns

	// ctx is canceled when the request ends, which cancels its calls in flight.
	ctx    context.Context
	cancel context.CancelFunc

	startedAttempt request.AttemptStarted // the attempt that is known to run
	arrived        time.Time
	firstTokenAt   time.Time // of the current attempt, for the replica's speed
	lastTokenAt    time.Time
	tokenCount     int  // tokens of the current attempt
	completing     bool // the current actions end the request with a complete answer
}

func newRunner(d *Daemon, spec request.Spec, a *answer) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		d:             d,
		spec:          spec,
		contentDigest: digestContent(spec),
		machine:       request.New(spec),
		answer:        a,
		events:        make(chan request.Event, eventBacklog),
		done:          make(chan struct{}),
		ctx:           ctx,
		cancel:        cancel,
		arrived:       time.Now(),
	}
	r.setExecutionID(spec.ID)
	return r
}

func (r *runner) setExecutionID(id state.RequestID) {
	r.executionID.Store(&id)
}

// post passes an event to the state machine. Events after the request's end are
// dropped, but slots that they grant are returned.
func (r *runner) post(ev request.Event) {
	select {
	case r.events <- ev:
	case <-r.done:
		r.handleLateEvent(ev)
	}
}

// handleLateEvent returns a slot that was granted to an ended request. No other
// event needs an answer then.
func (r *runner) handleLateEvent(ev request.Event) {
	switch g := ev.(type) {
	case request.SlotGranted:
		r.release(request.ReleaseSlot{Grant: g.Grant, Replica: g.Replica.ID, Unused: true})
	case request.SlotUnusable:
		r.release(request.ReleaseSlot{Grant: g.Grant, Replica: g.Replica, Unused: g.UnknownReplica, Failed: !g.UnknownReplica})
	}
}

// run is the request's goroutine.
func (r *runner) run() {
	defer r.finish()
	r.trace = r.d.recorder.Begin(r.spec)
	r.step(request.Start{})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !r.machine.Ended() {
		r.resetTimer(timer)
		select {
		case ev := <-r.events:
			r.step(ev)
		case <-timer.C:
			r.step(request.Tick{})
		case <-r.d.kill:
			return
		}
	}
}

// resetTimer sets the timer to the state machine's next tick.
func (r *runner) resetTimer(timer *time.Timer) {
	wait := time.Hour
	if at := r.machine.NextTick(); !at.IsZero() {
		wait = max(time.Until(at), 0)
	}
	timer.Reset(wait)
}

// finish releases everything that belongs to the request. Events that were
// queued behind the last one are handled as late.
func (r *runner) finish() {
	close(r.done)
	r.cancel()
	r.d.requests.ended(r)
	for {
		select {
		case ev := <-r.events:
			r.handleLateEvent(ev)
		default:
			return
		}
	}
}

func (r *runner) step(ev request.Event) {
	now := time.Now()
	actions := r.machine.Step(now, ev)
	r.trace.Step(now, ev, actions)
	r.completing = completesAnswer(actions)
	for _, a := range actions {
		r.carryOut(a)
	}
}

// completesAnswer reports whether the actions end a request with a complete
// answer.
func completesAnswer(actions []request.Action) bool {
	for _, a := range actions {
		if end, ok := a.(request.End); ok {
			_, complete := end.Outcome.(state.Completed)
			return complete
		}
	}
	return false
}

// carryOut performs one action. Actions that block run in another goroutine and
// post their result.
func (r *runner) carryOut(a request.Action) {
	switch a := a.(type) {
	case request.RunStep:
		go r.runStep(a)
	case request.QueryStage:
		go r.queryStage(a)
	case request.CancelAttempt:
		go r.d.cancelAttempt(*r.executionID.Load(), r.spec.Plain, a.Attempt, a.Replica)
	case request.ReleaseSlot:
		r.release(a)
	case request.ReleaseAttempt:
		r.releaseAttempt(a)
	case request.AttemptStarted:
		r.attemptStarted(a)
	case request.Emit:
		r.emit(a)
	case request.End:
		r.end(a.Outcome)
	default:
		c := r.d.control
		c.post(func() { c.carryOut(r, a) })
	}
}

// carryOut performs the actions of a request that concern control state. A slot is
// requested once the quarantine permits the run. AbandonClaim cancels a PutClaim,
// VoidClaim releases the claim of a request that was not dispatched, and SettleClaim
// records how a claimed request ended.
func (c *control) carryOut(r *runner, a request.Action) {
	switch a := a.(type) {
	case request.AcquireSlot:
		c.quarantine.requestRun(r, a)
	case request.CancelSlotRequest:
		c.quarantine.cancel(r, a.Attempt)
	case request.PutClaim:
		c.claims.put(r, a)
	case request.AbandonClaim:
		c.claims.abandon(r)
	case request.VoidClaim:
		c.claims.void(r, a.Proof)
	case request.SettleClaim:
		c.claims.settle(r, a.Outcome)
	case request.DecideRetry:
		c.retries.decide(r, a)
	}
}

func (r *runner) release(a request.ReleaseSlot) {
	tokens, busy := r.tokenCount, r.lastTokenAt.Sub(r.firstTokenAt)
	r.tokenCount = 0
	c := r.d.control
	result := runResult(a, r.completing, r.backendStateUnknown.Load())
	c.post(func() {
		c.slots.release(r.spec.ID, a, tokens, busy)
		c.quarantine.runEnded(r, result)
	})
}

// releaseAttempt lets the stages free the KV cache of a complete answer, once
// its outcome is stored.
func (r *runner) releaseAttempt(a request.ReleaseAttempt) {
	id := *r.executionID.Load()
	free := func() { r.d.cancelAttempt(id, r.spec.Plain, a.Attempt, a.Replica) }
	c := r.d.control
	c.post(func() {
		c.claims.afterRelease(r, func() { time.AfterFunc(releaseDelay, free) })
	})
}

func (r *runner) attemptStarted(a request.AttemptStarted) {
	r.startedAttempt = a
	r.answer.setRunning()
	if r.spec.Plain {
		return // its one token arrives with it
	}
	rec := recordOf(r, a)
	c := r.d.control
	c.post(func() { c.streams.register(rec) })
}

func (r *runner) emit(a request.Emit) {
	now := time.Now()
	m := r.d.metrics
	if a.Index == 0 {
		m.ObserveClass(telemetry.FirstTokenSeconds, r.spec.Service, r.spec.Class, now.Sub(r.arrived))
	} else if !r.lastTokenAt.IsZero() {
		m.ObserveClass(telemetry.TokenGapSeconds, r.spec.Service, r.spec.Class, now.Sub(r.lastTokenAt))
	}
	if r.tokenCount == 0 {
		r.firstTokenAt = now
	}
	r.tokenCount++
	r.lastTokenAt = now
	c := r.d.control
	switch probe := r.probe.Load(); {
	case r.suspect.Load():
		c.post(func() { c.quarantine.tokenEmitted(r, a.Index) })
	case probe != nil && r.probe.CompareAndSwap(probe, nil):
		c.post(func() { c.slots.exclusiveEnded(r, *probe) })
	}
	m.Tokens(1)
	if !r.answer.append(caller.Token{Index: a.Index, Value: a.Value, Text: a.Text}) {
		// A new attempt produced another token than the one already delivered.
		// The answer is failed, since it would mix two executions.
		r.d.log.Emit(telemetry.EventOrderBroken, telemetry.Request(r.spec.ID), telemetry.Count(a.Index))
		r.answer.end(state.Failed{Reason: state.ReasonBackendFailed, Tokens: a.Index})
		go r.post(request.Cancel{})
	}
}

func (r *runner) end(o state.Outcome) {
	c := r.d.control
	c.post(func() {
		c.retries.requestEnded(r, o)
		c.claims.detachRequest(r)
	})
	if first := r.joined.Load(); first != nil {
		go r.deliverJoined(*first, o)
		return
	}
	r.d.metrics.Ended(r.spec.Service, r.spec.Class, o)
	r.d.logOutcome(r.spec, o)
	r.registerAnswer(o)
	r.answer.end(o)
}

// registerAnswer stores the ended answer at the request's registrars, for a
// caller that loses its connection when this daemon stops before the caller has
// read everything.
func (r *runner) registerAnswer(o state.Outcome) {
	if r.startedAttempt.Attempt == 0 {
		return
	}
	rec := recordOf(r, r.startedAttempt)
	rec.Prompt = ""
	tokens, _, _ := r.answer.after(0)
	rec.Answer = &streams.Answer{Tokens: tokens, Outcome: streams.NewOutcome(o)}
	c := r.d.control
	c.post(func() { c.streams.register(rec) })
}
