package request_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	answerTokens = 3
	stageCount   = 2
	replicaCount = 3
)

// value is the right token at an index.
func value(index int) int64 { return int64(100 + index) }

// cache is what one stage holds of one attempt.
type cache struct {
	known    bool
	epoch    state.Epoch
	next     int
	last     []byte
	tokens   []int64
	canceled bool
}

// stage is a model of one engine that obeys the engine contract.
type stage struct {
	index  int
	life   int
	dead   bool
	caches map[state.Attempt]*cache
}

func (s *stage) name() string { return fmt.Sprintf("life %d", s.life) }

func (s *stage) cache(a state.Attempt) *cache {
	c, ok := s.caches[a]
	if !ok {
		c = &cache{}
		s.caches[a] = c
	}
	return c
}

// world runs owners of one request against model stages. Everything that an
// owner asked for waits in ops until a choice says what becomes of it.
type world struct {
	now     time.Time
	plain   bool // a plain service: one stage that runs whatever reaches it
	stages  map[string]*stage
	owners  []*owner
	runs    map[string]int // by attempt, token and stage
	begun   map[state.Attempt]bool
	claim   claimRow
	zombies []request.RunStep // lost on the way, may still arrive
	// executions counts the calls of a plain service that ran.
	executions int
	faults     []string // broken promises
	history    []string // what happened, for a failure's report
}

// claimRow is the claim in the table service.
type claimRow struct {
	revision int // 0: there is none
	attempt  state.Attempt
	epoch    state.Epoch
	replica  state.Replica
}

// owner is one daemon's machine, with what it asked for and has no answer yet.
type owner struct {
	m       *request.Request
	ops     []request.Action
	tokens  []int64
	outcome state.Outcome
	drove   map[state.Attempt]bool // attempts that this owner sent steps of, or took over
	attempt request.AttemptStarted
	slots   int
	seen    int // revision of the claim row that this owner knows
}

func newWorld() *world {
	w := &world{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		stages: make(map[string]*stage),
		runs:   make(map[string]int),
		begun:  make(map[state.Attempt]bool),
	}
	for _, r := range replicas() {
		for i, s := range r.Stages {
			w.stages[s.Address] = &stage{index: i, caches: make(map[state.Attempt]*cache)}
		}
	}
	return w
}

func replicas() []state.Replica {
	var out []state.Replica
	for r := range replicaCount {
		replica := state.Replica{ID: state.ReplicaID(fmt.Sprintf("r%d", r))}
		for s := range stageCount {
			replica.Stages = append(replica.Stages, state.Stage{
				Address: fmt.Sprintf("r%d-s%d", r, s),
				Layers:  state.LayerRange{First: s, End: s + 1},
			})
		}
		out = append(out, replica)
	}
	return out
}

func (w *world) spec(neverRepeat bool, ownerTag uint32) request.Spec {
	s := request.Spec{
		ID: "q", NeverRepeat: neverRepeat, Plain: w.plain, MaxTokens: answerTokens, Prompt: "p",
		Owner: ownerTag, FirstTokenDeadline: w.now.Add(time.Second),
	}
	if w.plain {
		s.MaxTokens = 1
	}
	return s
}

func (w *world) add(spec request.Spec, seen int) *owner {
	o := &owner{m: request.New(spec), seen: seen, drove: make(map[state.Attempt]bool)}
	w.owners = append(w.owners, o)
	w.feed(o, request.Start{})
	return o
}

// feed gives one owner an event and takes its actions in.
func (w *world) feed(o *owner, ev request.Event) {
	w.note(o, "event", ev)
	for _, a := range slices.Clone(o.m.Step(w.now, ev)) {
		w.note(o, "action", a)
		w.take(o, a)
	}
}

// note writes down what happened to one owner.
func (w *world) note(o *owner, kind string, v any) {
	i := slices.Index(w.owners, o)
	w.history = append(w.history, fmt.Sprintf("owner %d %s %T%+v", i, kind, v, v))
}

func (w *world) take(o *owner, a request.Action) {
	switch a := a.(type) {
	case request.Emit:
		if a.Index != len(o.tokens) || a.Value != value(a.Index) {
			w.faults = append(w.faults, fmt.Sprintf("emitted %d=%d after %d tokens", a.Index, a.Value, len(o.tokens)))
		}
		o.tokens = append(o.tokens, a.Value)
	case request.End:
		if o.outcome != nil {
			w.faults = append(w.faults, "ended twice")
		}
		o.outcome = a.Outcome
	case request.AttemptStarted:
		o.attempt = a
	case request.ReleaseSlot:
		o.slots--
	case request.CancelSlotRequest:
		o.ops = slices.DeleteFunc(o.ops, func(a request.Action) bool { _, ask := a.(request.RequestSlot); return ask })
	case request.AbandonClaim:
		o.ops = slices.DeleteFunc(o.ops, func(a request.Action) bool { _, put := a.(request.PutClaim); return put })
		settled := request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable}
		if w.claim.revision != o.seen {
			settled = request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate}
		}
		w.feed(o, settled)
	case request.CancelAttempt, request.ReleaseAttempt, request.SettleClaim:
	case request.RunStep:
		o.drove[a.Step.Attempt] = true
		o.ops = append(o.ops, a)
	case request.QueryStage:
		o.drove[a.Step.Attempt] = true
		o.ops = append(o.ops, a)
	default:
		o.ops = append(o.ops, a)
	}
}

