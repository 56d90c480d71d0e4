package request

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxAsks bounds how often one step is asked about and sent again on one stage,
// so that a link that swallows every step but lets questions through can't hold
// a request for ever.
const maxAsks = 3

// stepNotRun takes a stage's proof that the step did not run and won't.
func (r *Request) stepNotRun(ev StepNotRun) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	if ev.Superseded {
		r.overtaken()
		return
	}
	r.lost(r.unstartedOr(state.RetryStageUnknown))
}

// unstartedOr clears the attempt from the record if the step under way, now
// proved not run, was its first; else it returns reason.
func (r *Request) unstartedOr(reason state.RetryReason) state.RetryReason {
	if r.fresh && r.stage == 0 {
		r.sent.Unstarted(r.attempt)
		return state.RetryUnstarted
	}
	return reason
}

func (r *Request) stepFailed(ev StepFailed) {
	if r.current(ev.Step, phaseRunning) {
		r.lost(state.RetryStageFailed)
	}
}

// stepUnanswered handles a step that may or may not have run. It is not sent
// again: the stage is asked first, under a higher epoch, which bars the lost
// step should it still be on its way.
func (r *Request) stepUnanswered(ev StepUnanswered) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	switch {
	case ev.NotSent:
		r.lost(r.unstartedOr(state.RetryStageFailed))
	case r.spec.Plain && !ev.Silent:
		// A plain service can't be asked what became of a call.
		r.lost(state.RetryStageFailed)
	case r.spec.Plain || r.asks >= maxAsks:
		r.lost(state.RetrySilentConnection)
	default:
		r.asks++
		r.epoch = r.epoch.Next(r.spec.Owner)
		r.phase = phaseAsking
		r.do(QueryStage{Step: r.ref(), Stage: r.replica.Stages[r.stage]})
	}
}

func (r *Request) heldAnswer(ev StageState) {
	if r.phase == phaseAdopting {
		r.adoptAnswer(ev)
		return
	}
	if !r.current(ev.Step, phaseAsking) {
		return
	}
	r.resolve(ev)
}

// resolve goes on from what the asked stage holds.
func (r *Request) resolve(h StageState) {
	last := r.stage == len(r.replica.Stages)-1
	switch {
	case h.Canceled, h.Life != r.replica.Stages[r.stage].Life:
		// A process that restarted knows nothing of what it ran before: that
		// it does not know the step proves nothing.
		r.lost(state.RetryStageUnknown)
	case !h.Known && r.fresh:
		// The stage never saw the attempt, and the lost step is barred.
		r.again()
	case !h.Known:
		r.lost(state.RetryStageUnknown)
	case h.NextToken == r.token:
		r.again()
	case h.NextToken == r.token+1 && last && len(h.Tokens) > 0:
		r.advance(nil, h.Tokens[len(h.Tokens)-1], "", h.Final)
	case h.NextToken == r.token+1 && !last && h.LastOutput != nil:
		r.advance(h.LastOutput, 0, "", false)
	default:
		r.lost(state.RetryStageUnknown)
	}
}

// again sends the step under way once more: the stage said that it did not run,
// and holds the earlier sending barred.
func (r *Request) again() {
	if r.fresh && r.stage == 0 {
		r.sent.Unstarted(r.attempt)
	}
	r.send()
}

func (r *Request) heldUnanswered(ev StageQueryFailed) {
	if r.phase == phaseAdopting && ev.Step.Attempt == r.attempt {
		r.abandonAdoption()
		return
	}
	if !r.current(ev.Step, phaseAsking) {
		return
	}
	if ev.Superseded {
		r.overtaken()
		return
	}
	if r.spec.NeverRepeat && !ev.NotSent && r.asks < maxAsks {
		// Giving the attempt up ends a request that may not be repeated. A
		// stage that only is slow to answer is asked again first.
		r.asks++
		r.epoch = r.epoch.Next(r.spec.Owner)
		r.do(QueryStage{Step: r.ref(), Stage: r.replica.Stages[r.stage]})
		return
	}
	r.lost(state.RetryStageFailed)
}

// overtaken ends this owner's part: another daemon drives the stream now. What
// becomes of the request is not for this one to say.
func (r *Request) overtaken() {
	r.sent.MayRunElsewhere()
	r.claimed = false
	r.releaseSlot(false)
	r.finish(state.Unknown{Reason: state.ReasonDuplicate})
}

// lost gives the attempt up and asks for another, or ends the request where a
// second attempt could be a second execution.
func (r *Request) lost(reason state.RetryReason) {
	failed := r.replica.ID
	r.do(CancelAttempt{Attempt: r.attempt, Replica: r.replica})
	r.releaseSlot(reason != state.RetryTakeover)
	if _, notRun := r.sent.NotRun(); r.spec.NeverRepeat && !notRun {
		r.end(state.ReasonBackendFailed, 0)
		return
	}
	r.phase = phaseRetryWait
	r.do(RequestRetry{
		Reason:    reason,
		Attempt:   r.attempt,
		Replica:   failed,
		Tried:     slices.Clone(r.tried),
		Execution: r.sent.Execution(),
	})
	r.tried = append(r.tried, failed)
}

func (r *Request) retryDecided(now time.Time, ev RetryDecided) {
	if r.phase != phaseRetryWait {
		return
	}
	if !ev.Allowed {
		r.end(ev.Reason, 0)
		return
	}
	r.retryAt = ev.At
	r.exclude = ev.Exclude
	r.phase = phaseBackoff
	if !now.Before(r.retryAt) {
		r.askSlot()
	}
}
