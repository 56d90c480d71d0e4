package peer

import (
	"errors"
	"fmt"
)

// Fault is the closed list of what can be wrong with a frame. Each has a
// counter of the same name.
type Fault string

// The values of Fault.
const (
	FaultOversized Fault = "oversized" // longer than the bound
	FaultTruncated Fault = "truncated" // the connection ended inside a frame
	FaultVersion   Fault = "version"   // another version byte
	FaultMsgpack   Fault = "msgpack"   // no msgpack, or not of the expected shape
	FaultRole      Fault = "role"      // no Role, or not one that may come here
	FaultKind      Fault = "kind"      // no registered Kind
)

// Faults lists every Fault once.
func Faults() []Fault {
	return []Fault{FaultOversized, FaultTruncated, FaultVersion, FaultMsgpack, FaultRole, FaultKind}
}

// FrameError tells what is wrong with a frame. The connection that it came on
// can't be read on.
type FrameError struct {
	Fault  Fault
	Detail string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("bad frame: %s: %s", e.Fault, e.Detail)
}

// FaultOf returns the Fault of err, and whether it is one.
func FaultOf(err error) (Fault, bool) {
	var e *FrameError
	if errors.As(err, &e) {
		return e.Fault, true
	}
	return "", false
}

var errNoUint = errors.New("no unsigned number")

// NewFrameError builds the error of a frame that is sound in itself but may not
// come where it came.
func NewFrameError(f Fault, detail string) *FrameError {
	return &FrameError{Fault: f, Detail: detail}
}

func fault(f Fault, format string, args ...any) *FrameError {
	return &FrameError{Fault: f, Detail: fmt.Sprintf(format, args...)}
}
