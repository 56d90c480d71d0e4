package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// begin starts a new attempt on the replica in hand, from the first token that
// the caller does not have.
func (r *Request) begin() {
	r.attempt = r.attempt.Next(r.spec.Owner)
	r.epoch = r.epoch.Next(r.spec.Owner)
	r.token = len(r.tokens)
	r.stage = 0
	r.input = nil
	r.fresh = true
	r.begun = false
	r.send()
}

// ref names the step under way.
func (r *Request) ref() StepRef {
	return StepRef{Attempt: r.attempt, Epoch: r.epoch, Token: r.token, Stage: r.stage}
}

// send runs the step under way. The record is made before the step leaves, so
// that no refusal can claim that it did not.
func (r *Request) send() {
	r.phase = phaseRunning
	if r.fresh && r.stage == 0 {
		r.sent.Sent(r.attempt)
	}
	step := RunStep{Step: r.ref(), Stage: r.replica.Stages[r.stage], Input: r.input}
	if r.stage == 0 && r.fresh {
		step.Prompt = r.spec.Prompt
		step.PriorTokens = r.tokens
	}
	if n := len(r.tokens); n > 0 {
		step.LastToken = r.tokens[n-1]
	}
	r.do(step)
}

// current reports whether ref names the step under way. Anything else is late:
// from an abandoned attempt, or of an epoch that AskHeld barred.
func (r *Request) current(ref StepRef, p phase) bool {
	return r.phase == p && ref == r.ref()
}

func (r *Request) stepDone(ev StepDone) {
	if !r.current(ev.Step, phaseRunning) {
		return
	}
	r.advance(ev.Output, ev.Value, ev.Text, ev.Final)
}

// advance takes the output of the step under way and goes on to the next.
func (r *Request) advance(output []byte, value int64, text string, final bool) {
	r.noteBegan()
	r.asks = 0
	if r.stage+1 < len(r.replica.Stages) {
		r.stage++
		r.input = output
		r.send()
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
	r.fresh = false
	r.send()
}

func (r *Request) noteBegan() {
	if r.begun {
		return
	}
	r.begun = true
	r.sent.Began(r.attempt)
	r.do(AttemptStarted{Attempt: r.attempt, Epoch: r.epoch, Replica: r.replica})
}

func (r *Request) emit(value int64, text string) {
	r.do(Emit{Index: len(r.tokens), Value: value, Text: text})
	r.tokens = append(r.tokens, value)
}

func (r *Request) complete() {
	if !r.spec.Plain {
		r.do(ReleaseAttempt{Attempt: r.attempt, Replica: r.replica})
	}
	r.finish(state.Completed{Tokens: len(r.tokens)})
}
