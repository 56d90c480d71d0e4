package trace

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind is the type of an event of a request's state machine.
type Kind string

// The values of Kind.
const (
	KindStart            Kind = "start"
	KindTick             Kind = "tick"
	KindCancel           Kind = "cancel"
	KindSlotGranted      Kind = "slot_granted"
	KindSlotUnusable     Kind = "slot_unusable"
	KindSlotRefused      Kind = "slot_refused"
	KindClaimSettled     Kind = "claim_settled"
	KindVoidSettled      Kind = "void_settled"
	KindStepDone         Kind = "step_done"
	KindStepNotRun       Kind = "step_not_run"
	KindStepFailed       Kind = "step_failed"
	KindStepUnanswered   Kind = "step_unanswered"
	KindStageState       Kind = "held_answer"
	KindStageQueryFailed Kind = "held_unanswered"
	KindRetryDecided     Kind = "retry_decided"
)

// Event is one event of a request's state machine. Each kind uses only some of the
// fields; docs/TRACES.md lists them.
type Event struct {
	Kind Kind    `json:"kind"`
	Step stepRef `json:"step,omitzero"`

	Attempt        attempt           `json:"attempt,omitzero"`
	Replica        *Replica          `json:"replica,omitempty"`
	Reason         state.Reason      `json:"reason,omitempty"`
	RetryAfter     state.RetryAfter  `json:"retry_after,omitempty"`
	Result         string            `json:"result,omitempty"`
	Takeover       *Takeover         `json:"continue,omitempty"`
	Voided         bool              `json:"voided,omitempty"`
	Output         string            `json:"output,omitempty"` // digest
	Value          int64             `json:"value,omitempty"`  // digest
	Text           string            `json:"text,omitempty"`   // digest
	Final          bool              `json:"final,omitempty"`
	Superseded     bool              `json:"overtaken,omitempty"`
	NotSent        bool              `json:"not_sent,omitempty"`
	Silent         bool              `json:"silent,omitempty"`
	BootID         string            `json:"life,omitempty"`
	Known          bool              `json:"known,omitempty"`
	UnknownReplica bool              `json:"unknown,omitempty"`
	Canceled       bool              `json:"canceled,omitempty"`
	NextToken      int               `json:"next_token,omitempty"`
	Tokens         []int64           `json:"tokens,omitempty"` // digests
	Allowed        bool              `json:"allowed,omitempty"`
	NotBefore      int64             `json:"not_before,omitempty"` // in the unit of Line.At
	Exclude        []state.ReplicaID `json:"exclude,omitempty"`
}

var claimResults = []string{
	request.ClaimWon:           "won",
	request.ClaimTakenOver:     "continue",
	request.ClaimRefused:       "refused",
	request.ClaimHeldElsewhere: "elsewhere",
}

// event converts an event of a recording that started at the given time to a trace
// line.
func (m masker) event(ev request.Event, start time.Time) *Event {
	switch ev := ev.(type) {
	case request.Start:
		return &Event{Kind: KindStart}
	case request.Tick:
		return &Event{Kind: KindTick}
	case request.Cancel:
		return &Event{Kind: KindCancel}
	case request.SlotGranted:
		return &Event{Kind: KindSlotGranted, Attempt: attempt(ev.Grant), Replica: newReplica(ev.Replica)}
	case request.SlotUnusable:
		return &Event{Kind: KindSlotUnusable, Attempt: attempt(ev.Grant), Replica: &Replica{ID: ev.Replica}, UnknownReplica: ev.UnknownReplica}
	case request.SlotRefused:
		return &Event{Kind: KindSlotRefused, Reason: ev.Reason, RetryAfter: ev.RetryAfter}
	case request.ClaimSettled:
		return claimEvent(ev)
	case request.VoidSettled:
		return &Event{Kind: KindVoidSettled, Voided: ev.Voided}
	case request.RetryDecided:
		e := &Event{Kind: KindRetryDecided, Allowed: ev.Allowed, Exclude: ev.Exclude, Reason: ev.Reason}
		if !ev.At.IsZero() {
			e.NotBefore = int64(ev.At.Sub(start))
		}
		return e
	default:
		return m.stepEvent(ev)
	}
}

// stepEvent converts the result of a call to a stage to a trace line.
func (m masker) stepEvent(ev request.Event) *Event {
	switch ev := ev.(type) {
	case request.StepDone:
		return &Event{
			Kind: KindStepDone, Step: stepRef(ev.Step), Output: m.bytes(ev.Output),
			Value: m.value(ev.Value), Text: m.text(ev.Text), Final: ev.Final,
		}
	case request.StepNotRun:
		return &Event{Kind: KindStepNotRun, Step: stepRef(ev.Step), Superseded: ev.Superseded, BootID: ev.BootID}
	case request.StepFailed:
		return &Event{Kind: KindStepFailed, Step: stepRef(ev.Step)}
	case request.StepUnanswered:
		return &Event{Kind: KindStepUnanswered, Step: stepRef(ev.Step), NotSent: ev.NotSent, Silent: ev.Silent}
	case request.StageState:
		return &Event{
			Kind: KindStageState, Step: stepRef(ev.Step), BootID: ev.Life, Known: ev.Known, Canceled: ev.Canceled,
			NextToken: ev.NextToken, Output: m.bytes(ev.LastOutput), Tokens: m.values(ev.Tokens), Final: ev.Final,
		}
	case request.StageQueryFailed:
		return &Event{Kind: KindStageQueryFailed, Step: stepRef(ev.Step), Superseded: ev.Superseded, NotSent: ev.NotSent}
	default:
		panic(fmt.Sprintf("trace: unknown event type %T", ev))
	}
}

func claimEvent(ev request.ClaimSettled) *Event {
	e := &Event{Kind: KindClaimSettled, Result: claimResults[ev.Result], Reason: ev.Reason}
	if ev.Result == request.ClaimTakenOver {
		e.Takeover = newTakeover(ev.Takeover)
	}
	return e
}

func newTakeover(t request.Takeover) *Takeover {
	return &Takeover{Attempt: attempt(t.Attempt), Epoch: epoch(t.Epoch), Replica: *newReplica(t.Replica)}
}

func newReplica(r state.Replica) *Replica {
	return &Replica{ID: r.ID, Stages: lo.Map(r.Stages, func(s state.Stage, _ int) Stage {
		return Stage{Backend: s.Backend, BootID: s.BootID}
	})}
}

func newRequest(m masker, s request.Spec, start time.Time) *Request {
	q := &Request{
		ID: s.ID, Service: s.Service, Customer: s.Customer, Class: s.Class, Key: m.text(string(s.Key)),
		Priority: s.Priority, Plain: s.Plain, NeverRepeat: s.NeverRepeat, Prompt: m.text(s.Prompt),
		MaxTokens: s.MaxTokens, Owner: s.Owner, Deadline: int64(s.FirstTokenDeadline.Sub(start)),
	}
	if s.Takeover != nil {
		q.Takeover = newTakeover(*s.Takeover)
	}
	return q
}
