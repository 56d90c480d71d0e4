package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// cancelTimeout bounds the courtesy of telling stages that an attempt is over;
// they free it by themselves in the end.
const cancelTimeout = 2 * time.Second

// lifeTimeout bounds the question which life a backend server's process is in,
// before the first step.
const lifeTimeout = 300 * time.Millisecond

// runStep sends one step to its stage, once, and posts what became of it.
func (r *runner) runStep(a request.RunStep) {
	if r.spec.Plain {
		r.callPlain(a)
		return
	}
	e := r.d.clients.engine(a.Stage.Address)
	began := time.Now()
	res, err := e.steps.Step(r.ctx, r.stepRequest(a))
	r.d.metrics.ObserveService(telemetry.StepSeconds, r.spec.Service, time.Since(began))
	if err != nil || res.Status != engine.StepDone {
		e.seen("") // perhaps another life of the process by now
	}
	switch {
	case err != nil:
		r.stepError(a, err)
	case res.Status == engine.StepDone:
		r.post(request.StepDone{Step: a.Step, Output: res.Output, Value: res.Token, Final: res.Final})
	case res.Status == engine.StepNotRun:
		r.post(request.StepNotRun{Step: a.Step})
	case res.Status == engine.StepSuperseded:
		r.post(request.StepNotRun{Step: a.Step, Superseded: true})
	default:
		r.post(request.StepFailed{Step: a.Step})
	}
}

func (r *runner) stepRequest(a request.RunStep) engine.StepRequest {
	spec := r.spec
	return engine.StepRequest{
		Request:     *r.execution.Load(),
		Attempt:     a.Step.Attempt,
		BootID:      a.Stage.BootID,
		Epoch:       a.Step.Epoch,
		Token:       a.Step.Token,
		Layers:      a.Stage.Layers,
		Prompt:      a.Prompt,
		PriorTokens: a.PriorTokens,
		Input:       a.Input,
		LastToken:   a.LastToken,
		Priority:    spec.Priority,
		Adapter:     spec.Adapter,
		MaxTokens:   spec.MaxTokens,
	}
}

// stepError posts a call that was not answered.
func (r *runner) stepError(a request.RunStep, err error) {
	silent := errors.Is(err, enginehttp.ErrUnresponsive)
	if engine.NotSent(err) && a.Prompt == "" && r.ctx.Err() == nil {
		// The attempt had begun, and nobody listens any more. A first step is
		// left out: its content has not been there.
		r.stageDied(a.Step.Stage)
	}
	if r.spec.Plain && !silent && !engine.NotSent(err) && r.ctx.Err() == nil {
		r.checkPlain(a)
	}
	r.post(request.StepUnanswered{Step: a.Step, NotSent: engine.NotSent(err), Silent: silent})
}

func (r *runner) callPlain(a request.RunStep) {
	call := engine.PlainCall{Request: r.spec.ID, Attempt: a.Step.Attempt, Body: r.spec.Prompt}
	res, err := r.d.clients.plain(a.Stage.Address).Call(r.ctx, call)
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
func (r *runner) askHeld(a request.QueryStage) {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.askTimeout)
	defer cancel()
	e := r.d.clients.engine(a.Stage.Address)
	held, err := e.Resume(ctx, *r.execution.Load(), a.Step.Attempt, a.Step.Epoch)
	if err != nil {
		if engine.NotSent(err) {
			r.stageDied(a.Step.Stage)
		}
		r.fateUnknown.Store(!engine.NotSent(err))
		r.post(request.StageQueryFailed{
			Step: a.Step, Superseded: errors.Is(err, engine.ErrStaleEpoch), NotSent: engine.NotSent(err),
		})
		return
	}
	if a.Stage.BootID != "" && held.BootID != a.Stage.BootID {
		r.stageDied(a.Step.Stage) // and is back already
	}
	r.post(request.StageState{
		Step:       a.Step,
		Life:       held.BootID,
		Known:      held.Known,
		Canceled:   held.Canceled,
		NextToken:  held.NextToken,
		LastOutput: held.LastOutput,
		Tokens:     held.Tokens,
		Final:      held.Final,
	})
}

// checkPlain finds out whether a plain server that broke a call off is gone.
func (r *runner) checkPlain(a request.RunStep) {
	ctx, cancel := context.WithTimeout(r.ctx, lifeTimeout)
	defer cancel()
	_, err := r.d.clients.plain(a.Stage.Address).Load(ctx)
	if engine.NotSent(err) {
		r.stageDied(a.Step.Stage)
	}
	r.fateUnknown.Store(err != nil && !engine.NotSent(err))
}

