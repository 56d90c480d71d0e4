package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// takeOver takes over an attempt that another daemon started.
func (r *Request) takeOver(t Takeover) {
	if r.spec.NeverRepeat {
		panic("request: never-repeat request taken over without its claim row")
	}
	r.replica = t.Replica
	r.attempt = t.Attempt
	r.epoch = t.Epoch.TakeOver(r.spec.Owner)
	r.dispatches.MarkStarted(t.Attempt)
	r.queryStages()
}

// takeOverClaimed takes over the attempt that the claim row names. The previous owner
// may be paused while holding proof that the attempt never started, and be about to
// start another. It needs the row for that, and its write fails now.
func (r *Request) takeOverClaimed(t Takeover) {
	r.releaseSlot(false)
	r.replica = t.Replica
	r.attempt = t.Attempt
	r.epoch = t.Epoch
	r.dispatches.MarkSent(t.Attempt)
	r.queryStages()
}

// queryStages queries all stages under the new epoch. This fences the previous owner's
// steps everywhere before this owner sends one, so a paused owner that resumes cannot
// run a step.
func (r *Request) queryStages() {
	if r.spec.Plain {
		r.abandonTakeover()
		return
	}
	r.phase = phaseTakingOver
	r.stageStates = make([]*StageState, len(r.replica.Stages))
	for i, s := range r.replica.Stages {
		ref := StepRef{Attempt: r.attempt, Epoch: r.epoch, Stage: i}
		r.issue(QueryStage{Step: ref, Stage: s})
	}
}

func (r *Request) takeoverAnswer(ev StageState) {
	if ev.Step.Attempt != r.attempt || ev.Step.Epoch != r.epoch {
		return
	}
	r.stageStates[ev.Step.Stage] = &ev
	for _, h := range r.stageStates {
		if h == nil {
			return
		}
	}
	r.resumeTakeover()
}

// resumeTakeover continues from the state of the stages if it is consistent: the stages
// before the next step hold one token more than the others.
func (r *Request) resumeTakeover() {
	last := r.stageStates[len(r.stageStates)-1]
	next, stage, agree := r.nextStep()
	if !agree || len(last.Tokens) != last.NextToken {
		r.abandonTakeover()
		return
	}
	if next > 0 || stage > 0 {
		r.markStarted()
	}
	for _, value := range last.Tokens {
		r.emit(value, "")
	}
	if last.Final || len(r.tokens) >= r.spec.MaxTokens {
		r.complete()
		return
	}
	r.token = next
	r.stage = stage
	r.firstToken = next == 0
	r.input = nil
	if stage > 0 {
		r.input = r.stageStates[stage-1].LastOutput
	}
	r.stageStates = nil
	r.sendStep()
}

// nextStep returns the token and stage of the next step. ok is false if the attempt
// cannot be continued: a stage has lost it, or an output is missing.
func (r *Request) nextStep() (token, stage int, ok bool) {
	token = r.stageStates[len(r.stageStates)-1].NextToken
	for stage < len(r.stageStates) && r.stageStates[stage].NextToken == token+1 {
		stage++
	}
	for i, h := range r.stageStates {
		want := token
		if i < stage {
			want = token + 1
		}
		if h.Canceled || h.Life != r.replica.Stages[i].BootID || h.NextToken != want || !h.Known && want > 0 {
			return 0, 0, false
		}
	}
	if stage > 0 && r.stageStates[stage-1].LastOutput == nil {
		return 0, 0, false
	}
	return token, stage, true
}

// abandonTakeover starts a new attempt if the request is repeatable. Sampling is seeded
// by the request, so a new attempt produces the same tokens from index 0, and the
// caller's stream drops those that it already has.
func (r *Request) abandonTakeover() {
	r.stageStates = nil
	r.abandonAttempt(state.RetryTakeover)
}
