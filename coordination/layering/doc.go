// Package layering is the duty of giving engines their layers: one daemon at a time
// orders them, under a lease whose fencing number goes with each order.
//
// The lease is taken only when there is something to order, so that a calm site
// pays for none. Daemons try one after the other, in the order of their rank; the
// first conditional write wins and the others see the layers change.
//
// # Failures that the guards are for
//
//   - A holder is paused past its lease and wakes: Holds counts from when the write
//     was sent, and engines refuse a fencing number lower than one they have seen.
//   - An order gets no answer and is carried out seconds later: each order names
//     how many orders the engine has begun. A repeat names the same number, so that
//     only one of the two can begin.
//   - The list of servers comes in parts at the start: a first layout waits until
//     the list has stood still.
//   - An engine never lists the layers that it was ordered to load: the order is
//     given up after LoadTime's bound and decided anew.
package layering
