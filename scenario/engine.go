package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// work names what an engine knows: an attempt under the request id that it was
// begun with.
type work struct {
	request state.RequestID
	attempt state.Attempt
}

// cache is what one engine holds of one attempt.
type cache struct {
	known    bool
	epoch    state.Epoch
	next     int
	last     []byte
	tokens   []int64
	canceled bool
}

// Mishap is what befalls the next step that is sent to an engine.
type mishap int

const (
	mishapNone       mishap = iota
	mishapLoseAnswer        // the step runs, its answer is lost
	mishapSilent            // the connection went silent: nothing arrives
	mishapLate              // the step arrives when it was given up for lost
)

// engine is a model of one stage that obeys the engine contract.
type engine struct {
	w      *Simulation
	name   string
	stage  int
	stages int
	life   int
	dead   bool
	next   mishap
	caches map[work]*cache
}

func newEngine(w *Simulation, name string, stage, stages int) *engine {
	return &engine{w: w, name: name, stage: stage, stages: stages, life: 1, caches: make(map[work]*cache)}
}

// lifeName is what the engine's process calls itself.
func (e *engine) lifeName() string { return fmt.Sprintf("life-%d", e.life) }

// kill loses what the engine held.
func (e *engine) kill() {
	e.dead = true
	e.life++
	e.caches = make(map[work]*cache)
}

// restartAfter is how long an engine that crashed is gone.
const restartAfter = time.Second

// crash ends the engine's process, which starts anew by itself.
func (e *engine) crash() {
	e.w.say("%s crashes", e.name)
	e.kill()
	e.w.after(restartAfter, func() { e.dead = false })
}

func (e *engine) cache(k work) *cache {
	c, ok := e.caches[k]
	if !ok {
		c = &cache{}
		e.caches[k] = c
	}
	return c
}

// tokenValue is the right token at an index.
func tokenValue(index int) int64 { return int64(100 + index) }

// run executes a step that has arrived.
func (e *engine) run(id state.RequestID, a request.RunStep, maxTokens int) request.Event {
	c := e.cache(work{request: id, attempt: a.Step.Attempt})
	switch {
	case a.Stage.BootID != e.lifeName() || c.canceled:
		return request.StepNotRun{Step: a.Step}
	case a.Step.Epoch < c.epoch:
		e.w.say("%s bars a step of token %d: its sender was overtaken", e.name, a.Step.Token)
		return request.StepNotRun{Step: a.Step, Superseded: true}
	case !c.known && !fresh(a):
		return request.StepNotRun{Step: a.Step}
	case c.known && c.next != a.Step.Token:
		return request.StepFailed{Step: a.Step}
	}
	c.known = true
	c.epoch = a.Step.Epoch
	c.next = a.Step.Token + 1
	c.last = activation(a, e.stage)
	e.w.books.ran(e.w, work{request: id, attempt: a.Step.Attempt}, a.Step.Token, e.stage)
	done := request.StepDone{Step: a.Step, Output: c.last}
	if e.stage == e.stages-1 {
		done.Value = tokenValue(a.Step.Token)
		done.Final = a.Step.Token+1 >= maxTokens
		c.tokens = append(c.tokens, done.Value)
	}
	return done
}

// freshMark ends the outputs of an attempt's first token, whose stages have no
// cache of it yet.
const freshMark = "+"

func fresh(a request.RunStep) bool {
	return a.Prompt != "" || len(a.Input) > 0 && string(a.Input[len(a.Input)-1:]) == freshMark
}

func activation(a request.RunStep, stage int) []byte {
	out := fmt.Appendf(nil, "%d:%d", a.Step.Token, stage)
	if fresh(a) {
		out = append(out, freshMark...)
	}
	return out
}

// held answers what the engine holds of an attempt, and bars lower epochs.
func (e *engine) held(id state.RequestID, ref request.StepRef, maxTokens int) request.Event {
	c := e.cache(work{request: id, attempt: ref.Attempt})
	if ref.Epoch < c.epoch {
		return request.StageQueryFailed{Step: ref, Superseded: true}
	}
	c.epoch = ref.Epoch
	return request.StageState{
		Step: ref, Life: e.lifeName(), Known: c.known, Canceled: c.canceled, NextToken: c.next,
		LastOutput: c.last, Tokens: slices.Clone(c.tokens), Final: len(c.tokens) > 0 && c.next >= maxTokens,
	}
}

// cancel ends an attempt.
func (e *engine) cancel(k work) {
	e.cache(k).canceled = true
}
