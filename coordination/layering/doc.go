// Package layering assigns layers to engines: one daemon at a time orders them, under a lease whose
// fencing number is sent with each order.
//
// The lease is acquired only when there is something to order, so that a stable site makes no calls
// for it. Daemons try one after the other, in the order of their rank; the first conditional write
// wins and the others see the layers change.
//
// # Failures guarded against
//
//   - A lease holder is paused past the end of its lease and resumes: HoldsLease counts from the
//     time at which the write was sent, and engines refuse a fencing number lower than one they
//     have seen.
//   - An order gets no answer and is carried out seconds later: each order names how many orders
//     the engine has started. A repeated order names the same number, so only one of the two can be
//     started.
//   - The list of servers arrives in parts at the start: a first layout waits until the list has
//     been stable for some time.
//   - An engine never lists the layers that it was ordered to load: the order is given up after a
//     bound derived from LoadTime and planned again.
package layering
