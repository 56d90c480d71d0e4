// Package request drives the lifecycle of one request: slot, claim, steps through the
// stages of a replica, recovery of a lost step, retries, and the outcome.
//
// A Request is a pure state machine. Its owner, a goroutine of the entry daemon, passes
// it events through Step, carries out the returned actions in order, and feeds the
// results back as events. The machine has no clock: if it waits for a point in time,
// NextTick returns it, and the owner sends a Tick then.
//
// Requirements on the owner:
//
//   - Start is the first event and is sent once. End is the last action and occurs
//     once.
//   - Every AcquireSlot, PutClaim, DecideRetry, RunStep and QueryStage is answered
//     by exactly one event, however late. An answer that comes too late is recognized
//     by its attempt, epoch, token and stage, and is ignored.
//   - RunStep is sent to the backend server at most once. A transport that cannot
//     tell whether it arrived reports StepUnanswered and does not resend it.
//   - Emit delivers each index once, in order and without gaps.
//
// Invariants for every order of events:
//
//   - A step that may have run is never sent again for the same KV cache. After
//     StepUnanswered the stage is queried (QueryStage), which fences the lost step by a
//     higher epoch. Only then is it sent again, or its output taken over.
//   - A request of a never-repeat class starts at most one attempt. A second attempt
//     needs proof that the first never started.
//   - Refused is constructed only from the proof of state.Dispatches.
package request
