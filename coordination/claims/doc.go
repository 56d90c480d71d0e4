// Package claims keeps requests that may never be repeated to one execution.
//
// A Claim belongs to one such request at one daemon. It writes a row under the
// request's idempotency key, by a conditional write, before the request is
// dispatched; Dispatch is its permission to send the first byte. A Batcher at
// the key's home daemon gathers the writes of many claims into few
// transactions.
//
// Safety rests on the conditional write alone. No clock, lease or membership
// view is part of the argument: they only choose when to try. The argument has
// three steps.
//
//   - Each write of a claim carries its nonce and a sequence number, and holds
//     only at the revision that the claim saw. A claim dispatches only once the
//     row is known to hold its latest write. Any older write of its own that is
//     still under way is conditioned on a revision that has passed, so it can
//     never land later and reopen the key.
//   - A row is voided only by a claimant that has proof that nothing ran and
//     that will not dispatch afterwards, so a voided row may be claimed again.
//   - A claimed row of another daemon is taken over by a conditional write with
//     a higher epoch, and is run again only on the word of the recorded backend
//     servers that the attempt never began and is barred from beginning. That
//     word counts only if no backend server lost its memory since the claim
//     (Backend.Boot). Without it the outcome is unknown for good.
//
// Failures guarded against: a store's answer that was lost while its write took
// effect, or takes effect later; a store that is down; a daemon that dies at
// any step; a paused daemon that wakes after its request was taken over; the
// same request at two daemons at once.
//
// The caller's contract: answer each CallStore exactly once (store.Unanswered
// after its own timeout, which for one sent to a key's home is longer than
// BatchConfig.Patience), tick at NextTick, keep a Claim until Released even if
// its caller left, and feed a repeat of the key at the same daemon to the kept
// Claim as Reuse. A Dispatch that is not sent must be followed by GiveUp with
// proof, or by Ended.
package claims
