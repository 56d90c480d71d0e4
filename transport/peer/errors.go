package peer

import "errors"

// Errors of Send and Call, for use with errors.Is.
var (
	// ErrUnresponsive: the connection stopped carrying bytes.
	ErrUnresponsive = errors.New("connection is unresponsive")
	// ErrClosed: the connection ended before the answer.
	ErrClosed = errors.New("connection ended")
	// ErrDropped: the queue was full and this was the oldest message in it.
	ErrDropped = errors.New("dropped from a full queue")
	// ErrUnreachable: no connection could be made, or it ended before the peer sent
	// a frame on it.
	ErrUnreachable = errors.New("address is unreachable")
	// ErrNodeClosed: this Node is closed.
	ErrNodeClosed = errors.New("node is closed")
	// ErrUnregistered: the message's type is not in the Registry, which is a bug in
	// this program.
	ErrUnregistered = errors.New("message type is not registered")
)

// errNotSent marks errors of messages of which no byte left this daemon.
var errNotSent = errors.New("not sent")

func markNotSent(err error) error {
	return errors.Join(errNotSent, err)
}

// NotSent reports whether err proves that the message never left this daemon.
func NotSent(err error) bool {
	return errors.Is(err, errNotSent)
}

// RefusedError is a peer's reply that it did not handle a call and will not.
type RefusedError struct {
	Detail string
}

func (e *RefusedError) Error() string { return "peer refused the call: " + e.Detail }

// FailedError is a peer's reply that it handled a call without success.
type FailedError struct {
	Detail string
}

func (e *FailedError) Error() string { return "peer failed the call: " + e.Detail }

// Unhandled reports whether err proves that the peer did not handle the call.
func Unhandled(err error) bool {
	var refused *RefusedError
	return NotSent(err) || errors.As(err, &refused)
}
