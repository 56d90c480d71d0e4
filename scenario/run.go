package scenario

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// run is the state machine of one request at one daemon.
type run struct {
	node    *node
	spec    request.Spec
	m       *request.Request
	callers []*caller
	tokens  []int64
	outcome state.Outcome
	joined  *run // run whose answer the callers get instead

	// execution is the request ID under which the engines know the attempts.
	execution   state.RequestID
	attempts    map[attemptKey]bool
	lastStarted request.AttemptStarted // the attempt that another daemon can take over
}

func (n *node) start(spec request.Spec, c *caller) {
	r := &run{node: n, spec: spec, m: request.New(spec), execution: spec.ID, attempts: make(map[attemptKey]bool)}
	n.runs = append(n.runs, r)
	c.readFrom(r)
	r.feed(request.Start{})
}

func (r *run) name() string { return string(r.spec.ID) }

func (r *run) printf(format string, args ...any) {
	r.node.sim.printf(r.node.name+" "+r.name()+" "+format, args...)
}

// feed passes an event to the state machine and executes the resulting actions.
func (r *run) feed(ev request.Event) {
	r.printEvent(ev)
	for _, a := range slices.Clone(r.m.Step(r.node.sim.now, ev)) {
		r.execute(a)
	}
}

// feedAfter feeds an event after d, unless the daemon is dead by then.
func (r *run) feedAfter(d time.Duration, ev request.Event) {
	r.node.sim.after(d, func() { r.node.deliver(func() { r.feed(ev) }) })
}

// printEvent prints the events that explain the course of a scenario.
func (r *run) printEvent(ev request.Event) {
	switch ev := ev.(type) {
	case request.StepUnanswered:
		reason := "no answer"
		if ev.NotSent {
			reason = "not reached"
		}
		if ev.Silent {
			reason = "unresponsive connection"
		}
		r.printf("token %d: %s", ev.Step.Token, reason)
	case request.StepNotRun:
		r.printf("token %d: proof that it did not run", ev.Step.Token)
	case request.StepFailed:
		r.printf("token %d: the stage failed", ev.Step.Token)
	case request.SlotGranted:
		r.printf("has a slot at %s", ev.Replica.ID)
	case request.SlotUnusable:
		r.printf("has a slot at %s, which does not answer", ev.Replica)
	case request.ClaimSettled:
		r.printf("claim: %s", claimTexts[ev.Result])
	case request.VoidSettled:
		if ev.Voided {
			r.printf("claim: voided")
		} else {
			r.printf("claim: could not be voided")
		}
	}
}

var claimTexts = map[request.ClaimResult]string{
	request.ClaimWon:           "won",
	request.ClaimTakenOver:     "taken over, its attempt continues",
	request.ClaimRefused:       "not active",
	request.ClaimHeldElsewhere: "held or ended elsewhere",
}

func (r *run) execute(a request.Action) {
	switch a := a.(type) {
	case request.AcquireSlot, request.CancelSlotRequest, request.ReleaseSlot:
		r.executeSlotAction(a)
	case request.RunStep:
		r.sendStep(a)
	case request.QueryStage:
		r.queryStage(a)
	case request.CancelAttempt:
		r.cancelAttempt(a.Attempt, a.Replica)
	case request.DecideRetry:
		r.requestRetry(a)
	case request.AttemptStarted:
		r.lastStarted = a
	case request.Emit:
		r.emit(a)
	case request.End:
		r.end(a.Outcome)
	case request.PutClaim:
		r.node.putClaim(r, a)
	case request.AbandonClaim:
		r.node.abandonClaim(r)
	case request.VoidClaim:
		r.node.voidClaim(r, a.Proof)
	case request.SettleClaim:
		r.node.settleClaim(r, a.Outcome)
	case request.ReleaseAttempt:
		// The engines' memory is not modeled.
	}
}

// executeSlotAction executes an action on slots, through the quarantine if there is one.
func (r *run) executeSlotAction(a request.Action) {
	sim, q := r.node.sim, r.node.quarantine
	switch a := a.(type) {
	case request.AcquireSlot:
		if q != nil {
			q.requestSlot(r, a)
			return
		}
		sim.pool.requestSlot(r, a, false)
	case request.CancelSlotRequest:
		if q != nil {
			q.cancel(r)
		}
		sim.pool.cancel(r, a.Attempt)
	case request.ReleaseSlot:
		if q != nil {
			q.reportDeaths(r)
			q.runEnded(r, a)
		}
		sim.pool.release(r, a)
	}
}

