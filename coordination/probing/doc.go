// Package probing decides which signs of life of backend servers daemons share, so that a server that
// is alive is not probed by each daemon whose streams pause there.
//
// Before a daemon probes a server in the middle of a path, it asks a few daemons, the witnesses, whether
// their streams or probes have shown the server to be alive lately. If none of them has, it asks the
// server's owner, a daemon that all agree on, which probes the server if it does not know. One probe so serves all daemons. A daemon probes
// the first server of a path itself, since its own link to that server may be the cause; it also probes
// itself whenever the owner shows no sign of life in time, so that no death rests on another daemon's
// word.
//
// The package is pure: it has no clock, and the caller sends messages and probes.
//
// # Load patterns covered
//
//   - Engines are full and their steps pause: the streams of all daemons fall silent together, and each
//     daemon would probe each server of each path.
//
// # Failures guarded against
//
//   - An owner that is dead, slow or cut off delays nothing: it is asked Lead before a probe is due.
//   - A sign of life is not trusted for longer than the server may be silent (Sign.ShownAt), so
//     that a server that dies just after it is found as fast as if the stream had shown it.
//   - A dead server that stays dead is probed ever less often (RecoveryInterval).
package probing
