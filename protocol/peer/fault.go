package peer

import (
	"errors"
	"fmt"
)

// Fault is the kind of error of a frame. The set is closed; each value is a label
// value of a counter.
type Fault string

// The values of Fault.
const (
	FaultOversized Fault = "oversized" // longer than the limit
	FaultTruncated Fault = "truncated" // the connection ended within a frame
	FaultVersion   Fault = "version"   // unknown version byte
	FaultMsgpack   Fault = "msgpack"   // invalid msgpack, or not of the expected type
	FaultRole      Fault = "role"      // unknown Role, or one that is not allowed here
	FaultKind      Fault = "kind"      // unregistered Kind
)

// Faults returns every Fault once.
func Faults() []Fault {
	return []Fault{FaultOversized, FaultTruncated, FaultVersion, FaultMsgpack, FaultRole, FaultKind}
}

// FrameError reports an invalid frame. No further frames can be read from the
// connection.
type FrameError struct {
	Fault  Fault
	Detail string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("bad frame: %s: %s", e.Fault, e.Detail)
}

// FaultOf returns the Fault of the FrameError in err. The second result is false
// if there is none.
func FaultOf(err error) (Fault, bool) {
	var e *FrameError
	if errors.As(err, &e) {
		return e.Fault, true
	}
	return "", false
}

var errNotUint = errors.New("no unsigned number")

// NewFrameError returns the error for a frame that is valid in itself but not
// allowed at this point of the connection.
func NewFrameError(f Fault, detail string) *FrameError {
	return &FrameError{Fault: f, Detail: detail}
}

func newFrameError(f Fault, format string, args ...any) *FrameError {
	return &FrameError{Fault: f, Detail: fmt.Sprintf(format, args...)}
}
