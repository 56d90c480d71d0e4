package request

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxQueries bounds how often a step is queried and resent on one stage, so that a link
// that drops every step but lets queries through cannot hold a request indefinitely.
const maxQueries = 3

// stepNotRun handles a stage's proof that the step did not run and will not run.
func (r *Request) stepNotRun(ev StepNotRun) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	if ev.Superseded {
		r.superseded()
		return
	}
	if r.declinedBySuccessor(ev.BootID) {
		r.queries++
		r.replica.Stages = slices.Clone(r.replica.Stages)
		r.replica.Stages[r.stage].BootID = ev.BootID
		r.resend()
		return
	}
	r.abandonAttempt(r.clearUnstarted(state.RetryStageUnknown))
}

// declinedBySuccessor reports whether the step was declined only because the stage's
// process has restarted, and can be sent to the new process: with the attempt's first
// token no cache was lost.
//
// Guard (stale-boot-id): a server that restarted earlier would count as failed at its
// first request from each daemon that had nothing running there when it stopped.
func (r *Request) declinedBySuccessor(bootID string) bool {
	return r.firstToken && bootID != "" && bootID != r.replica.Stages[r.stage].BootID && r.queries < maxQueries
}

// clearUnstarted returns the reason for a retry after a step that was proved not to
// have run. If the step was the attempt's first, it clears the attempt from the record
// and returns RetryUnstarted; otherwise it returns reason.
func (r *Request) clearUnstarted(reason state.RetryReason) state.RetryReason {
	if r.firstToken && r.stage == 0 {
		r.dispatches.MarkNotStarted(r.attempt)
		return state.RetryNotStarted
	}
	return reason
}

func (r *Request) stepFailed(ev StepFailed) {
	if r.current(ev.Step, phaseRunning) {
		r.abandonAttempt(state.RetryStageFailed)
	}
}

// stepUnanswered handles a step that may or may not have run. It is not resent
// directly: the stage is queried first under a higher epoch, which fences the lost step
// in case it is still in transit.
func (r *Request) stepUnanswered(ev StepUnanswered) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	switch {
	case ev.NotSent && !r.queriesUnsent():
		r.abandonAttempt(r.clearUnstarted(state.RetryStageFailed))
	case r.spec.Plain && !ev.Silent:
		// A plain service cannot be queried about the outcome of a call.
		r.abandonAttempt(state.RetryStageFailed)
	case r.spec.Plain || r.queries >= maxQueries:
		r.abandonAttempt(state.RetrySilentConnection)
	default:
		r.queries++
		r.epoch = r.epoch.Next(r.spec.Owner)
		r.phase = phaseQuerying
		r.issue(QueryStage{Step: r.stepRef(), Stage: r.replica.Stages[r.stage]})
	}
}

// queriesUnsent reports whether the stage is queried after a step that was not sent.
//
// Guard (unsent-step-ends-the-answer): a step is not sent if its server can't be reached for a
// moment, or if this daemon was paused while it connected. Abandoning the attempt would end an
// answer that must not be repeated, although its stage may live and have the rest of it.
func (r *Request) queriesUnsent() bool {
	started := !r.firstToken || r.stage > 0
	return r.spec.NeverRepeat && !r.spec.Plain && started && r.queries < maxQueries
}

func (r *Request) stageState(ev StageState) {
	if r.phase == phaseTakingOver {
		r.takeoverAnswer(ev)
		return
	}
	if !r.current(ev.Step, phaseQuerying) {
		return
	}
	r.resumeFrom(ev)
}

// resumeFrom continues from the state that the queried stage reported.
func (r *Request) resumeFrom(h StageState) {
	last := r.stage == len(r.replica.Stages)-1
	switch {
	case h.Canceled, h.Life != r.replica.Stages[r.stage].BootID:
		// A restarted process has no record of what it ran before, so the fact that it
		// does not know the step proves nothing.
		r.abandonAttempt(state.RetryStageUnknown)
	case !h.Known && r.firstToken:
		// The stage never saw the attempt, and the lost step is fenced.
		r.resend()
	case !h.Known:
		r.abandonAttempt(state.RetryStageUnknown)
	case h.NextToken == r.token:
		r.resend()
	case h.NextToken == r.token+1 && last && len(h.Tokens) > 0:
		r.advance(nil, h.Tokens[len(h.Tokens)-1], "", h.Final)
	case h.NextToken == r.token+1 && !last && h.LastOutput != nil:
		r.advance(h.LastOutput, 0, "", false)
	default:
		r.abandonAttempt(state.RetryStageUnknown)
	}
}

// resend sends the step in progress once more: the stage reported that it did not run,
// and the earlier dispatch is fenced.
func (r *Request) resend() {
	if r.firstToken && r.stage == 0 {
		r.dispatches.MarkNotStarted(r.attempt)
	}
	r.sendStep()
}

func (r *Request) stageQueryFailed(ev StageQueryFailed) {
	if r.phase == phaseTakingOver && ev.Step.Attempt == r.attempt {
		r.abandonTakeover()
		return
	}
	if !r.current(ev.Step, phaseQuerying) {
		return
	}
	if ev.Superseded {
		r.superseded()
		return
	}
	if r.spec.NeverRepeat && !ev.NotSent && r.queries < maxQueries {
		// Abandoning the attempt ends a never-repeat request. A stage that may only be
		// slow to answer, or out of reach for a moment, is queried again first.
		r.queries++
		r.epoch = r.epoch.Next(r.spec.Owner)
		r.issue(QueryStage{Step: r.stepRef(), Stage: r.replica.Stages[r.stage]})
		return
	}
	r.abandonAttempt(state.RetryStageFailed)
}

// superseded ends this owner's part: another daemon drives the stream now, so the
// outcome of the request is unknown here.
func (r *Request) superseded() {
	r.dispatches.MarkMayRunElsewhere()
	r.claimed = false
	r.releaseSlot(false)
	r.finish(state.Unknown{Reason: state.ReasonDuplicate})
}

// abandonAttempt abandons the attempt and requests another, or ends the request if a
// second attempt could be a second execution.
func (r *Request) abandonAttempt(reason state.RetryReason) {
	failed := r.replica.ID
	r.issue(CancelAttempt{Attempt: r.attempt, Replica: r.replica})
	r.releaseSlot(reason != state.RetryTakeover)
	if _, notRun := r.dispatches.NotRun(); r.spec.NeverRepeat && !notRun {
		r.conclude(state.ReasonBackendFailed, 0)
		return
	}
	r.phase = phaseRetryWait
	r.issue(DecideRetry{
		Reason:    reason,
		Attempt:   r.attempt,
		Replica:   failed,
		Tried:     slices.Clone(r.tried),
		Execution: r.dispatches.Execution(),
	})
	r.tried = append(r.tried, failed)
}

func (r *Request) retryDecided(now time.Time, ev RetryDecided) {
	if r.phase != phaseRetryWait {
		return
	}
	if !ev.Allowed {
		r.conclude(ev.Reason, 0)
		return
	}
	r.retryAt = ev.At
	r.exclude = ev.Exclude
	r.phase = phaseBackoff
	if !now.Before(r.retryAt) {
		r.requestSlot()
	}
}
