package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// attemptKey identifies an attempt at an engine, by the request ID under which it was
// started.
type attemptKey struct {
	request state.RequestID
	attempt state.Attempt
}

// cache is the state that an engine holds for one attempt.
type cache struct {
	known      bool
	epoch      state.Epoch
	nextToken  int
	lastOutput []byte
	tokens     []int64
	canceled   bool
}

// stepFault is a fault injected into the next step that is sent to an engine.
type stepFault int

const (
	faultNone         stepFault = iota
	faultAnswerLost             // the step runs, but its answer is lost
	faultUnresponsive           // the connection is unresponsive: nothing arrives
	faultLate                   // the step arrives after the daemon has timed it out
)

// engine is a model of one stage that implements the engine contract.
type engine struct {
	sim         *Simulation
	name        string
	stage       int
	stages      int
	incarnation int
	dead        bool
	nextFault   stepFault
	caches      map[attemptKey]*cache
}

func newEngine(sim *Simulation, name string, stage, stages int) *engine {
	return &engine{sim: sim, name: name, stage: stage, stages: stages, incarnation: 1, caches: make(map[attemptKey]*cache)}
}

// bootID returns the boot ID of the engine's current process.
func (e *engine) bootID() string { return fmt.Sprintf("life-%d", e.incarnation) }

// kill ends the engine's process, with all its caches.
func (e *engine) kill() {
	e.dead = true
	e.incarnation++
	e.caches = make(map[attemptKey]*cache)
}

// restartDelay is the time from an engine's crash to its restart.
const restartDelay = time.Second

// crash ends the engine's process, which restarts after restartDelay.
func (e *engine) crash() {
	e.sim.printf("%s crashes", e.name)
	e.kill()
	e.sim.after(restartDelay, func() { e.dead = false })
}

func (e *engine) cache(k attemptKey) *cache {
	c, ok := e.caches[k]
	if !ok {
		c = &cache{}
		e.caches[k] = c
	}
	return c
}

// tokenValue returns the expected token at an index.
func tokenValue(index int) int64 { return int64(100 + index) }

// runStep executes a step that has arrived at the engine.
func (e *engine) runStep(id state.RequestID, a request.RunStep, maxTokens int) request.Event {
	c := e.cache(attemptKey{request: id, attempt: a.Step.Attempt})
	switch {
	case a.Stage.BootID != e.bootID() || c.canceled:
		return request.StepNotRun{Step: a.Step, BootID: e.bootID()}
	case a.Step.Epoch < c.epoch:
		e.sim.printf("%s rejects a step of token %d: its epoch is stale", e.name, a.Step.Token)
		return request.StepNotRun{Step: a.Step, Superseded: true}
	case !c.known && !isFirstToken(a):
		return request.StepNotRun{Step: a.Step}
	case c.known && c.nextToken != a.Step.Token:
		return request.StepFailed{Step: a.Step}
	}
	c.known = true
	c.epoch = a.Step.Epoch
	c.nextToken = a.Step.Token + 1
	c.lastOutput = activation(a, e.stage)
	e.sim.ledger.recordLayerRun(e.sim, attemptKey{request: id, attempt: a.Step.Attempt}, a.Step.Token, e.stage)
	done := request.StepDone{Step: a.Step, Output: c.lastOutput}
	if e.stage == e.stages-1 {
		done.Value = tokenValue(a.Step.Token)
		done.Final = a.Step.Token+1 >= maxTokens
		c.tokens = append(c.tokens, done.Value)
	}
	return done
}

// firstTokenMark ends the stage outputs of an attempt's first token, to distinguish
// a stage that has no cache yet from one that lost it.
const firstTokenMark = "+"

func isFirstToken(a request.RunStep) bool {
	return a.Prompt != "" || len(a.Input) > 0 && string(a.Input[len(a.Input)-1:]) == firstTokenMark
}

func activation(a request.RunStep, stage int) []byte {
	out := fmt.Appendf(nil, "%d:%d", a.Step.Token, stage)
	if isFirstToken(a) {
		out = append(out, firstTokenMark...)
	}
	return out
}

// queryState returns the state held for an attempt, and fences lower epochs.
func (e *engine) queryState(id state.RequestID, ref request.StepRef, maxTokens int) request.Event {
	c := e.cache(attemptKey{request: id, attempt: ref.Attempt})
	if ref.Epoch < c.epoch {
		return request.StageQueryFailed{Step: ref, Superseded: true}
	}
	c.epoch = ref.Epoch
	return request.StageState{
		Step: ref, Life: e.bootID(), Known: c.known, Canceled: c.canceled, NextToken: c.nextToken,
		LastOutput: c.lastOutput, Tokens: slices.Clone(c.tokens), Final: len(c.tokens) > 0 && c.nextToken >= maxTokens,
	}
}

// cancel marks an attempt as canceled.
func (e *engine) cancel(k attemptKey) {
	e.cache(k).canceled = true
}
