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

// value returns the correct token at an index.
func value(index int) int64 { return int64(100 + index) }

// cache is the state that one stage holds for one attempt.
type cache struct {
	known    bool
	epoch    state.Epoch
	next     int
	last     []byte
	tokens   []int64
	canceled bool
}

// stage models one engine that obeys the engine contract.
type stage struct {
	index       int
	incarnation int
	dead        bool
	caches      map[state.Attempt]*cache
}

func (s *stage) incarnationName() string { return fmt.Sprintf("incarnation %d", s.incarnation) }

func (s *stage) cache(a state.Attempt) *cache {
	c, ok := s.caches[a]
	if !ok {
		c = &cache{}
		s.caches[a] = c
	}
	return c
}

// simulation runs the owners of one request against model stages. Each action of an
// owner that needs an answer is kept in pending until a random choice decides its
// outcome.
type simulation struct {
	now          time.Time
	plain        bool // a plain service: one stage that runs every step that arrives
	stages       map[string]*stage
	owners       []*owner
	runs         map[string]int // by attempt, token and stage
	started      map[state.Attempt]bool
	claim        claimRow
	delayedSteps []request.RunStep // given up as lost, may still arrive
	// executions counts the calls that a plain service ran.
	executions int
	violations []string // violated guarantees
	log        []string // all events and actions, for failure messages
}

// claimRow is the claim in the table service.
type claimRow struct {
	revision int // 0 if there is no row
	attempt  state.Attempt
	epoch    state.Epoch
	replica  state.Replica
}

// owner is the state machine of one daemon with its unanswered actions.
type owner struct {
	m             *request.Request
	pending       []request.Action
	tokens        []int64
	outcome       state.Outcome
	driven        map[state.Attempt]bool // attempts that this owner sent steps for or took over
	attempt       request.AttemptStarted
	slots         int
	knownRevision int // last revision of the claim row that this owner saw
}

func newSimulation() *simulation {
	w := &simulation{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		stages:  make(map[string]*stage),
		runs:    make(map[string]int),
		started: make(map[state.Attempt]bool),
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

func (w *simulation) spec(neverRepeat bool, ownerTag uint32) request.Spec {
	s := request.Spec{
		ID: "q", NeverRepeat: neverRepeat, Plain: w.plain, MaxTokens: answerTokens, Prompt: "p",
		Owner: ownerTag, FirstTokenDeadline: w.now.Add(time.Second),
	}
	if w.plain {
		s.MaxTokens = 1
	}
	return s
}

func (w *simulation) add(spec request.Spec, seen int) *owner {
	o := &owner{m: request.New(spec), knownRevision: seen, driven: make(map[state.Attempt]bool)}
	w.owners = append(w.owners, o)
	w.feed(o, request.Start{})
	return o
}

// feed passes an event to one owner and performs its actions.
func (w *simulation) feed(o *owner, ev request.Event) {
	w.logEvent(o, "event", ev)
	for _, a := range slices.Clone(o.m.Step(w.now, ev)) {
		w.logEvent(o, "action", a)
		w.perform(o, a)
	}
}

// logEvent records an event or action of one owner.
func (w *simulation) logEvent(o *owner, kind string, v any) {
	i := slices.Index(w.owners, o)
	w.log = append(w.log, fmt.Sprintf("owner %d %s %T%+v", i, kind, v, v))
}

func (w *simulation) perform(o *owner, a request.Action) {
	switch a := a.(type) {
	case request.Emit:
		if a.Index != len(o.tokens) || a.Value != value(a.Index) {
			w.violations = append(w.violations, fmt.Sprintf("emitted %d=%d after %d tokens", a.Index, a.Value, len(o.tokens)))
		}
		o.tokens = append(o.tokens, a.Value)
	case request.End:
		if o.outcome != nil {
			w.violations = append(w.violations, "ended twice")
		}
		o.outcome = a.Outcome
	case request.AttemptStarted:
		o.attempt = a
	case request.ReleaseSlot:
		o.slots--
	case request.CancelSlotRequest:
		o.pending = slices.DeleteFunc(o.pending, func(a request.Action) bool { _, isRequest := a.(request.AcquireSlot); return isRequest })
	case request.AbandonClaim:
		o.pending = slices.DeleteFunc(o.pending, func(a request.Action) bool { _, put := a.(request.PutClaim); return put })
		settled := request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable}
		if w.claim.revision != o.knownRevision {
			settled = request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate}
		}
		w.feed(o, settled)
	case request.CancelAttempt, request.ReleaseAttempt, request.SettleClaim:
	case request.RunStep:
		o.driven[a.Step.Attempt] = true
		o.pending = append(o.pending, a)
	case request.QueryStage:
		o.driven[a.Step.Attempt] = true
		o.pending = append(o.pending, a)
	default:
		o.pending = append(o.pending, a)
	}
}

// run delivers a step to its stage.
func (w *simulation) run(a request.RunStep) request.Event {
	s := w.stages[a.Stage.Address]
	if s.dead {
		return request.StepUnanswered{Step: a.Step, NotSent: true}
	}
	if w.plain {
		w.executions++
		w.started[a.Step.Attempt] = true
		return request.StepDone{Step: a.Step, Value: value(0), Text: "done", Final: true}
	}
	c := s.cache(a.Step.Attempt)
	if a.Stage.BootID != s.incarnationName() || c.canceled {
		return request.StepNotRun{Step: a.Step, BootID: s.incarnationName()}
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

// record counts the run of a stage's layers for a token and checks the order.
func (w *simulation) record(s *stage, ref request.StepRef) {
	key := func(stage int) string { return fmt.Sprintf("%d/%d/%d", ref.Attempt, ref.Token, stage) }
	w.started[ref.Attempt] = true
	w.runs[key(s.index)]++
	if w.runs[key(s.index)] > 1 {
		w.violations = append(w.violations, "layer ran twice: "+key(s.index))
	}
	if s.index > 0 && w.runs[key(s.index-1)] == 0 {
		w.violations = append(w.violations, "layer ran before its predecessor: "+key(s.index))
	}
}

// query delivers a state query to its stage.
func (w *simulation) query(a request.QueryStage) request.Event {
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
		Step: a.Step, Life: s.incarnationName(), Known: c.known, Canceled: c.canceled, NextToken: c.next,
		LastOutput: c.last, Tokens: slices.Clone(c.tokens), Final: len(c.tokens) == answerTokens,
	}
}

// kill stops a stage and drops its state.
func (w *simulation) kill(address string) {
	w.stages[address].dead = true
	w.stages[address].incarnation++
	w.stages[address].caches = make(map[state.Attempt]*cache)
}

// grantable reduces a replica to the stages of the service.
func (w *simulation) grantable(r state.Replica) state.Replica {
	if w.plain {
		r.Stages = r.Stages[:1]
	}
	return w.withIncarnations(r)
}

// withIncarnations returns r with the current incarnations of its stages.
func (w *simulation) withIncarnations(r state.Replica) state.Replica {
	for i, s := range r.Stages {
		r.Stages[i].BootID = w.stages[s.Address].incarnationName()
	}
	return r
}

// check returns all violations of the package's guarantees.
func (w *simulation) check(neverRepeat bool) []string {
	faults := slices.Clone(w.violations)
	if neverRepeat && max(len(w.started), w.executions) > 1 {
		faults = append(faults, fmt.Sprintf("never-repeat request started %d times", max(len(w.started), w.executions)))
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
			for a := range o.driven {
				if w.started[a] {
					faults = append(faults, fmt.Sprintf("refused as not run (%s) although it ran", out.Reason))
				}
			}
		}
	}
	return faults
}