// sendStep sends a step to its stage, subject to the fault that is set there.
func (r *run) sendStep(a request.RunStep) {
	sim := r.node.sim
	e := sim.engine(a.Stage.Address)
	k := attemptKey{request: r.execution, attempt: a.Step.Attempt}
	r.attempts[k] = true
	if e.dead {
		r.feedAfter(hopDelay, request.StepUnanswered{Step: a.Step, NotSent: true})
		return
	}
	fault := e.nextFault
	e.nextFault = faultNone
	switch fault {
	case faultUnresponsive:
		r.feedAfter(progressTimeout, request.StepUnanswered{Step: a.Step, Silent: true})
	case faultLate:
		sim.after(2*progressTimeout, func() { r.deliverLate(e, a) })
		r.feedAfter(progressTimeout, request.StepUnanswered{Step: a.Step, Silent: true})
	case faultAnswerLost:
		sim.after(hopDelay+sim.stepTime, func() { e.runStep(r.execution, a, r.spec.MaxTokens) })
		r.feedAfter(progressTimeout, request.StepUnanswered{Step: a.Step})
	case faultNone:
		r.deliverStep(e, a)
	}
}

// deliverStep delivers a step without a fault, unless the engine dies before it runs.
func (r *run) deliverStep(e *engine, a request.RunStep) {
	sim := r.node.sim
	incarnation := e.incarnation
	sim.after(hopDelay+sim.stepTime, func() {
		if crashesEngine(r.spec.Prompt) && e.incarnation == incarnation {
			sim.ledger.recordStart(sim, attemptKey{request: r.execution, attempt: a.Step.Attempt})
			e.crash()
		}
		if e.incarnation != incarnation {
			r.feedAfter(hopDelay, request.StepUnanswered{Step: a.Step})
			return
		}
		r.feedAfter(hopDelay, e.runStep(r.execution, a, r.spec.MaxTokens))
	})
}

// deliverLate delivers a step that the daemon has already timed out.
func (r *run) deliverLate(e *engine, a request.RunStep) {
	if e.dead {
		return
	}
	r.node.sim.printf("a step of %s arrives late at %s", r.name(), e.name)
	e.runStep(r.execution, a, r.spec.MaxTokens)
}

func (r *run) queryStage(a request.QueryStage) {
	sim := r.node.sim
	e := sim.engine(a.Stage.Address)
	r.printf("queries the state of its attempt at %s", e.name)
	r.attempts[attemptKey{request: r.execution, attempt: a.Step.Attempt}] = true
	sim.after(hopDelay, func() {
		if e.dead {
			r.feedAfter(hopDelay, request.StageQueryFailed{Step: a.Step, NotSent: true})
			return
		}
		r.feedAfter(hopDelay, e.queryState(r.execution, a.Step, r.spec.MaxTokens))
	})
}

func (r *run) cancelAttempt(attempt state.Attempt, replica state.Replica) {
	k := attemptKey{request: r.execution, attempt: attempt}
	for _, s := range replica.Stages {
		if e := r.node.sim.engine(s.Address); !e.dead {
			r.node.sim.after(hopDelay, func() { e.cancel(k) })
		}
	}
}

// retryPolicy is the retry policy of the service document.
var retryPolicy = service.Retry{MaxAttempts: 4, BudgetRatio: 0.5}

func (r *run) requestRetry(a request.DecideRetry) {
	r.printf("abandons its attempt at %s: %s", a.Replica, a.Reason)
	decision := r.node.retries.Decide(r.node.sim.now, retry.Failure{
		Service: r.spec.Service, Customer: r.spec.Customer, Policy: retryPolicy, Cause: a.Reason, Attempts: len(a.Tried) + 1,
		Execution: a.Execution, Repeatable: !r.spec.NeverRepeat, Tried: a.Tried, Replica: a.Replica,
	})
	switch d := decision.(type) {
	case retry.Allow:
		r.feedAfter(0, request.RetryDecided{Allowed: true, At: r.node.sim.now.Add(d.After), Exclude: d.Exclude})
	case retry.Deny:
		r.feedAfter(0, request.RetryDecided{Reason: d.Denial.Reason()})
	}
}

func (r *run) emit(a request.Emit) {
	r.tokens = append(r.tokens, a.Value)
	for _, c := range r.callers {
		c.onToken(a.Index, a.Value)
	}
}

func (r *run) end(o state.Outcome) {
	r.outcome = o
	if _, refused := o.(state.Refused); refused {
		r.node.sim.ledger.recordRefusal(r.node.sim, r)
	}
	r.node.detachClaim(r)
	if r.joined != nil {
		for _, c := range r.callers {
			c.readFrom(r.joined)
		}
		r.callers = nil
		return
	}
	if _, ok := o.(state.Completed); ok {
		r.node.retries.Succeeded(r.node.sim.now, r.spec.Service, r.spec.Customer)
	}
	for _, c := range r.callers {
		c.onEnd(o)
	}
}
