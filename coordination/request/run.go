package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// startAttempt starts a new attempt on the replica of the held slot, from the first
// token that the caller does not have.
func (r *Request) startAttempt() {
	r.attempt = r.attempt.Next(r.spec.Owner)
	r.epoch = r.epoch.Next(r.spec.Owner)
	r.token = len(r.tokens)
	r.stage = 0
	r.input = nil
	r.firstToken = true
	r.started = false
	r.sendStep()
}

// stepRef returns the reference of the step in progress.
func (r *Request) stepRef() StepRef {
	return StepRef{Attempt: r.attempt, Epoch: r.epoch, Token: r.token, Stage: r.stage}
}

// sendStep sends the step in progress. The dispatch is recorded before the step leaves,
// so that no refusal can claim that the step was not sent.
func (r *Request) sendStep() {
	r.phase = phaseRunning
	if r.firstToken && r.stage == 0 {
		r.dispatches.MarkSent(r.attempt)
	}
	step := RunStep{Step: r.stepRef(), Stage: r.replica.Stages[r.stage], Input: r.input}
	if r.stage == 0 && r.firstToken {
		step.Prompt = r.spec.Prompt
		step.PriorTokens = r.tokens
	}
	if n := len(r.tokens); n > 0 {
		step.LastToken = r.tokens[n-1]
	}
	r.issue(step)
}

// current reports whether ref is the step in progress and p the current phase. Any
// other answer is late: from an abandoned attempt, or of an epoch that QueryStage
// fenced.
func (r *Request) current(ref StepRef, p phase) bool {
	return r.phase == p && ref == r.stepRef()
}

func (r *Request) stepDone(ev StepDone) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	r.advance(ev.Output, ev.Value, ev.Text, ev.Final)
}

// advance takes the output of the step in progress and continues with the next step.
func (r *Request) advance(output []byte, value int64, text string, final bool) {
	r.markStarted()
	r.queries = 0
	if r.stage+1 < len(r.replica.Stages) {
		r.stage++
		r.input = output
		r.sendStep()
		return
	}
	r.emit(value, text)
	if final || len(r.tokens) >= r.spec.MaxTokens {
		r.complete()
		return
	}
	r.token++
	r.stage = 0
	r.input = nil
	r.firstToken = false
	r.sendStep()
}

func (r *Request) markStarted() {
	if r.started {
		return
	}
	r.started = true
	r.dispatches.MarkStarted(r.attempt)
	r.issue(AttemptStarted{Attempt: r.attempt, Epoch: r.epoch, Replica: r.replica})
}

func (r *Request) emit(value int64, text string) {
	r.issue(Emit{Index: len(r.tokens), Value: value, Text: text})
	r.tokens = append(r.tokens, value)
}

func (r *Request) complete() {
	if !r.spec.Plain {
		r.issue(ReleaseAttempt{Attempt: r.attempt, Replica: r.replica})
	}
	r.finish(state.Completed{Tokens: len(r.tokens)})
}
