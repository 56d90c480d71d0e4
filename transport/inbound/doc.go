// Package inbound opens a daemon's HTTP ports and bounds what callers' connections
// may take of it.
//
// How long a header may take, and how long a kept connection may be idle, are asked
// of the caller of Open each time they begin, since a configuration may change them
// while connections are open.
//
// # Failures that the guards are for
//
//   - A caller sends half a header and stops: its connection is closed when the time
//     for a header is over.
//   - Callers keep connections that they don't use: each is closed when it has been
//     idle for its time, and not sooner: one that is closed while a caller sends its
//     next request loses it.
//   - A caller sends an endless header: it gets 431, and no more than MaxHeader bytes
//     are kept.
//   - More callers connect than the process has descriptors for: those beyond a share
//     wait, so that the others are still answered.
package inbound
