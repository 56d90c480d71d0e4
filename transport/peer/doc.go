// Package peer carries messages between daemons over TCP.
//
// A Node keeps one connection to each address that it sends to. It is made when
// there is something to send and closed after a time without use. The peer sends only
// answers and heartbeats on it; the peer's own messages arrive on a connection that
// the peer makes. The transport never sends a message twice.
//
// # What an error of Call proves
//
// NotSent(err): no byte of the call left this daemon. Unhandled(err): that, or the
// peer answered that it did not handle the call. With any other error but
// *FailedError it is unknown whether the call was handled; the caller repeats it under
// the request's ID.
//
// # Unresponsive connections
//
// A connection can stop carrying bytes for good without either end being notified,
// because a middlebox has lost its state, while new connections work. Writes to it
// succeed until the kernel's buffer is full. A Node sends a heartbeat on each
// connection on which it expects a frame and that has been idle for ProbeAfter, and at
// a longer interval on unused ones. If no byte arrives for ProgressTimeout after a
// heartbeat, the connection is closed: its outstanding calls end with ErrUnresponsive
// and queued messages are sent on a new one. Only a failure to get a connection that
// answers says anything about the peer; one unresponsive connection does not, and
// OnConnectionLost reports it as ErrUnresponsive.
package peer
