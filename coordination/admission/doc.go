// Package admission decides what becomes of a request that no server can take now: how
// long it waits, and when its caller may come back if it is turned away.
//
// It has no clock and does no input or output: the caller passes times in, looks again
// for a server until the time that Wait gives, and tells its caller what Refusal gives.
//
// # Load patterns that the limits answer
//
//   - A layer is held nowhere for a moment, after a loss: requests wait for it, since
//     it is back before their callers leave.
//   - All servers of a service fail or are full at once: callers are sent away for as
//     long as suspects are avoided, so that they do not meet the same ones again.
//   - Engines leave while all others are full: a stream that has begun is not ended for it. It
//     asks a few of them now and then, until room comes free or its caller leaves.
//   - A server in need takes a few requests a second from all daemons together, and no other
//     one is there: as many wait as get a permit in time, all others are sent away at once until
//     there is one for them.
//   - Daemons are stopped one after the other, or all of them: callers are sent to a
//     daemon that takes them, or until one has started again.
//   - All daemons start again while entries of servers have lapsed: requests wait while
//     the list fills, instead of all going to the servers that are listed first.
//   - Daemons have just started, one or all at once: requests wait for the moment that
//     it takes to know the configuration, unless the store does not answer.
package admission
