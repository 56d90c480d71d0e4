package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// cancelTimeout bounds the call that informs a stage of the end of an attempt.
// Stages without that call free the attempt after their own timeout.
const cancelTimeout = 2 * time.Second

// bootIDTimeout bounds the query for the boot ID of a backend server's process
// before the first step.
const bootIDTimeout = 300 * time.Millisecond

// runStep sends one step to its stage, once, and posts the result.
func (r *runner) runStep(a request.RunStep) {
	if r.spec.Plain {
		r.callPlain(a)
		return
	}
	e := r.d.clients.engine(a.Stage.Address)
	start := time.Now()
	res, err := e.steps.Step(r.ctx, r.stepRequest(a))
	r.d.metrics.ObserveService(telemetry.StepSeconds, r.spec.Service, time.Since(start))
	if err != nil || res.Status != engine.StepDone {
		e.setBootID("") // the process may have restarted
	}
	switch {
	case err != nil:
		r.stepError(a, err, time.Since(start))
	case res.Status == engine.StepDone:
		r.post(request.StepDone{Step: a.Step, Output: res.Output, Value: res.Token, Final: res.Final})
	case res.Status == engine.StepNotRun:
		r.post(request.StepNotRun{Step: a.Step, BootID: r.currentBootID(a)})
	case res.Status == engine.StepSuperseded:
		r.post(request.StepNotRun{Step: a.Step, Superseded: true})
	default:
		r.post(request.StepFailed{Step: a.Step})
	}
}

func (r *runner) stepRequest(a request.RunStep) engine.StepRequest {
	spec := r.spec
	return engine.StepRequest{
		Request:     *r.executionID.Load(),
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

// currentBootID returns the boot ID of the process that declined a step, or an empty
// one if it does not answer. If it is another one than the slot was granted with, later
// deaths of the stage are those of the new process.
func (r *runner) currentBootID(a request.RunStep) string {
	bootID, err := r.d.queryBootID(r.ctx, r.d.clients.engine(a.Stage.Address))
	if err != nil {
		return ""
	}
	if granted := r.grantedReplica.Load(); granted != nil && bootID != a.Stage.BootID {
		replica := *granted
		replica.Stages = slices.Clone(granted.Stages)
		replica.Stages[a.Step.Stage].BootID = bootID
		r.grantedReplica.Store(&replica)
	}
	return bootID
}

// callOverrun is how far a call may exceed the connect timeout before its failure to
// connect means nothing, because this process was not running meanwhile.
const callOverrun = 300 * time.Millisecond

// provesDeath reports whether a call that took some time and failed shows that the backend
// server can't be reached: its process has ended, or it has lost its power or its link.
// processEnded tells these apart.
//
// Guard (own-pause-taken-for-a-death): after a pause of this daemon its calls to live
// servers time out before they have sent a byte, and they would be logged as dead.
func (d *Daemon) provesDeath(err error, took time.Duration) bool {
	if !engine.NotSent(err) {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || took <= d.connectTimeout+callOverrun
}

// callFailed determines what a failed call says about a stage's process, and reports the
// end of the process. known is false if that remains unknown.
//
// Guard (unreachable-server-blamed-on-contents): a content can end a process, and the port
// refuses connections then. A server that answers none has lost its link or its power, or
// this daemon or the server was paused. The contents that ran there would be implicated, and
// one of them quarantined, for what no content does.
func (r *runner) callFailed(stage int, s state.Stage, err error, took time.Duration) (ended, known bool) {
	if !engine.NotSent(err) {
		return false, false
	}
	ended, known = r.processEnded(s, err)
	switch {
	case ended:
		r.stageDied(stage)
	case !known && r.d.provesDeath(err, took):
		r.logUnreachable(stage)
	}
	return ended, known
}

// processEnded reports whether a stage's process has ended since the slot was granted, if
// that is known. A call that was not refused is followed by a query on a new connection: the
// process may answer by now.
func (r *runner) processEnded(s state.Stage, err error) (ended, known bool) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, true
	}
	ctx, cancel := context.WithTimeout(r.ctx, bootIDTimeout)
	defer cancel()
	load, err := r.load(ctx, s.Address)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		return refused, refused
	}
	return s.BootID != "" && load.BootID != s.BootID, true
}

