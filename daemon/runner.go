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
	// eventBacklog is how many events may wait for a request's goroutine
	// before their senders wait too. One step is under way at a time, so that
	// few do.
	eventBacklog = 16

	// releaseDelay is how long the stages keep the KV cache of a whole answer,
	// so that it can be read there should this daemon die before the answer is
	// at its registrars.
	releaseDelay = time.Second
)

// runner drives one request: it owns its state machine, carries out what the
// machine asks for, and feeds the results back.
type runner struct {
	d       *Daemon
	spec    request.Spec
	content string // digest of what makes the work what it is
	m       *request.Request
	trace   *trace.Run
	answer  *answer

	// execution is the request id that backend servers know the work by. It is
	// another's where a claimed attempt of a daemon that is gone is continued.
	execution atomic.Pointer[state.RequestID]
	// granted is the replica of the last slot; nil before the first.
	granted atomic.Pointer[state.Replica]
	// fateUnknown is set while it can't be told whether the backend server that
	// failed the attempt lives.
	fateUnknown atomic.Bool
	// suspect is set while the attempt may end its backend server.
	suspect atomic.Bool
	// followed is set before the end where another request of the same key has
	// the answer.
	followed atomic.Pointer[followed]

	follows int // owners of the key that were gone before this try

	events chan request.Event
	done   chan struct{} // closed when run returns

	// ctx ends with the request, and so do the calls still under way for it.
	ctx    context.Context
	cancel context.CancelFunc

	began      request.AttemptStarted // the attempt that surely runs
	arrived    time.Time
	firstToken time.Time // of the attempt in hand, for the replica's speed
	lastToken  time.Time
	made       int  // tokens of the attempt in hand
	completing bool // the actions under way end with a whole answer
}

func newRunner(d *Daemon, spec request.Spec, a *answer) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		d:       d,
		spec:    spec,
		content: contentOf(spec),
		m:       request.New(spec),
		answer:  a,
		events:  make(chan request.Event, eventBacklog),
		done:    make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
		arrived: time.Now(),
	}
	r.setExecution(spec.ID)
	return r
}

func (r *runner) setExecution(id state.RequestID) {
	r.execution.Store(&id)
}

// post gives the machine an event. It is dropped once the request has ended,
// except that slots are then given back.
func (r *runner) post(ev request.Event) {
	select {
	case r.events <- ev:
	case <-r.done:
		r.afterEnd(ev)
	}
}

