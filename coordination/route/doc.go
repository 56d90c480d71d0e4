// Package route is the entry daemon's side of slots: it groups replicas into
// pools, knows each pool's home daemon, and gets one slot for each attempt.
//
// # Contract for the caller
//
// One goroutine calls Step; actions are valid until the next Step. Every Want
// ends in exactly one Granted or Refused, at the latest shortly after its
// deadline, unless the caller ends it first by Cancel. Every Granted is ended
// by the caller's Done. Assigned actions go to this daemon's home.Home as
// home.PoolsAssigned; home.ReportQuery and the answers of homes come back here
// as Received.
//
// # Failures that the guards are for
//
//   - A home dies or is replaced: its waits are asked again at the next home as
//     soon as the view changes, with what is left of their budget.
//   - Views differ for a moment: a daemon that is not home says so, and the ask
//     is sent again a little later.
//   - A message is lost with its connection: Reconnected repeats the asks, and
//     Renewal digests find what is left.
//   - A grant arrives for a replica that is known here to be leaving: it is
//     given back unused, with that word for the home.
package route