func (r *runner) load(ctx context.Context, address string) (engine.Load, error) {
	if r.spec.Plain {
		return r.d.clients.plain(address).Load(ctx)
	}
	return r.d.clients.engine(address).Load(ctx)
}

// stepError posts that a call was not answered.
func (r *runner) stepError(a request.RunStep, err error, took time.Duration) {
	unresponsive := errors.Is(err, enginehttp.ErrUnresponsive)
	if a.Prompt == "" && r.ctx.Err() == nil {
		// The attempt had started there. First steps are excluded: their content
		// has not reached the server.
		r.callFailed(a.Step.Stage, a.Stage, err, took)
	}
	if r.spec.Plain && !unresponsive && !engine.NotSent(err) && r.ctx.Err() == nil {
		r.checkPlainServer(a)
	}
	r.post(request.StepUnanswered{Step: a.Step, NotSent: engine.NotSent(err), Silent: unresponsive})
}

func (r *runner) callPlain(a request.RunStep) {
	start := time.Now()
	call := engine.PlainCall{Request: r.spec.ID, Attempt: a.Step.Attempt, Body: r.spec.Prompt}
	res, err := r.d.clients.plain(a.Stage.Address).Call(r.ctx, call)
	switch {
	case err != nil:
		r.stepError(a, err, time.Since(start))
	case res.Status == engine.PlainDone:
		r.post(request.StepDone{Step: a.Step, Text: res.Body, Final: true})
	default:
		r.post(request.StepNotRun{Step: a.Step})
	}
}

// queryStage queries the state of a stage, on a new connection if the last one
// became unresponsive.
func (r *runner) queryStage(a request.QueryStage) {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.queryTimeout)
	defer cancel()
	e := r.d.clients.engine(a.Stage.Address)
	start := time.Now()
	resumed, err := e.Resume(ctx, *r.executionID.Load(), a.Step.Attempt, a.Step.Epoch)
	if err != nil {
		ended, known := r.callFailed(a.Step.Stage, a.Stage, err, time.Since(start))
		r.backendStateUnknown.Store(!known)
		// Guard (unreachable-server-taken-for-gone): a query that was not sent says nothing
		// of the process. An answer that must not be repeated would be given up with it.
		r.post(request.StageQueryFailed{
			Step: a.Step, Superseded: errors.Is(err, engine.ErrStaleEpoch), NotSent: ended,
		})
		return
	}
	if a.Stage.BootID != "" && resumed.BootID != a.Stage.BootID {
		r.stageDied(a.Step.Stage) // it has already restarted
	}
	r.post(request.StageState{
		Step:       a.Step,
		Life:       resumed.BootID,
		Known:      resumed.Known,
		Canceled:   resumed.Canceled,
		NextToken:  resumed.NextToken,
		LastOutput: resumed.LastOutput,
		Tokens:     resumed.Tokens,
		Final:      resumed.Final,
	})
}

// checkPlainServer determines whether a plain server that broke off a call is
// gone.
func (r *runner) checkPlainServer(a request.RunStep) {
	ctx, cancel := context.WithTimeout(r.ctx, bootIDTimeout)
	defer cancel()
	start := time.Now()
	_, err := r.d.clients.plain(a.Stage.Address).Load(ctx)
	if err == nil {
		r.backendStateUnknown.Store(false)
		return
	}
	_, known := r.callFailed(a.Step.Stage, a.Stage, err, time.Since(start))
	r.backendStateUnknown.Store(!known)
}

// logUnreachable logs that a stage accepts no connections, for reasons that are unknown.
func (r *runner) logUnreachable(stage int) {
	replica := r.grantedReplica.Load()
	if replica == nil {
		return // an attempt that another daemon started
	}
	c := r.d.control
	c.post(func() { c.quarantine.reportUnreachable(*replica, stage) })
}

// stageDied reports that the process of a stage which had the request has ended. It
// is called before the request's own end, so that the death implicates the request.
func (r *runner) stageDied(stage int) {
	replica := r.grantedReplica.Load()
	if replica == nil {
		return // an attempt that another daemon started
	}
	c := r.d.control
	tokens, _, _ := r.answer.after(0)
	c.post(func() {
		c.quarantine.recordPosition(r, len(tokens))
		c.quarantine.reportDeath(*replica, stage)
	})
}

