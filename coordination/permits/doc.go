// Package permits keeps the limits that backend servers name, in requests a second from all
// daemons together, while daemons come, go, pause and are cut off.
//
// A server that names a limit gets a request only against a permit. One daemon issues a
// server's permits, the owner: the one with the highest rendezvous weight for the server among
// those that take part. The others ask it for as many as they will need in a moment, hold them
// for a short while and spend one for each request that they send, be it the first, a repeat or
// the rest of a stream. Nothing is written to the store, and nothing depends on it.
//
// # What holds
//
// An owner issues at the limit's rate times the part of the daemons that it sees. A side of a
// cut sees a part only, and the parts of all sides add up to at most one. Since permits lapse
// and an owner keeps few that nobody asked for, a server gets in any time t about
// rate * t + 2 requests, and for a moment up to twice that where daemons disagree about who
// takes part: a new owner waits for settle before it issues any.
//
// # Contract for the caller
//
// One goroutine at a time. Step takes what happened and returns what is to be done; Tick is due
// at NextTick and harmless at any time. Before a request is sent to a server the caller asks
// Unavailable. It spends a permit with Take where it sends the request, and says with Want that it
// could not. now is a monotonic clock.
//
// # Failures that the guards are for
//
//   - Daemons that each keep a limit alone allow it once each: only an owner issues permits.
//   - An owner dies, leaves or is frozen: its place goes to the next one by the membership;
//     meanwhile nothing is issued, and a permit that it has issued lapses.
//   - A daemon has not heard of a limit, or not of its end: the owner tells all, again now and
//     then, and each answer to a question says what the owner knows. What was heard last holds.
//   - An answer that was on its way before a server named its limit seems to say that there is
//     none: only the answer to a request that was sent after the limit was heard ends it.
//   - A server starts again: limits go by its life, and the former one's says nothing.
//   - A message is lost or late: questions are asked again, and permits that never arrive lapse
//     with nobody, so that less is used and never more.
//   - Hundreds of daemons want a few permits a second: the owner tells each when to ask again.
package permits
