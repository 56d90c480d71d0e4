// Package permits enforces the rate limits that backend servers declare, in requests per second
// from all daemons together, while daemons start, stop, pause and are partitioned.
//
// A server that declares a limit gets a request only against a permit. One daemon, the owner,
// issues a server's permits: the daemon with the highest rendezvous weight for the server among the
// participating ones. The others request as many permits as they will need in the near future, hold
// them for a short time and spend one for each request that they send, whether it is a first
// attempt, a retry or the rest of a stream. Nothing is written to the store, and nothing depends on
// it.
//
// # Guarantee
//
// An owner issues permits at the limit's rate times the share of the daemons that it sees. A
// partition sees only a share of the daemons, and the shares of all partitions add up to at most
// one. Since permits expire and an owner accumulates few unrequested ones, a server gets in any
// time t about rate * t + 2 requests, and for a moment up to twice that number if daemons disagree
// about the participants: a new owner waits for takeoverDelay before it issues permits.
//
// # Contract for the caller
//
// The package must be used by one goroutine at a time. Step processes an event and returns the
// resulting actions; Tick is due at NextTick and harmless at any other time. Before a request is
// sent to a server, the caller checks Unavailable. It spends a permit with Take when it sends the
// request, and calls RecordDemand if it could not. now is a monotonic clock.
//
// # Failures guarded against
//
//   - Daemons that enforce a limit independently would each allow the whole limit: only an owner
//     issues permits.
//   - An owner dies, leaves or is frozen: the membership determines the next owner; meanwhile
//     nothing is issued, and permits that were issued expire.
//   - A daemon has not received a limit, or its removal: the owner announces it to all daemons,
//     repeats the announcement periodically, and reports what it knows in each answer. The latest
//     observation wins.
//   - An answer that was in flight when a server declared its limit seems to say that there is
//     none: only the answer to a request that was sent after the limit was observed removes it.
//   - A server restarts: limits belong to an incarnation, and the limit of the former one does not
//     apply.
//   - A message is lost or late: requests for permits are repeated, and permits that never arrive
//     expire unused, so that fewer are used and never more.
//   - Hundreds of daemons want a few permits per second: the owner tells each daemon when to ask
//     again.
package permits
