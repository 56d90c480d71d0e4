// Package retry decides whether a request whose attempt failed is tried once
// more, when, and away from which replicas.
//
// The contract for the caller: one Budgets value a daemon, owned by one
// goroutine. Report each request that ended with a whole answer through
// Succeeded. After a failed attempt call Decide and obey it: Again permits
// exactly one more attempt, Stop ends the request with the given reason.
//
// What it guards against:
//
//   - Double execution. An attempt that may have run is repeated only if its
//     request is repeatable; "may have" is state.Execution, which
//     state.Dispatches derives from proof.
//   - A retry storm. When all replicas of a service fail, each request fails
//     and, retried, multiplies the load on what is still alive. It shows as
//     dispatches a second growing while completed answers fall. The budget of
//     the service permits retries only as a share of recent successes, so with
//     no success they fade to the floor; the budget of the customer keeps one
//     customer's failing requests from using up the retries of all others.
//   - The failing replica being chosen again because it answers (with errors)
//     faster than the working ones: Again.Exclude names it.
//   - Synchronised repeats: the delay is drawn uniformly from zero to a bound
//     that doubles with each attempt.
package retry
