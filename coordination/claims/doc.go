// Package claims runs requests that must never be repeated at most once.
//
// A Claim belongs to one such request at one daemon. Before the request is
// dispatched, the claim writes a row under the request's idempotency key by a
// conditional write; Dispatch is its permission to send the first byte. A Batcher
// at the key's home daemon combines the writes of many claims into few
// transactions.
//
// # Safety
//
// Safety rests on the conditional write alone. No clock, lease or membership view
// is part of the argument: they only decide when to try. The argument has three
// steps.
//
//   - Each write of a claim carries its nonce and a sequence number, and is
//     conditional on the revision that the claim saw. A claim dispatches only
//     once the row is known to hold its latest write. Any older write of its own
//     that is still in flight is conditional on a revision that has passed, so it
//     can never be committed later and reopen the key.
//   - A row is voided only by a claimant that has proof that nothing ran and that
//     will not dispatch afterwards, so a voided row may be claimed again.
//   - A claimed row of another daemon is taken over by a conditional write with a
//     higher epoch. The work is run again only if the recorded backend servers
//     report that the attempt never started and that they will not start it any
//     more. The report counts only if no backend server has lost its memory since
//     the claim (Backend.BootID). Without it the outcome is unknown for good.
//
// # Failures guarded against
//
//   - The store's answer is lost while the write takes effect, at once or later.
//   - The store is down.
//   - A daemon dies at any step.
//   - A paused daemon resumes after its request was taken over.
//   - The same request arrives at two daemons at once.
//
// # Contract for the caller
//
//   - Answer each CallStore exactly once: after the caller's own timeout with
//     store.Unanswered. For a call sent to a key's home that timeout is longer
//     than BatchConfig.WriteTimeout.
//   - Send a Tick at NextTick.
//   - Keep a Claim until Released even if its caller has left, and pass a repeat
//     of the key at the same daemon to the kept Claim as Reuse.
//   - Follow a Dispatch that is not sent by GiveUp with proof, or by Ended.
package claims
