package scenario

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// run is one request's machine at one daemon.
type run struct {
	n       *node
	spec    request.Spec
	m       *request.Request
	callers []*caller
	tokens  []int64
	outcome state.Outcome
	follows *run // whose answer the callers get instead

	// execution is the request id that engines know the work by.
	execution state.RequestID
	drove     map[work]bool
	began     request.AttemptStarted // what other daemons know of it
}

func (n *node) start(spec request.Spec, c *caller) {
	r := &run{n: n, spec: spec, m: request.New(spec), execution: spec.ID, drove: make(map[work]bool)}
	n.runs = append(n.runs, r)
	c.watch(r)
	r.feed(request.Start{})
}

func (r *run) name() string { return string(r.spec.ID) }

func (r *run) say(format string, args ...any) {
	r.n.w.say(r.n.name+" "+r.name()+" "+format, args...)
}

// feed gives the machine an event and carries out what it asks for.
func (r *run) feed(ev request.Event) {
	r.heard(ev)
	for _, a := range slices.Clone(r.m.Step(r.n.w.now, ev)) {
		r.carryOut(a)
	}
}

// later feeds an event after d, if the daemon lives then.
func (r *run) later(d time.Duration, ev request.Event) {
	r.n.w.after(d, func() { r.n.do(func() { r.feed(ev) }) })
}

// heard prints the events that a reader of a story wants to know.
func (r *run) heard(ev request.Event) {
	switch ev := ev.(type) {
	case request.StepUnanswered:
		how := "no answer"
		if ev.NotSent {
			how = "not reached"
		}
		if ev.Silent {
			how = "silent connection"
		}
		r.say("token %d: %s", ev.Step.Token, how)
	case request.StepNotRun:
		r.say("token %d: proof that it did not run", ev.Step.Token)
	case request.StepFailed:
		r.say("token %d: the stage failed", ev.Step.Token)
	case request.SlotGranted:
		r.say("has a slot at %s", ev.Replica.ID)
	case request.SlotUnusable:
		r.say("has a slot at %s, which does not answer", ev.Replica)
	case request.ClaimSettled:
		r.say("claim: %s", claimWords[ev.Result])
	case request.VoidSettled:
		if ev.Voided {
			r.say("claim: voided")
		} else {
			r.say("claim: could not be voided")
		}
	}
}

var claimWords = map[request.ClaimResult]string{
	request.ClaimWon:           "won",
	request.ClaimTakenOver:     "taken over, the attempt in it goes on",
	request.ClaimRefused:       "not in force",
	request.ClaimHeldElsewhere: "held or ended elsewhere",
}

func (r *run) carryOut(a request.Action) {
	switch a := a.(type) {
	case request.AcquireSlot, request.CancelSlotRequest, request.ReleaseSlot:
		r.slot(a)
	case request.RunStep:
		r.send(a)
	case request.QueryStage:
		r.ask(a)
	case request.CancelAttempt:
		r.cancel(a.Attempt, a.Replica)
	case request.DecideRetry:
		r.retry(a)
	case request.AttemptStarted:
		r.began = a
	case request.Emit:
		r.emit(a)
	case request.End:
		r.end(a.Outcome)
	case request.PutClaim:
		r.n.putClaim(r, a)
	case request.AbandonClaim:
		r.n.abandonClaim(r)
	case request.VoidClaim:
		r.n.voidClaim(r, a.Proof)
	case request.SettleClaim:
		r.n.settleClaim(r, a.Outcome)
	case request.ReleaseAttempt:
		// The engines' memory is not modelled.
	}
}

// slot carries out what concerns slots, by way of the quarantine if there is one.
func (r *run) slot(a request.Action) {
	w, q := r.n.w, r.n.quarantine
	switch a := a.(type) {
	case request.AcquireSlot:
		if q != nil {
			q.ask(r, a)
			return
		}
		w.pool.ask(r, a, false)
	case request.CancelSlotRequest:
		if q != nil {
			q.stop(r)
		}
		w.pool.stop(r, a.Attempt)
	case request.ReleaseSlot:
		if q != nil {
			q.looked(r)
			q.released(r, a)
		}
		w.pool.release(r, a)
	}
}

