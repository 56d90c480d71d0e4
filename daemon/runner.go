package daemon

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// eventBacklog is how many events may wait for a request's goroutine before
// their senders wait too. One step is under way at a time, so that few do.
const eventBacklog = 16

// runner drives one request: it owns its state machine, carries out what the
// machine asks for, and feeds the results back.
type runner struct {
	d      *Daemon
	spec   request.Spec
	m      *request.Request
	answer *answer

	events chan request.Event
	done   chan struct{} // closed when run returns

	// ctx ends with the request, and so do the calls still under way for it.
	ctx    context.Context
	cancel context.CancelFunc

	arrived   time.Time
	lastToken time.Time
}

func newRunner(d *Daemon, spec request.Spec) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{
		d:       d,
		spec:    spec,
		m:       request.New(spec),
		answer:  newAnswer(spec.ID),
		events:  make(chan request.Event, eventBacklog),
		done:    make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
		arrived: time.Now(),
	}
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
	if g, ok := ev.(request.SlotGranted); ok {
		r.d.slots.release(r, request.ReleaseSlot{Grant: g.Grant, Replica: g.Replica.ID})
	}
}

// run is the request's goroutine.
func (r *runner) run() {
	defer r.finish()
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
	for _, a := range r.m.Step(time.Now(), ev) {
		r.carryOut(a)
	}
}

// carryOut does one action. Those that wait for something do so elsewhere and
// post their result.
func (r *runner) carryOut(a request.Action) {
	switch a := a.(type) {
	case request.AskSlot:
		r.d.slots.ask(r, a)
	case request.StopAsking:
		r.d.slots.stop(r)
	case request.ReleaseSlot:
		r.d.slots.release(r, a)
	case request.PutClaim:
		r.d.claims.put(r, a)
	case request.AbandonClaim:
		r.d.claims.abandon(r)
	case request.VoidClaim:
		r.d.claims.void(r)
	case request.SettleClaim:
		r.d.claims.settle(r, a.Outcome)
	case request.RunStep:
		go r.runStep(a)
	case request.AskHeld:
		go r.askHeld(a)
	case request.CancelAttempt:
		go r.d.cancelAttempt(r.spec, a.Attempt, a.Replica)
	case request.ReleaseAttempt:
		r.d.releaseAttempt(r, a)
	case request.AskRetry:
		r.d.askRetry(r, a)
	case request.AttemptBegan:
		r.began(a)
	case request.Emit:
		r.emit(a)
	case request.End:
		r.end(a.Outcome)
	}
}

func (r *runner) began(a request.AttemptBegan) {
	r.answer.setRunning()
	r.d.registerAttempt(r, a)
}

func (r *runner) emit(a request.Emit) {
	now := time.Now()
	if a.Index == 0 {
		r.d.metrics.ObserveClass(telemetry.FirstTokenSeconds, r.spec.Service, r.spec.Class, now.Sub(r.arrived))
	} else {
		r.d.metrics.ObserveClass(telemetry.TokenGapSeconds, r.spec.Service, r.spec.Class, now.Sub(r.lastToken))
	}
	r.lastToken = now
	r.d.metrics.Tokens(1)
	r.answer.append(caller.Token{Index: a.Index, Value: a.Value, Text: a.Text})
}

func (r *runner) end(o state.Outcome) {
	r.d.metrics.Ended(r.spec.Service, r.spec.Class, o)
	r.d.logEnd(r.spec, o)
	r.d.registerEnd(r, o)
	r.answer.end(o)
}
