// Package retry decides whether a request whose attempt failed is retried, when, and
// which replicas the retry must avoid.
//
// Usage: one Budgets value per daemon, owned by one goroutine. Report each request that
// ended with a complete answer through Succeeded. After a failed attempt call Decide
// and act on its result: Allow permits exactly one more attempt, Deny ends the request
// with the given reason.
//
// A retry that the budgets deny may be asked of other daemons: Loans.Begin says whether to
// send a LoanRequest, which Budgets.Lend answers; after a granted one AllowLent returns the
// decision. The bound on retries is that of all daemons' budgets together.
//
// Failures handled here:
//
//   - Double execution: an attempt that may have run is repeated only if its request
//     is repeatable. Whether it may have run is a state.Execution, which
//     state.Dispatches derives from proof.
//   - Retry storm: when all replicas of a service fail, each request fails and, if
//     retried, multiplies the load on the replicas that still work. Dispatches per
//     second grow while completed answers fall. The service's budget permits retries
//     only as a share of recent successes, so without successes retries decrease to the
//     floor. The customer's budget keeps one customer's failing requests from using up
//     the retries of the others.
//   - A failing replica is chosen again because it answers with errors faster than
//     working replicas answer: Allow.Exclude lists it.
//   - Synchronized retries: the delay is drawn uniformly between zero and a bound
//     that doubles with each attempt.
package retry
