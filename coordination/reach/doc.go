// Package reach decides whether a daemon has lost its links to the servers of a service, and
// keeps which other daemons have.
//
// Connections that fail say little by themselves: the servers may be gone for everyone. A
// daemon is cut off from a service if new connections to most of its servers fail, and another
// daemon reaches at least half of the same servers. Connections that are already open are no
// evidence: they may live on while new ones fail.
//
// # The caller's contract
//
// The caller reports each new connection, established or failed, and runs the check that CheckDue
// returns: it connects to a sample of the service's servers, asks other daemons whether they
// reach those that it does not, and reports the result with Checked. While CutOff reports true it
// repeats the check every RecheckInterval, and tells the other daemons as often as Notice says. It
// runs the check that CheckTold returns for each service that another daemon's notice names, and
// checks the other services once it is cut off from one.
//
// # Failures that the package guards against
//
//   - gateway-cut-off-from-servers: a daemon whose links to the servers are lost keeps
//     attracting requests that the others could serve.
//   - cut-off-at-start: a daemon that starts while it is cut off attracts requests until it has
//     learned that from its own callers' failures.
//   - cut-off-notices-crowd: notices of many daemons that are cut off together exceed the rate of
//     gossip, and lapse before they arrive.
//   - cut-off-learned-alone: each of many daemons that are cut off together learns it only from
//     failures of its own callers.
package reach
