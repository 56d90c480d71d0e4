package peer

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

// result is the answer to a call or its error.
type result struct {
	answer Answer
	err    error
}

// call is one outstanding call. Its remote owns the fields below done.
type call struct {
	number  uint64
	timeout uint32      // milliseconds; 0 means no timeout
	done    chan result // receives exactly one result

	remote  *remote
	written bool // bytes of the call may have been sent
}

// lastCallNumber makes call numbers unique in the process, so that a late answer, on
// any connection, can't be taken for another call's.
var lastCallNumber atomic.Uint64

// newCall returns a call with the timeout of ctx, at least 1 ms.
func newCall(ctx context.Context) *call {
	c := &call{number: lastCallNumber.Add(1), done: make(chan result, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		ms := time.Until(deadline).Milliseconds()
		c.timeout = uint32(min(max(ms, 1), math.MaxUint32))
	}
	return c
}
