// Package documents manages the service documents of one daemon: edits by compare-and-set in
// the table service, their dissemination to every daemon, and the invariant that an active
// version is never replaced by an older one.
//
// A document is one row; its version is incremented by each accepted edit, and accepted means
// committed. The row contains the IDs of the latest edits, so that an edit whose answer was
// lost is resolved by reading the row. A second, small row per service contains only the
// version: daemons poll all of those with one scan. Edits of different services share no row
// and therefore never conflict.
//
// An accepted edit is disseminated by gossip: each daemon that applies a version announces it
// to a few others, including the patch where it is small. A digest of all versions is sent with
// heartbeats, and two daemons with different digests compare their versions. Polling the store
// covers the case that no peer is reachable.
//
// The package guards against concurrent edits by two operators, lost answers of the store, a
// store that is down or slow, a daemon that starts during a store outage, and a daemon or
// region that is isolated from store and peers: it can't know whether it is current, and
// reports that (Isolated).
//
// The caller must answer each CallStore once (with store.Unanswered after its own timeout),
// tick at NextTick, send Digest() with heartbeats and pass the peers' digests in as Received,
// send Members about once a second, and accept no new requests unless Ready and before
// FreshUntil.
package documents
