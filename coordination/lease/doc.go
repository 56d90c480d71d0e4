// Package lease decides which daemon holds the lease of each service, through
// one row per service in the table service.
//
// # Rows
//
// A row names its holder (one life of one daemon), a fencing number that grows
// by one with each takeover, the nonce of the holder's acquisition and a counter
// of its renewals. Nonce and counter together name one write, so that a write
// whose answer was lost is settled by reading the row back.
//
// # Safety
//
// At no instant do two daemons both find Holds true, as long as no two clocks
// differ in rate by more than Config.Drift either way. A holder counts from the
// moment it sent the last write that is proved to have taken effect; an observer
// counts from the moment the answer that first showed the row's revision came in,
// which is later. The holder's span is shorter than the observer's by the drift
// margin. The takeover is conditional on that revision, so a renewal in between
// makes it fail.
//
// # The caller's contract
//
//   - now is the daemon's monotonic clock. It need not agree with any other.
//   - Each Read and Commit is answered by exactly one of ReadDone, Committed,
//     Conflicted, Unanswered with its call number; a call that stays without an
//     answer for Config.CallTimeout counts as unanswered.
//   - Holds is asked again immediately before each order is sent, not only when it
//     is decided: a process may be paused in between.
//   - A Commit is one transaction, each write conditional on its row's revision.
//
// # Failures guarded against
//
//   - A holder is paused past its lease and wakes: its span has run out on its own
//     clock, so Holds is false before any message has told it.
//   - A write's answer is lost: the row is read back. Until then nothing is
//     claimed from that write.
//   - A write that was given up takes effect later: it is still remembered, so the
//     row that it made is recognized and counted from when it was sent.
//   - The store is down: the holder's standing is Lapsed, not lost. It may order
//     backend servers that check fencing numbers, since a successor has a higher one.
//   - A holder dies: the first of Config.Watchers members in rendezvous order tries
//     first, the others later, so that its leases aren't fought over.
package lease
