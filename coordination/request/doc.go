// Package request decides the life of one request: slot, claim, steps through
// the stages of a replica, recovery of a lost step, retries, and the outcome.
//
// A Request is a pure state machine. Its owner, one goroutine of the entry
// daemon, feeds it events through Step, carries out the returned actions in
// order, and feeds their results back as events. It has no clock: a machine that
// waits for a time says so through NextTick, and the owner then sends Tick.
//
// The owner's contract:
//
//   - Start comes first and once; End is the last action and comes once.
//   - Every AskSlot, PutClaim, AskRetry, RunStep and AskHeld is answered by
//     exactly one event, however late; an answer that came too late is told from
//     a current one by its attempt, epoch, token and stage, and ignored.
//   - RunStep is sent to the backend server at most once. A transport that can't
//     tell whether it arrived answers StepUnanswered and does not send it again.
//   - Emit gives each index once, in order, without a gap.
//
// What it holds under every order of events:
//
//   - A step that may have run is never sent again on the same KV cache. After
//     StepUnanswered the stage is asked (AskHeld), which bars the lost step by a
//     higher epoch; only then is it sent again, or its output taken over.
//   - A request of a class that is never repeated begins at most one attempt.
//     A second attempt needs proof that the first never began.
//   - Refused is built only from the proof of state.Dispatches.
package request
