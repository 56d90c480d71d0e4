// Package catalog spreads the replica tables of all services to all daemons.
//
// A controller's table is stored in the table service, one row per service, and
// told to peers. A daemon that has a new table tells Config.Fanout random peers
// its version; a peer with an older one asks for what it lacks and gets the
// replicas that changed. Once each Config.Interval a daemon compares all versions
// with one random peer, which finds what the pushes missed. A daemon that starts
// reads the store's rows and asks a peer for what is newer.
//
// Cost per daemon does not grow with the number of daemons: each table change
// comes in about once and its version goes out Fanout times.
//
// A table is newer if its fencing number is higher, or with equal ones its serial
// number. A table never gives way to an older one, so a stale controller's table
// is dropped wherever its successor's has come.
//
// # Failures guarded against
//
//   - A message is lost, late, doubled or out of order: versions are compared
//     again each Interval, and a change that does not fit on what is held is asked
//     for anew.
//   - The store is down: tables spread between peers alone.
//   - A peer does not answer: the next version heard asks another.
package catalog