// run lets a step reach its stage.
func (w *world) run(a request.RunStep) request.Event {
	s := w.stages[a.Stage.Address]
	if s.dead {
		return request.StepUnanswered{Step: a.Step, NotSent: true}
	}
	if w.plain {
		w.executions++
		w.begun[a.Step.Attempt] = true
		return request.StepDone{Step: a.Step, Value: value(0), Text: "done", Final: true}
	}
	c := s.cache(a.Step.Attempt)
	if a.Stage.Life != s.name() || c.canceled {
		return request.StepNotRun{Step: a.Step}
	}
	if a.Step.Epoch < c.epoch {
		return request.StepNotRun{Step: a.Step, Superseded: true}
	}
	fresh := a.Prompt != "" || strings.HasSuffix(string(a.Input), "fresh")
	if !c.known && !fresh {
		return request.StepNotRun{Step: a.Step}
	}
	if c.known && c.next != a.Step.Token {
		return request.StepFailed{Step: a.Step}
	}
	c.known = true
	c.epoch = a.Step.Epoch
	c.next = a.Step.Token + 1
	w.record(s, a.Step)
	c.last = fmt.Appendf(nil, "%d:%d", a.Step.Token, s.index)
	if fresh {
		c.last = append(c.last, "fresh"...)
	}
	done := request.StepDone{Step: a.Step, Output: c.last}
	if s.index == stageCount-1 {
		done.Value = value(a.Step.Token)
		c.tokens = append(c.tokens, done.Value)
	}
	return done
}

// record notes that a stage ran its layers for a token, and checks the order.
func (w *world) record(s *stage, ref request.StepRef) {
	key := func(stage int) string { return fmt.Sprintf("%d/%d/%d", ref.Attempt, ref.Token, stage) }
	w.begun[ref.Attempt] = true
	w.runs[key(s.index)]++
	if w.runs[key(s.index)] > 1 {
		w.faults = append(w.faults, "layer ran twice: "+key(s.index))
	}
	if s.index > 0 && w.runs[key(s.index-1)] == 0 {
		w.faults = append(w.faults, "layer ran before the one below: "+key(s.index))
	}
}

// held lets a question reach its stage.
func (w *world) held(a request.QueryStage) request.Event {
	s := w.stages[a.Stage.Address]
	if s.dead {
		return request.StageQueryFailed{Step: a.Step, NotSent: true}
	}
	c := s.cache(a.Step.Attempt)
	if a.Step.Epoch < c.epoch {
		return request.StageQueryFailed{Step: a.Step, Superseded: true}
	}
	c.epoch = a.Step.Epoch
	return request.StageState{
		Step: a.Step, Life: s.name(), Known: c.known, Canceled: c.canceled, NextToken: c.next,
		LastOutput: c.last, Tokens: slices.Clone(c.tokens), Final: len(c.tokens) == answerTokens,
	}
}

// kill loses what a stage held.
func (w *world) kill(address string) {
	w.stages[address].dead = true
	w.stages[address].life++
	w.stages[address].caches = make(map[state.Attempt]*cache)
}

// usable cuts a replica to the stages that the service has.
func (w *world) usable(r state.Replica) state.Replica {
	if w.plain {
		r.Stages = r.Stages[:1]
	}
	return w.seen(r)
}

// seen returns r with the lives that its stages have now.
func (w *world) seen(r state.Replica) state.Replica {
	for i, s := range r.Stages {
		r.Stages[i].Life = w.stages[s.Address].name()
	}
	return r
}

// check returns every promise that the history broke.
func (w *world) check(neverRepeat bool) []string {
	faults := slices.Clone(w.faults)
	if neverRepeat && max(len(w.begun), w.executions) > 1 {
		faults = append(faults, fmt.Sprintf("never-repeat request began %d times", max(len(w.begun), w.executions)))
	}
	for i, o := range w.owners {
		if o.outcome == nil {
			continue
		}
		if o.slots != 0 {
			faults = append(faults, fmt.Sprintf("owner %d ended with %d slots", i, o.slots))
		}
		switch out := o.outcome.(type) {
		case state.Completed:
			if want := w.spec(neverRepeat, 0).MaxTokens; len(o.tokens) != want {
				faults = append(faults, fmt.Sprintf("completed with %d tokens", len(o.tokens)))
			}
		case state.Refused:
			for a := range o.drove {
				if w.begun[a] {
					faults = append(faults, fmt.Sprintf("refused as not run (%s), but it ran", out.Reason))
				}
			}
		}
	}
	return faults
}
