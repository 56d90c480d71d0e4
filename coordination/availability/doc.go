// Package availability decides to which backend servers a daemon may send requests, by what these
// servers state in their answers.
//
// A server that turns a request away may state for how long it wants no further request from this
// daemon (Retry-After). It gets none until then: no first attempt, no retry, no rest of a stream,
// and no request that was assigned to it before. Afterwards requests return by a slow start: one at
// first, then twice as many with each round of accepted ones, up to half of as many as were too
// many. A server that states that it is leaving gets no further request at all. Statements hold for
// one incarnation of a server: another one at its address has asked for nothing.
//
// # Contract for the caller
//
// The package must be used by one goroutine at a time; now is a monotonic clock. The caller checks
// Accepts when it chooses a server, calls Begin when it assigns a request and End when the request
// was accepted, turned away or lost. It checks Wanted again immediately before it sends the request,
// and calls Prune when the list of servers has changed.
//
// # Failures guarded against
//
//   - A server that turns requests away answers sooner than all others and has no request in flight,
//     so that it looks like the best one: its statement excludes it.
//   - A request was assigned to a server, and waits for a connection while another answer states
//     that the server wants none: it is withdrawn, as not sent.
//   - Requests wait for the end of the stated time, here and at other daemons that were told at the
//     same moment: they return by the slow start, and each daemon waits for a random time longer.
//   - More requests wait for a server than it can take. The slow start limits them until none has
//     waited for a while; otherwise they would all be sent once it had ended, and be turned away.
//   - A server along a path blames another one: both statements may be meant. The one that answered
//     gets no request from this daemon, the blamed one runs no part of a path.
//   - A paused daemon resumes after the time has passed: it begins with the slow start as well.
package availability
