// Package documents keeps the service documents of one daemon: edits by
// compare-and-set in the table service, their spread to every daemon, and the
// promise that what is in force never reverts.
//
// A document is one row; its version grows by one with each accepted edit, and
// accepted means committed. The row keeps the ids of the latest edits, so that
// a lost answer is settled by reading it. A second, small row per service holds
// just the version: daemons poll those with one scan. Edits of different
// services touch no common row, so they never conflict.
//
// An accepted edit spreads by gossip: each daemon that adopts a version tells a
// few others, with the change itself where it is small; a digest of all versions
// rides on heartbeats and has two daemons that differ compare; the poll is what
// remains when peers are out of reach.
//
// Failures guarded against: two operators who edit at one moment; an answer of
// the store that was lost; a store that is down, slow and back; a daemon that
// starts during the outage; a daemon or a region that is cut off from store and
// peers, which can't know that it is current and says so (Isolated).
//
// The caller's contract: answer each CallStore once (store.Unanswered after its
// own timeout), tick at NextTick, deliver Digest() with heartbeats and feed the
// peer's back as Received, feed Reach about once a second, and take no new work
// unless Ready and before FreshUntil.
package documents
