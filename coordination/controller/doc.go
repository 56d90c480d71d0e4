// Package controller reconciles the backend servers of one service with its
// document and its placement. It sends orders to the servers and publishes which
// replicas may be used.
//
// # Lease
//
// Only the holder of the service's lease acts; the Lease event gives the lease
// state. While the lease is held, the holder sends orders to every server. While
// it is lapsed, the holder sends orders only to servers that check fencing
// numbers, because a successor has a higher one; the other servers keep their
// current assignment. Without the lease the controller does nothing.
//
// # Servers that check fencing numbers
//
// A server refuses fencing numbers below the highest that it has seen. A new
// holder makes its fencing number known to every server that holds layers of the
// service by ordering the role that the server already has. From then on orders
// of former holders are refused.
//
// # Servers that ignore fencing numbers
//
// An order of a former holder may still be in flight when a new term begins. The
// new holder therefore sends no order to these servers until Config.MaxOrderDelay
// has passed, unless the former holder released the lease with no order in
// flight. It reads a server's state right before each order and again after it.
// An order that is delayed for longer still takes effect. Every server is read at
// least once per Config.ReconcileInterval, so the holder then finds a state that
// differs from the target and orders the server back.
//
// # Rollout
//
// A chain is immutable: other layers, servers, version or adapters make another
// chain. New chains are loaded while the old ones still serve. An old chain
// leaves when enough chains are ready without it or, where no spare servers are
// left, one at a time. A leaving chain is published as such and gets no new
// requests. Its servers are changed only when the replica's home and the servers
// themselves have reported no request since the update must have reached every
// daemon.
//
// # Contract for the caller
//
//   - Each Order and ReadState is answered by one of OrderResult, ReadResult,
//     ResultUnknown with its call number.
//   - Right before an order is sent, the sender checks Order.NotAfter against the
//     clock that also gives now, and drops the order when that time has passed:
//     the process may have been paused since the order was decided.
//   - At the start of a term, Adopt passes the replicas last published. Until
//     then no order is sent.
package controller
