// Package waitqueue orders the requests of one service that wait at one daemon, and decides which of
// them tries next to get a server, which ones can't be served in time, and when callers that were
// turned away may return.
//
// # Order
//
// Requests are ordered by urgency.Class. Within a class, answers that have begun go first, then
// customers take turns by the expected tokens of what they were served lately (start-time fair
// queueing), and each customer's requests go by place, which is the time of arrival.
//
// # Contract for the caller
//
// The package must be used by one goroutine at a time; now is a monotonic clock, and the random
// source is passed in. The caller calls Wake when something may have become available. A method that
// returns a waiter asks the caller to let that request, and no other, try to get a server, and to
// report the result by Tried, or by Leave if it gives up. One request tries at a time: the next one
// tries if the former one was served, or failed for reasons of its own; if it failed for a reason
// that is common to all, nobody tries before the next event. Leave is called once for each waiter
// that Join has returned and that was neither served nor displaced. A waiter calls Poll when a time
// of its own has come, such as the end of a backoff, and otherwise every Config.FallbackInterval.
// Rejected is called for each caller that is told when to return, Place for each request that
// arrives while callers are remembered.
//
// Choosing the next request costs O(log n) for n waiting requests; Join is linear in the number of
// customers of its class, and in n only if the queue is full. A full queue holds Config.MaxWaiting
// requests, and as many answers that have begun as there are.
//
// # Guarantees
//
//   - Classes: a request of level v is aged when MinAge + v*(MaxAge-MinAge) has passed since its
//     place. Of AgedEvery requests that are served, one is the request that has been aged for the
//     longest, if there is one. A request that is aged, and could be served each time, is served after at most
//     AgedEvery*(n+1) departures, where n is the number of requests that were aged before it.
//   - Customers: while two customers of a class have requests that wait, the tokens that they are
//     served in any interval differ by at most the sum of their largest requests, apart from
//     requests that are served because they are aged.
//   - Returns: a caller that returns when it was told to has the place of its first arrival. One that
//     returns before that is rejected while requests wait, or others were told an earlier time;
//     otherwise it has a place as if it arrived at the time that it was told.
//
// # Load patterns covered
//
//   - A large customer sends hundreds of requests at once beside small ones: each small customer
//     waits for one request of the large one, not for all of them.
//   - A burst of urgent requests beside background work, and the reverse.
//   - A site that is full for longer than requests can wait: those that can't be served in time are
//     rejected at once, with the time at which the queue ahead of them will have drained, spread at
//     random.
//   - Callers that repeat at once beside callers that return when they were told to.
//
// # Failures guarded against
//
//   - Requests that are polled in no order: whoever asks first after a server has become available
//     gets it.
//   - A request that waits for reasons of its own, such as servers that it may not use again, blocks
//     all others: it is set aside until something changes.
//   - A wake is lost while a request tries: the same request tries again.
//   - Hundreds of requests search at each change: one request tries after the other until one finds
//     nothing.
//   - The configuration changes ranks while requests wait: Reclassify moves them.
package waitqueue