// stageDied reports that nobody listens any more at a stage that had the request.
// It comes before the request's own end, so that the death implicates it.
func (r *runner) stageDied(stage int) {
	replica := r.granted.Load()
	if replica == nil {
		return // an attempt that another daemon began
	}
	c := r.d.control
	tokens, _, _ := r.answer.after(0)
	c.post(func() {
		c.quarantine.stopped(r, len(tokens))
		c.quarantine.died(*replica, stage)
	})
}

// cancelAttempt tells every stage of a replica that an attempt is over.
func (d *Daemon) cancelAttempt(id state.RequestID, plain bool, attempt state.Attempt, replica state.Replica) {
	if plain {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, s := range replica.Stages {
		// An unanswered cancel costs the stage memory until it forgets the
		// attempt by itself; nothing rests on it.
		_, _ = d.clients.engine(s.Address).Cancel(ctx, id, attempt)
	}
}

// grant gives the machine a slot, with the lives that the replica's processes are
// seen in: without them a stage's word that it never ran a step is no proof. A
// stage that failed a call is asked first. Where it does not answer, nothing is
// sent to the replica: a request that is never repeated would be lost to it, once
// the stages before had begun.
func (r *runner) grant(attempt state.Attempt, replica state.Replica) {
	if !r.spec.Plain {
		stages, answered := r.d.withLives(r.ctx, replica.Stages, r.spec.NeverRepeat)
		if !answered {
			r.post(request.SlotUnusable{Grant: attempt, Replica: replica.ID})
			return
		}
		replica.Stages = stages
	}
	r.granted.Store(&replica)
	r.fateUnknown.Store(false)
	r.post(request.SlotGranted{Grant: attempt, Replica: replica})
}

// withLives returns stages with the life of each process, asked for where it is
// not known, or always if fresh: a process that restarted unnoticed refuses what is
// meant for the one before, and a request that is never repeated would be lost once
// the stages before had begun. It reports false if one does not answer.
func (d *Daemon) withLives(ctx context.Context, stages []state.Stage, fresh bool) ([]state.Stage, bool) {
	out := slices.Clone(stages)
	var silent atomic.Bool
	var wg sync.WaitGroup
	for i := range out {
		e := d.clients.engine(out[i].Address)
		if out[i].BootID = e.lastLife(); out[i].BootID != "" && !fresh {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			life, err := d.askLife(ctx, e)
			out[i].BootID = life
			if err != nil {
				silent.Store(true)
			}
		}()
	}
	wg.Wait()
	return out, !silent.Load()
}

func (d *Daemon) askLife(ctx context.Context, e *engineClient) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, lifeTimeout)
	defer cancel()
	load, err := e.Load(ctx)
	if err != nil {
		return "", err
	}
	e.seen(load.BootID)
	return load.BootID, nil
}

// askRecorded asks the backend servers of a claimed attempt, whose owner is gone,
// what became of it, and bars the old owner's steps there.
func (d *Daemon) askRecorded(rec claims.Record, answer func(claims.Evidence)) {
	ev := claims.Evidence{Epoch: rec.Epoch, Kind: claims.EvidenceNone}
	replica, ok := ask(context.Background(), d.control, func() state.Replica {
		r, _ := d.control.slots.recorded(rec.Slot)
		return r
	})
	if !ok || len(replica.Stages) == 0 || replica.Stages[0].Layers.Len() == 0 {
		answer(ev) // a plain service can't be asked
		return
	}
	held := 0
	for _, s := range replica.Stages {
		ctx, cancel := context.WithTimeout(context.Background(), d.askTimeout)
		h, err := d.clients.engine(s.Address).Resume(ctx, rec.Request, rec.Slot.Attempt, rec.Epoch)
		cancel()
		if err != nil {
			// A process that is gone has lost what it held; one that only
			// doesn't answer may be asked again.
			if !engine.NotSent(err) && !errors.Is(err, engine.ErrStaleEpoch) {
				ev.Kind = claims.EvidenceUnavailable
			}
			answer(ev)
			return
		}
		ev.BootIDs = append(ev.BootIDs, h.BootID)
		if h.Known && !h.Canceled {
			held++
		}
	}
	ev.Kind = claims.EvidenceNotStarted
	if held > 0 {
		// Stages may stand one token apart; the request's machine finds the
		// next step.
		ev.Kind = claims.EvidenceHeld
	}
	answer(ev)
}
