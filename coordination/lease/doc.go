// Package lease decides which daemon holds the lease of each service, through one row per
// service in the table service.
//
// # Rows
//
// A row contains its holder (one incarnation of one daemon), a fencing number that each takeover
// increments by one, the nonce of the holder's acquisition and a counter of its renewals. Nonce
// and counter together identify one write, so that a write whose answer was lost is resolved by
// reading the row back.
//
// # Safety
//
// At no instant does Holds return true on two daemons, provided that the rate of each clock
// differs from true time by at most Config.MaxClockDrift. A holder counts from the moment it sent
// the last write that is proved to have taken effect; an observer counts from the arrival of the
// answer that first showed the row's revision, which is later. The holder's lease duration is
// shorter than the observer's by the drift margin. A takeover is conditional on that revision, so
// an intervening renewal makes it fail.
//
// # The caller's contract
//
//   - now is the daemon's monotonic clock. It need not agree with any other clock.
//   - Each Read and Commit is answered by exactly one of ReadDone, Committed, Conflicted and
//     Unanswered with its call ID; a call without an answer for Config.CallTimeout counts as
//     unanswered.
//   - Holds must be called immediately before each order is sent, not only when the order is
//     decided: the process may be paused in between.
//   - A Commit is one transaction; each write is conditional on its row's revision.
//
// # Failures that the package guards against
//
//   - A holder is paused for longer than its lease and resumes: the lease has expired on its own
//     clock, so Holds is false before any message arrives.
//   - The answer to a write is lost: the row is read back. Until then the write is not relied on.
//   - A write that was considered failed takes effect later: it is still recorded, so the row that
//     it wrote is recognized, and the lease counts from the time at which it was sent.
//   - The store is down: the holder's lease is Lapsed, not lost. The holder may send orders to
//     backend servers that check fencing numbers, since a successor has a higher one.
//   - A holder dies: the first of Config.Watchers members in rendezvous order tries first and the
//     others later, so that they do not compete for its leases.
package lease
