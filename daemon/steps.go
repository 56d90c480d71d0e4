package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// cancelTimeout bounds the courtesy of telling stages that an attempt is over;
// they free it by themselves in the end.
const cancelTimeout = 2 * time.Second

// runStep sends one step to its stage, once, and posts what became of it.
func (r *runner) runStep(a request.RunStep) {
	if r.spec.Plain {
		r.callPlain(a)
		return
	}
	res, err := r.d.backends.engine(a.Stage.Address).steps.Step(r.ctx, stepRequest(r.spec, a))
	switch {
	case err != nil:
		r.stepError(a, err)
	case res.Status == engine.StepDone:
		r.post(request.StepDone{Step: a.Step, Output: res.Output, Value: res.Token, Final: res.Final})
	case res.Status == engine.StepNotRun:
		r.post(request.StepNotRun{Step: a.Step})
	case res.Status == engine.StepOvertaken:
		r.post(request.StepNotRun{Step: a.Step, Overtaken: true})
	default:
		r.post(request.StepFailed{Step: a.Step})
	}
}

func stepRequest(spec request.Spec, a request.RunStep) engine.StepRequest {
	return engine.StepRequest{
		Request:   spec.ID,
		Attempt:   a.Step.Attempt,
		Life:      a.Stage.Life,
		Epoch:     a.Step.Epoch,
		Token:     a.Step.Token,
		Layers:    a.Stage.Layers,
		Prompt:    a.Prompt,
		Given:     a.Given,
		Input:     a.Input,
		Last:      a.Last,
		Priority:  spec.Priority,
		Adapter:   spec.Adapter,
		MaxTokens: spec.MaxTokens,
	}
}

// stepError posts a call that was not answered and tells the daemon which
// backend server it was.
func (r *runner) stepError(a request.RunStep, err error) {
	silent := errors.Is(err, enginehttp.ErrSilent)
	if r.ctx.Err() == nil {
		r.d.backendFailed(r.spec, a.Stage, silent)
	}
	r.post(request.StepUnanswered{Step: a.Step, NotSent: engine.NotSent(err), Silent: silent})
}

func (r *runner) callPlain(a request.RunStep) {
	call := engine.PlainCall{Request: r.spec.ID, Attempt: a.Step.Attempt, Body: r.spec.Prompt}
	res, err := r.d.backends.plain(a.Stage.Address).Call(r.ctx, call)
	switch {
	case err != nil:
		r.stepError(a, err)
	case res.Status == engine.PlainDone:
		r.post(request.StepDone{Step: a.Step, Text: res.Body, Final: true})
	default:
		r.post(request.StepNotRun{Step: a.Step})
	}
}

// askHeld asks a stage what it holds, on a connection of its own if the last
// one went silent.
func (r *runner) askHeld(a request.AskHeld) {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.askTimeout)
	defer cancel()
	e := r.d.backends.engine(a.Stage.Address)
	held, err := e.Resume(ctx, r.spec.ID, a.Step.Attempt, a.Step.Epoch)
	if err != nil {
		r.post(request.HeldUnanswered{Step: a.Step, Overtaken: errors.Is(err, engine.ErrEpoch)})
		return
	}
	r.post(request.HeldAnswer{
		Step:       a.Step,
		Life:       held.Life,
		Known:      held.Known,
		Canceled:   held.Canceled,
		NextToken:  held.NextToken,
		LastOutput: held.LastOutput,
		Tokens:     held.Tokens,
		Final:      held.Final,
	})
}

// cancelAttempt tells every stage of a replica that an attempt is over.
func (d *Daemon) cancelAttempt(spec request.Spec, attempt state.Attempt, replica state.Replica) {
	if spec.Plain {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, s := range replica.Stages {
		// An unanswered cancel costs the stage memory until it forgets the
		// attempt by itself; nothing rests on it.
		_, _ = d.backends.engine(s.Address).Cancel(ctx, spec.ID, attempt)
	}
}
