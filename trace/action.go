package trace

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// actions formats the actions that a state machine returned, one string per action.
func (m masker) actions(as []request.Action) []string {
	return lo.Map(as, func(a request.Action, _ int) string { return m.action(a) })
}

// action formats an action as its name and the parameters that determine its effect.
func (m masker) action(a request.Action) string {
	switch a := a.(type) {
	case request.AcquireSlot:
		return fmt.Sprintf("ask_slot %s exclude=%s", formatOwned(uint64(a.Attempt)), list(a.Exclude))
	case request.CancelSlotRequest:
		return "stop_asking " + formatOwned(uint64(a.Attempt))
	case request.ReleaseSlot:
		return fmt.Sprintf("release_slot %s replica=%s unused=%t failed=%t", formatOwned(uint64(a.Grant)), a.Replica, a.Unused, a.Failed)
	case request.RunStep:
		return fmt.Sprintf("run_step %s at=%s prompt=%s given=%v input=%s last=%d", stepRef(a.Step), a.Stage.Backend,
			m.text(a.Prompt), m.values(a.PriorTokens), m.bytes(a.Input), m.value(a.LastToken))
	case request.QueryStage:
		return fmt.Sprintf("ask_held %s at=%s", stepRef(a.Step), a.Stage.Backend)
	case request.CancelAttempt:
		return fmt.Sprintf("cancel_attempt %s replica=%s", formatOwned(uint64(a.Attempt)), a.Replica.ID)
	case request.ReleaseAttempt:
		return fmt.Sprintf("release_attempt %s replica=%s", formatOwned(uint64(a.Attempt)), a.Replica.ID)
	case request.AttemptStarted:
		return fmt.Sprintf("attempt_began %s epoch=%s replica=%s", formatOwned(uint64(a.Attempt)), formatOwned(uint64(a.Epoch)), a.Replica.ID)
	case request.Emit:
		return fmt.Sprintf("emit %d value=%d text=%s", a.Index, m.value(a.Value), m.text(a.Text))
	case request.End:
		return "end " + outcome(a.Outcome)
	default:
		return claimAction(a)
	}
}

// claimAction formats the actions on claims and retries.
func claimAction(a request.Action) string {
	switch a := a.(type) {
	case request.PutClaim:
		return fmt.Sprintf("put_claim %s epoch=%s replica=%s proof=%t", formatOwned(uint64(a.Attempt)), formatOwned(uint64(a.Epoch)), a.Replica.ID, a.Proof.Valid())
	case request.AbandonClaim:
		return "abandon_claim"
	case request.VoidClaim:
		return fmt.Sprintf("void_claim proof=%t", a.Proof.Valid())
	case request.SettleClaim:
		return "settle_claim " + outcome(a.Outcome)
	case request.DecideRetry:
		return fmt.Sprintf("ask_retry %s reason=%s replica=%s tried=%s execution=%s",
			formatOwned(uint64(a.Attempt)), a.Reason, a.Replica, list(a.Tried), a.Execution)
	default:
		panic(fmt.Sprintf("trace: unknown action type %T", a))
	}
}

func list(ids []state.ReplicaID) string {
	return strings.Join(lo.Map(ids, func(id state.ReplicaID, _ int) string { return string(id) }), ",")
}

// Names of outcomes in traces.
const (
	outcomeCompleted = "completed"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeUnknown   = "unknown"
)

// outcome formats an outcome as its name and its fields.
func outcome(o state.Outcome) string {
	switch o := o.(type) {
	case state.Completed:
		return fmt.Sprintf("%s tokens=%d", outcomeCompleted, o.Tokens)
	case state.Refused:
		return fmt.Sprintf("%s reason=%s retry_after=%d", outcomeRefused, o.Reason, o.RetryAfter)
	case state.Failed:
		return fmt.Sprintf("%s reason=%s tokens=%d", outcomeFailed, o.Reason, o.Tokens)
	case state.Unknown:
		return fmt.Sprintf("%s reason=%s", outcomeUnknown, o.Reason)
	default:
		panic(fmt.Sprintf("trace: unknown outcome type %T", o))
	}
}