// send lets a step travel to its stage, with the mishap that waits there.
func (r *run) send(a request.RunStep) {
	w := r.n.w
	e := w.engine(a.Stage.Address)
	k := work{request: r.execution, attempt: a.Step.Attempt}
	r.drove[k] = true
	if e.dead {
		r.later(hop, request.StepUnanswered{Step: a.Step, NotSent: true})
		return
	}
	what := e.next
	e.next = mishapNone
	switch what {
	case mishapSilent:
		r.later(progressWait, request.StepUnanswered{Step: a.Step, Silent: true})
	case mishapLate:
		w.after(2*progressWait, func() { r.arriveLate(e, a) })
		r.later(progressWait, request.StepUnanswered{Step: a.Step, Silent: true})
	case mishapLoseAnswer:
		w.after(hop+w.stepTime, func() { e.run(r.execution, a, r.spec.MaxTokens) })
		r.later(progressWait, request.StepUnanswered{Step: a.Step})
	case mishapNone:
		r.exchange(e, a)
	}
}

// exchange is a step without a mishap, unless the engine dies meanwhile.
func (r *run) exchange(e *engine, a request.RunStep) {
	w := r.n.w
	life := e.life
	w.after(hop+w.stepTime, func() {
		if crashes(r.spec.Prompt) && e.life == life {
			w.books.began(w, work{request: r.execution, attempt: a.Step.Attempt})
			e.crash()
		}
		if e.life != life {
			r.later(hop, request.StepUnanswered{Step: a.Step})
			return
		}
		r.later(hop, e.run(r.execution, a, r.spec.MaxTokens))
	})
}

// arriveLate is a step that nobody waits for any more.
func (r *run) arriveLate(e *engine, a request.RunStep) {
	if e.dead {
		return
	}
	r.n.w.say("a step of %s arrives late at %s", r.name(), e.name)
	e.run(r.execution, a, r.spec.MaxTokens)
}

func (r *run) ask(a request.QueryStage) {
	w := r.n.w
	e := w.engine(a.Stage.Address)
	r.say("asks %s what it holds", e.name)
	r.drove[work{request: r.execution, attempt: a.Step.Attempt}] = true
	w.after(hop, func() {
		if e.dead {
			r.later(hop, request.StageQueryFailed{Step: a.Step, NotSent: true})
			return
		}
		r.later(hop, e.held(r.execution, a.Step, r.spec.MaxTokens))
	})
}

func (r *run) cancel(attempt state.Attempt, replica state.Replica) {
	k := work{request: r.execution, attempt: attempt}
	for _, s := range replica.Stages {
		if e := r.n.w.engine(s.Address); !e.dead {
			r.n.w.after(hop, func() { e.cancel(k) })
		}
	}
}

// policy is the retry part of the service's document.
var policy = service.Retry{MaxAttempts: 4, BudgetRatio: 0.5}

func (r *run) retry(a request.DecideRetry) {
	r.say("gives %s up: %s", a.Replica, a.Reason)
	decision := r.n.retries.Decide(r.n.w.now, retry.Failure{
		Service: r.spec.Service, Customer: r.spec.Customer, Policy: policy, Cause: a.Reason, Attempts: len(a.Tried) + 1,
		Execution: a.Execution, Repeatable: !r.spec.NeverRepeat, Tried: a.Tried, Replica: a.Replica,
	})
	switch d := decision.(type) {
	case retry.Allow:
		r.later(0, request.RetryDecided{Allowed: true, At: r.n.w.now.Add(d.After), Exclude: d.Exclude})
	case retry.Deny:
		r.later(0, request.RetryDecided{Reason: d.Denial.Reason()})
	}
}

func (r *run) emit(a request.Emit) {
	r.tokens = append(r.tokens, a.Value)
	for _, c := range r.callers {
		c.token(a.Index, a.Value)
	}
}

func (r *run) end(o state.Outcome) {
	r.outcome = o
	if _, refused := o.(state.Refused); refused {
		r.n.w.books.refuse(r.n.w, r)
	}
	r.n.claimEnded(r)
	if r.follows != nil {
		for _, c := range r.callers {
			c.watch(r.follows)
		}
		r.callers = nil
		return
	}
	if _, ok := o.(state.Completed); ok {
		r.n.retries.Succeeded(r.n.w.now, r.spec.Service, r.spec.Customer)
	}
	for _, c := range r.callers {
		c.ended(o)
	}
}
