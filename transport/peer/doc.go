// Package peer carries messages between daemons over TCP.
//
// A Node keeps one connection to each address that it sends to, made when there
// is something to send and closed after a time without use. What comes back on
// it are answers and heartbeats only; the other daemon's own messages come on a
// connection that it makes. The transport never sends a message twice.
//
// # What an error of Call proves
//
// NotSent(err): not one byte of the call left this daemon. Unhandled(err): that,
// or the peer's own word that it did not handle it. Any other error but
// *FailedError leaves it unknown whether the call was handled; the caller asks
// again by the request's own id.
//
// # Silent connections
//
// A connection can stop carrying bytes for good without either end being told,
// because something between the two has lost track of it, while new connections
// work. Writes to it succeed until the kernel's buffer is full. A Node sends a
// heartbeat on each connection that owes it something and has been quiet for
// ProbeAfter, and at a longer interval on idle ones. When nothing at all comes
// for SilentAfter after a heartbeat, the connection is given up: its
// outstanding calls end with ErrSilent and what is still queued goes out on a
// new one. Only a failure to get a connection that answers says anything about
// the peer; one silent connection does not, and Lost reports it as ErrSilent.
package peer
