package request

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// adopt takes over an attempt that another daemon began.
func (r *Request) adopt(t Takeover) {
	if r.spec.NeverRepeat {
		panic("request: never-repeat request is taken over without its claim row")
	}
	r.replica = t.Replica
	r.attempt = t.Attempt
	r.epoch = t.Epoch.TakeOver(r.spec.Owner)
	r.sent.Began(t.Attempt)
	r.askStages()
}

// continueClaimed takes over the attempt that the claim row names. The old owner,
// paused, may have proof that it never began and be about to begin another; it
// needs the row for that, and its write fails now.
func (r *Request) continueClaimed(t Takeover) {
	r.releaseSlot(false)
	r.replica = t.Replica
	r.attempt = t.Attempt
	r.epoch = t.Epoch
	r.sent.Sent(t.Attempt)
	r.askStages()
}

// askStages asks all stages under the new epoch, which bars the old owner's steps
// everywhere before one of ours is sent: a paused owner that wakes can't run a
// step.
func (r *Request) askStages() {
	if r.spec.Plain {
		r.abandonAdoption()
		return
	}
	r.phase = phaseAdopting
	r.adopting = make([]*StageState, len(r.replica.Stages))
	for i, s := range r.replica.Stages {
		ref := StepRef{Attempt: r.attempt, Epoch: r.epoch, Stage: i}
		r.do(QueryStage{Step: ref, Stage: s})
	}
}

func (r *Request) adoptAnswer(ev StageState) {
	if ev.Step.Attempt != r.attempt || ev.Step.Epoch != r.epoch {
		return
	}
	r.adopting[ev.Step.Stage] = &ev
	for _, h := range r.adopting {
		if h == nil {
			return
		}
	}
	r.resumeAdopted()
}

// resumeAdopted goes on from where the stages stand, if they agree: those before
// the next step hold one token more than it and those after.
func (r *Request) resumeAdopted() {
	last := r.adopting[len(r.adopting)-1]
	next, stage, agree := r.frontier()
	if !agree || len(last.Tokens) != last.NextToken {
		r.abandonAdoption()
		return
	}
	if next > 0 || stage > 0 {
		r.noteBegan()
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
	r.fresh = next == 0
	r.input = nil
	if stage > 0 {
		r.input = r.adopting[stage-1].LastOutput
	}
	r.adopting = nil
	r.send()
}

// frontier finds the token and stage of the next step. ok is false where the
// stages can't be continued: one forgot the attempt, or an output is lost.
func (r *Request) frontier() (token, stage int, ok bool) {
	token = r.adopting[len(r.adopting)-1].NextToken
	for stage < len(r.adopting) && r.adopting[stage].NextToken == token+1 {
		stage++
	}
	for i, h := range r.adopting {
		want := token
		if i < stage {
			want = token + 1
		}
		if h.Canceled || h.Life != r.replica.Stages[i].Life || h.NextToken != want || !h.Known && want > 0 {
			return 0, 0, false
		}
	}
	if stage > 0 && r.adopting[stage-1].LastOutput == nil {
		return 0, 0, false
	}
	return token, stage, true
}

// abandonAdoption begins anew where a repeat is allowed. Sampling is seeded by
// the request, so that a new attempt gives the same tokens from index 0 and the
// caller's stream drops those that it already has.
func (r *Request) abandonAdoption() {
	r.adopting = nil
	r.lost(state.RetryTakeover)
}
