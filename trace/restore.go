package trace

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// restore converts a trace line back to the event.
func (e *Event) restore(start time.Time) (request.Event, error) {
	step := request.StepRef(e.Step)
	switch e.Kind {
	case KindStart:
		return request.Start{}, nil
	case KindTick:
		return request.Tick{}, nil
	case KindCancel:
		return request.Cancel{}, nil
	case KindSlotGranted:
		return e.restoreGrant()
	case KindSlotUnusable:
		return e.restoreUnusable()
	case KindSlotRefused:
		return request.SlotRefused{Reason: e.Reason, RetryAfter: e.RetryAfter}, nil
	case KindClaimSettled:
		return e.restoreClaim()
	case KindVoidSettled:
		return request.VoidSettled{Voided: e.Voided}, nil
	case KindStepDone:
		return request.StepDone{Step: step, Output: outputBytes(e.Output), Value: e.Value, Text: e.Text, Final: e.Final}, nil
	case KindStepNotRun:
		return request.StepNotRun{Step: step, Superseded: e.Superseded, BootID: e.BootID}, nil
	case KindStepFailed:
		return request.StepFailed{Step: step}, nil
	case KindStepUnanswered:
		return request.StepUnanswered{Step: step, NotSent: e.NotSent, Silent: e.Silent}, nil
	case KindStageState:
		return request.StageState{
			Step: step, Life: e.BootID, Known: e.Known, Canceled: e.Canceled, NextToken: e.NextToken,
			LastOutput: outputBytes(e.Output), Tokens: e.Tokens, Final: e.Final,
		}, nil
	case KindStageQueryFailed:
		return request.StageQueryFailed{Step: step, Superseded: e.Superseded, NotSent: e.NotSent}, nil
	case KindRetryDecided:
		return request.RetryDecided{
			Allowed: e.Allowed, At: start.Add(time.Duration(e.NotBefore)), Exclude: e.Exclude, Reason: e.Reason,
		}, nil
	default:
		return nil, fmt.Errorf("event: unknown kind %q", e.Kind)
	}
}

func (e *Event) restoreGrant() (request.Event, error) {
	if e.Replica == nil || len(e.Replica.Stages) == 0 {
		return nil, fmt.Errorf("event %s: replica has no stages", e.Kind)
	}
	return request.SlotGranted{Grant: state.Attempt(e.Attempt), Replica: e.Replica.restore()}, nil
}

func (e *Event) restoreUnusable() (request.Event, error) {
	if e.Replica == nil {
		return nil, fmt.Errorf("event %s: replica is missing", e.Kind)
	}
	return request.SlotUnusable{Grant: state.Attempt(e.Attempt), Replica: e.Replica.ID, UnknownReplica: e.UnknownReplica}, nil
}

func (e *Event) restoreClaim() (request.Event, error) {
	result := slices.Index(claimResults, e.Result)
	if result < 0 {
		return nil, fmt.Errorf("event %s: unknown result %q", e.Kind, e.Result)
	}
	ev := request.ClaimSettled{Result: request.ClaimResult(result), Reason: e.Reason}
	if ev.Result == request.ClaimTakenOver {
		if e.Takeover == nil || len(e.Takeover.Replica.Stages) == 0 {
			return nil, fmt.Errorf("event %s: takeover is missing", e.Kind)
		}
		ev.Takeover = e.Takeover.restore()
	}
	return ev, nil
}

func (r *Replica) restore() state.Replica {
	return state.Replica{ID: r.ID, Stages: lo.Map(r.Stages, func(s Stage, _ int) state.Stage {
		return state.Stage{Backend: s.Backend, BootID: s.BootID}
	})}
}

func (t *Takeover) restore() request.Takeover {
	return request.Takeover{
		Attempt: state.Attempt(t.Attempt), Epoch: state.Epoch(t.Epoch), Replica: t.Replica.restore(),
	}
}

// restore converts a request line back to a spec, with the fields that the state
// machine uses.
func (q *Request) restore(start time.Time) (request.Spec, error) {
	s := request.Spec{
		ID: q.ID, Service: q.Service, Customer: q.Customer, Class: q.Class, Key: state.IdempotencyKey(q.Key),
		Priority: q.Priority, Plain: q.Plain, NeverRepeat: q.NeverRepeat, Prompt: q.Prompt,
		MaxTokens: q.MaxTokens, Owner: q.Owner, FirstTokenDeadline: start.Add(time.Duration(q.Deadline)),
	}
	if q.Takeover == nil {
		return s, nil
	}
	if len(q.Takeover.Replica.Stages) == 0 || q.NeverRepeat {
		return s, fmt.Errorf("request: a takeover requires stages and a request that may be repeated")
	}
	t := q.Takeover.restore()
	s.Takeover = &t
	return s, nil
}
