// Package controller brings the backend servers of one service to what its
// document and its placement ask for, by orders, and publishes which replicas
// may be used.
//
// # One holder
//
// Only the holder of the service's lease acts; the Lease event says how far. With
// the lease held it orders every server. With the lease lapsed it orders only
// servers that check fencing numbers, since a successor has a higher one; the
// others are frozen as they are. Without the lease it does nothing.
//
// # Servers that check fencing numbers
//
// A server refuses numbers below the highest that it has seen. A new holder makes
// its number known to every server that holds layers of the service, by ordering
// the role that the server has; from then on no former holder's order is taken.
//
// # Servers that ignore fencing numbers
//
// An order of a former holder may still be on its way when a new one begins. So
// the new holder orders none of these servers until Config.LongestOrder has
// passed, unless the former one released the lease with no order under way. It
// reads a server's state right before each order and again after it. An order
// that was held up for longer still takes effect; every server is read again at
// least each Config.Reconcile, its state then differs from the target, and it is
// ordered back.
//
// # Roll-out
//
// A chain is never changed: other layers, servers, version or adapters make
// another chain. New chains are loaded beside the old ones; an old one leaves when
// enough chains are ready without it, or, where no spare servers are left, one at
// a time. A leaving chain is published as such, gets nothing new, and its servers
// are touched only when its replica's home and the servers themselves have
// reported no request for longer than the news needs to reach every daemon.
//
// # The caller's contract
//
//   - Each Order and ReadState is answered by one of Answered, StateRead,
//     Unanswered with its call number.
//   - Right before an order leaves, the sender checks Order.NotAfter against the
//     same clock as now and drops the order when it has passed: the process may
//     have been paused since it was decided.
//   - At the start of a reign, Adopt brings the replicas last published. Until
//     then nothing is ordered.
package controller
