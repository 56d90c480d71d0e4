package trace

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind names an event of a request's machine.
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

// Event is one event of a request's machine. The kinds use the fields that they
// need; docs/TRACES.md lists which.
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
	NotBefore      int64             `json:"not_before,omitempty"` // as At
	Exclude        []state.ReplicaID `json:"exclude,omitempty"`
}

var claimResults = []string{
	request.ClaimWon:           "won",
	request.ClaimTakenOver:     "continue",
	request.ClaimRefused:       "refused",
	request.ClaimHeldElsewhere: "elsewhere",
}

// event writes an event of a machine whose recording began at began.
func (m mask) event(ev request.Event, began time.Time) *Event {
	switch ev := ev.(type) {
	case request.Start:
		return &Event{Kind: KindStart}
	case request.Tick:
		return &Event{Kind: KindTick}
	case request.Cancel:
		return &Event{Kind: KindCancel}
	case request.SlotGranted:
		return &Event{Kind: KindSlotGranted, Attempt: attempt(ev.Grant), Replica: replicaLine(ev.Replica)}
	case request.SlotUnusable:
		return &Event{Kind: KindSlotUnusable, Attempt: attempt(ev.Grant), Replica: &Replica{ID: ev.Replica}, UnknownReplica: ev.UnknownReplica}
	case request.SlotRefused:
		return &Event{Kind: KindSlotRefused, Reason: ev.Reason, RetryAfter: ev.RetryAfter}
	case request.ClaimSettled:
		return claimLine(ev)
	case request.VoidSettled:
		return &Event{Kind: KindVoidSettled, Voided: ev.Voided}
	case request.RetryDecided:
		e := &Event{Kind: KindRetryDecided, Allowed: ev.Allowed, Exclude: ev.Exclude, Reason: ev.Reason}
		if !ev.At.IsZero() {
			e.NotBefore = int64(ev.At.Sub(began))
		}
		return e
	default:
		return m.stepEvent(ev)
	}
}

// stepEvent writes what a stage answered, or didn't.
func (m mask) stepEvent(ev request.Event) *Event {
	switch ev := ev.(type) {
	case request.StepDone:
		return &Event{
			Kind: KindStepDone, Step: stepRef(ev.Step), Output: m.bytes(ev.Output),
			Value: m.value(ev.Value), Text: m.text(ev.Text), Final: ev.Final,
		}
	case request.StepNotRun:
		return &Event{Kind: KindStepNotRun, Step: stepRef(ev.Step), Superseded: ev.Superseded}
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
		panic(fmt.Sprintf("trace: event %T has no line", ev))
	}
}

func claimLine(ev request.ClaimSettled) *Event {
	e := &Event{Kind: KindClaimSettled, Result: claimResults[ev.Result], Reason: ev.Reason}
	if ev.Result == request.ClaimTakenOver {
		e.Takeover = takeoverLine(ev.Takeover)
	}
	return e
}

func takeoverLine(t request.Takeover) *Takeover {
	return &Takeover{Attempt: attempt(t.Attempt), Epoch: epoch(t.Epoch), Replica: *replicaLine(t.Replica)}
}

func replicaLine(r state.Replica) *Replica {
	return &Replica{ID: r.ID, Stages: lo.Map(r.Stages, func(s state.Stage, _ int) Stage {
		return Stage{Backend: s.Backend, BootID: s.BootID}
	})}
}

func requestLine(m mask, s request.Spec, began time.Time) *Request {
	q := &Request{
		ID: s.ID, Service: s.Service, Customer: s.Customer, Class: s.Class, Key: m.text(string(s.Key)),
		Priority: s.Priority, Plain: s.Plain, NeverRepeat: s.NeverRepeat, Prompt: m.text(s.Prompt),
		MaxTokens: s.MaxTokens, Owner: s.Owner, Deadline: int64(s.FirstTokenDeadline.Sub(began)),
	}
	if s.Takeover != nil {
		q.Takeover = takeoverLine(*s.Takeover)
	}
	return q
}
