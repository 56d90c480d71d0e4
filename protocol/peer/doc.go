// Package peer implements the protocol between daemons: the frame, the envelope
// in it and the registry of message kinds. It does no I/O except on the io.Reader
// that is passed to a Reader.
//
// The format of a frame is
//
//	length   4 bytes, big endian: size of the rest, at most the reader's limit
//	version  1 byte: Version
//	envelope msgpack array [role, kind, call, timeout, body]
//
// role is a Role, kind a Kind (0 in frames without a message), call the number
// that the sender assigned to a call and that its answer repeats, timeout the
// time in milliseconds that the sender of a call waits (0 for no limit), and body
// the message as a msgpack map, or nil.
//
// For any input a Reader returns an envelope or a *FrameError, never panics, and
// allocates memory in proportion to the bytes that arrived, up to its limit.
package peer