// afterEnd returns a slot that was granted to an ended request; nothing else
// needs an answer then.
func (r *runner) afterEnd(ev request.Event) {
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
	for !r.m.Ended() {
		r.arm(timer)
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

// arm sets the timer to the machine's next tick.
func (r *runner) arm(timer *time.Timer) {
	wait := time.Hour
	if at := r.m.NextTick(); !at.IsZero() {
		wait = max(time.Until(at), 0)
	}
	timer.Reset(wait)
}

// finish lets go of everything that is bound to the request. Events that were
// queued behind the last one are handled as late.
func (r *runner) finish() {
	close(r.done)
	r.cancel()
	r.d.requests.ended(r)
	for {
		select {
		case ev := <-r.events:
			r.afterEnd(ev)
		default:
			return
		}
	}
}

func (r *runner) step(ev request.Event) {
	now := time.Now()
	actions := r.m.Step(now, ev)
	r.trace.Step(now, ev, actions)
	r.completing = endsWhole(actions)
	for _, a := range actions {
		r.carryOut(a)
	}
}

// endsWhole reports whether the actions end a request with its whole answer.
func endsWhole(actions []request.Action) bool {
	for _, a := range actions {
		if end, ok := a.(request.End); ok {
			_, whole := end.Outcome.(state.Completed)
			return whole
		}
	}
	return false
}

// carryOut does one action. Those that wait for something do so elsewhere and
// post their result.
func (r *runner) carryOut(a request.Action) {
	switch a := a.(type) {
	case request.RunStep:
		go r.runStep(a)
	case request.QueryStage:
		go r.askHeld(a)
	case request.CancelAttempt:
		go r.d.cancelAttempt(*r.execution.Load(), r.spec.Plain, a.Attempt, a.Replica)
	case request.ReleaseSlot:
		r.release(a)
	case request.ReleaseAttempt:
		r.releaseAttempt(a)
	case request.AttemptStarted:
		r.attemptBegan(a)
	case request.Emit:
		r.emit(a)
	case request.End:
		r.end(a.Outcome)
	default:
		c := r.d.control
		c.post(func() { c.carryOut(r, a) })
	}
}

// carryOut does the actions of a request that concern control state.
func (c *control) carryOut(r *runner, a request.Action) {
	switch a := a.(type) {
	case request.AcquireSlot:
		c.quarantine.ask(r, a)
	case request.CancelSlotRequest:
		c.quarantine.stop(r, a.Attempt)
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
	tokens, busy := r.made, r.lastToken.Sub(r.firstToken)
	r.made = 0
	c := r.d.control
	how := howEnded(a, r.completing, r.fateUnknown.Load())
	c.post(func() {
		c.slots.release(r.spec.ID, a, tokens, busy)
		c.quarantine.ended(r, how)
	})
}

// releaseAttempt lets the stages free the KV cache of a whole answer, once it is
// kept elsewhere.
func (r *runner) releaseAttempt(a request.ReleaseAttempt) {
	id := *r.execution.Load()
	free := func() { r.d.cancelAttempt(id, r.spec.Plain, a.Attempt, a.Replica) }
	c := r.d.control
	c.post(func() {
		c.claims.whenReleased(r, func() { time.AfterFunc(releaseDelay, free) })
	})
}

func (r *runner) attemptBegan(a request.AttemptStarted) {
	r.began = a
	r.answer.setRunning()
	if r.spec.Plain {
		return // its one token comes with it
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
	} else if !r.lastToken.IsZero() {
		m.ObserveClass(telemetry.TokenGapSeconds, r.spec.Service, r.spec.Class, now.Sub(r.lastToken))
	}
	if r.made == 0 {
		r.firstToken = now
	}
	r.made++
	r.lastToken = now
	if r.suspect.Load() {
		c := r.d.control
		c.post(func() { c.quarantine.made(r, a.Index) })
	}
	m.Tokens(1)
	if !r.answer.append(caller.Token{Index: a.Index, Value: a.Value, Text: a.Text}) {
		// A new attempt made another token than the caller already has. The
		// answer can't be whole any more; it is ended rather than mixed.
		r.d.log.Emit(telemetry.EventOrderBroken, telemetry.Request(r.spec.ID), telemetry.Count(a.Index))
		r.answer.end(state.Failed{Reason: state.ReasonBackendFailed, Tokens: a.Index})
		go r.post(request.Cancel{})
	}
}

func (r *runner) end(o state.Outcome) {
	c := r.d.control
	c.post(func() {
		c.retries.ended(r, o)
		c.claims.ended(r)
	})
	if f := r.followed.Load(); f != nil {
		go r.followOn(*f, o)
		return
	}
	r.d.metrics.Ended(r.spec.Service, r.spec.Class, o)
	r.d.logEnd(r.spec, o)
	r.registerEnd(o)
	r.answer.end(o)
}

// registerEnd keeps a whole answer with the request's registrars, for a caller
// whose connection ends with this daemon before it has read everything.
func (r *runner) registerEnd(o state.Outcome) {
	if r.began.Attempt == 0 {
		return
	}
	rec := recordOf(r, r.began)
	rec.Prompt = ""
	tokens, _, _ := r.answer.after(0)
	rec.Answer = &streams.Answer{Tokens: tokens, Outcome: streams.NewOutcome(o)}
	c := r.d.control
	c.post(func() { c.streams.register(rec) })
}
