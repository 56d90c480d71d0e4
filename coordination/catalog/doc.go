// Package catalog disseminates the replica tables of all services to all daemons.
//
// A controller's table is stored in the table service, one row per service, and announced to
// peers. A daemon that has a new table sends its version to Config.Fanout random peers; a peer
// with an older version pulls the replicas that changed. Every Config.CompareInterval a daemon
// compares all versions with one random peer, which covers lost announcements. A daemon that
// starts reads the store's rows and pulls newer tables from a peer.
//
// The cost per daemon does not grow with the number of daemons: each table change is received
// about once and its version is sent Fanout times.
//
// A table is newer if its fencing number is higher or, with equal fencing numbers, if its serial
// number is higher. A table is never replaced by an older one, so a stale controller's table is
// dropped wherever its successor's has arrived.
//
// # Failures that the package guards against
//
//   - A message is lost, delayed, duplicated or reordered: versions are compared every
//     CompareInterval, and a change that does not apply to the active table is pulled again.
//   - The store is down: tables spread between peers alone.
//   - A peer does not answer: the next version received from another peer causes another Pull.
package catalog
