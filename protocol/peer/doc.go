// Package peer is the protocol between daemons: the frame, the envelope in it
// and the registry of message kinds. It does no input or output beyond the
// io.Reader that a Reader is given.
//
// A frame is
//
//	length  4 bytes, big endian, of what follows; at most the reader's bound
//	version 1 byte, Version
//	envelope msgpack array [role, kind, call, timeout, body]
//
// role is a Role, kind a Kind (0 on frames that carry no message), call the
// sender's number of a call and of its answer, timeout the milliseconds that a
// caller waits (0 for no bound), body the message as a msgpack map, or nil.
//
// Whatever bytes come in, a Reader answers with an envelope or a *FrameError,
// never panics, and holds no more memory than the bytes that arrived, up to its
// bound.
package peer
