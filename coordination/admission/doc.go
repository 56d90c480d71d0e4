// Package admission decides what happens to a request that no server can take now: how long it
// waits, and after what time its caller may retry if it is rejected.
//
// It has no clock and does no I/O: the caller passes times in, looks for a server again until
// WaitingRequest.RejectAt, and reports Refusal.RetryAfter to its own caller.
//
// # Load patterns covered
//
//   - A layer has no server for a moment after a loss: requests wait for it, since it is available
//     again before their callers disconnect.
//   - All servers of a service fail or are full at once: callers are rejected for as long as
//     suspects are avoided, so that they do not reach the same servers again.
//   - Engines shut down while all others are full: a stream that has started is not ended. It
//     retries a few servers at intervals until one has capacity or its caller disconnects.
//   - A struggling server takes a few requests per second from all daemons together, and there is
//     no other server: as many requests wait as get a permit in time, and all others are rejected
//     at once with the time at which a permit will be available.
//   - All servers of a service want no requests for a stated time: callers whose deadline allows it
//     wait, all others are rejected at once with the time that is left, and those that find the
//     servers still taking few requests return when suspects would be tried again.
//   - Daemons are stopped one after the other, or all of them: callers are sent to a daemon that
//     accepts them, or wait until one has restarted. Requests are served for as long as servers
//     answer them before the stop ends, as far as recent answers tell (AnswerTimes).
//   - All daemons restart after list entries of servers have expired: requests wait while the list
//     is populated, instead of all going to the servers that are listed first.
//   - Daemons have just started, one or all at once: requests wait for the short time until the
//     configuration is available, unless the store does not answer.
package admission
