// Package route is the entry daemon's side of slot allocation: it groups replicas into
// pools, determines each pool's home daemon, and obtains one slot for each attempt.
//
// # Requirements on the caller
//
// One goroutine calls Step. Actions are valid until the next Step. Every AcquireSlot
// ends in exactly one Granted or Refused, at the latest shortly after its deadline,
// unless the caller ends it first by CancelAcquire. The caller ends every Granted by
// ReleaseSlot. PoolsAssigned actions go to this daemon's home.Home as
// home.PoolsAssigned. home.ReportQuery and the answers of homes are fed back here as
// Received.
//
// # Failures handled here
//
//   - A home dies or is replaced: its waiting requests are sent to the next home as
//     soon as the view changes, with the remaining budget.
//   - Views differ for a moment: a daemon that is not the home says so, and the request
//     is sent again a little later.
//   - A message is lost with its connection: Reconnected repeats the requests, and
//     Renewal digests find the remaining differences.
//   - A grant arrives for a replica that is known here to be leaving: it is returned
//     unused with outcome OutcomeLeaving, which informs the home.
package route