// cancelAttempt informs every stage of a replica that an attempt has ended.
func (d *Daemon) cancelAttempt(id state.RequestID, plain bool, attempt state.Attempt, replica state.Replica) {
	if plain {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, s := range replica.Stages {
		// After an unanswered cancel the stage keeps the attempt's memory until
		// the attempt expires there; correctness does not depend on it.
		_, _ = d.clients.engine(s.Address).Cancel(ctx, id, attempt)
	}
}

// grantSlot passes a slot to the state machine, with the boot IDs of the
// replica's processes: without them a stage's statement that it never ran a
// step proves nothing. A stage that failed a call is queried first. If it does
// not answer, nothing is sent to the replica: a never-repeat request would be
// lost there once the preceding stages had started it.
func (r *runner) grantSlot(attempt state.Attempt, replica state.Replica) {
	if !r.spec.Plain {
		stages, answered := r.d.withBootIDs(r.ctx, replica.Stages, r.spec.NeverRepeat)
		if !answered {
			r.post(request.SlotUnusable{Grant: attempt, Replica: replica.ID})
			return
		}
		replica.Stages = stages
	}
	r.grantedReplica.Store(&replica)
	r.backendStateUnknown.Store(false)
	r.post(request.SlotGranted{Grant: attempt, Replica: replica})
}

// withBootIDs returns stages with the boot ID of each process. Unknown ones are
// queried, and all of them if fresh is set: a process that restarted unnoticed
// rejects what was meant for its predecessor, and a never-repeat request would
// be lost once the preceding stages had started it. It reports false if a stage
// does not answer.
func (d *Daemon) withBootIDs(ctx context.Context, stages []state.Stage, fresh bool) ([]state.Stage, bool) {
	out := slices.Clone(stages)
	var unanswered atomic.Bool
	var wg sync.WaitGroup
	for i := range out {
		e := d.clients.engine(out[i].Address)
		if out[i].BootID = e.lastBootID(); out[i].BootID != "" && !fresh {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			bootID, err := d.queryBootID(ctx, e)
			out[i].BootID = bootID
			if err != nil {
				unanswered.Store(true)
			}
		}()
	}
	wg.Wait()
	return out, !unanswered.Load()
}

func (d *Daemon) queryBootID(ctx context.Context, e *engineClient) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, bootIDTimeout)
	defer cancel()
	load, err := e.Load(ctx)
	if err != nil {
		return "", err
	}
	e.setBootID(load.BootID)
	return load.BootID, nil
}

// queryRecordedAttempt queries the backend servers of a claimed attempt, whose
// owner is gone, for its state. The query's epoch makes them reject further
// steps of that owner.
func (d *Daemon) queryRecordedAttempt(rec claims.Record, answer func(claims.Evidence)) {
	ev := claims.Evidence{Epoch: rec.Epoch, Kind: claims.EvidenceNone}
	replica, ok := callControl(context.Background(), d.control, func() state.Replica {
		r, _ := d.control.slots.recordedReplica(rec.Slot)
		return r
	})
	if !ok || len(replica.Stages) == 0 || replica.Stages[0].Layers.Len() == 0 {
		answer(ev) // plain servers can't be queried
		return
	}
	stagesHolding := 0
	for _, s := range replica.Stages {
		ctx, cancel := context.WithTimeout(context.Background(), d.queryTimeout)
		resumed, err := d.clients.engine(s.Address).Resume(ctx, rec.Request, rec.Slot.Attempt, rec.Epoch)
		cancel()
		if err != nil {
			// A process that is gone has lost what it held; one that only does
			// not answer may be queried again.
			if !engine.NotSent(err) && !errors.Is(err, engine.ErrStaleEpoch) {
				ev.Kind = claims.EvidenceUnavailable
			}
			answer(ev)
			return
		}
		ev.BootIDs = append(ev.BootIDs, resumed.BootID)
		if resumed.Known && !resumed.Canceled {
			stagesHolding++
		}
	}
	ev.Kind = claims.EvidenceNotStarted
	if stagesHolding > 0 {
		// Stages may be one token apart; the request's state machine determines
		// the next step.
		ev.Kind = claims.EvidenceHeld
	}
	answer(ev)
}
