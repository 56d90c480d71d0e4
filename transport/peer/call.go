package peer

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

// result ends a call.
type result struct {
	answer Answer
	err    error
}

// call is one outstanding call. Its remote owns the fields below done.
type call struct {
	number  uint64
	timeout uint32      // milliseconds, 0 for no bound
	done    chan result // takes exactly one result

	remote  *remote
	written bool // bytes of it may have left this daemon
}

// callNumbers are unique in the process, so that an answer that comes late, on
// whatever connection, can't be taken for another call's.
var callNumbers atomic.Uint64

func newCall(ctx context.Context) *call {
	c := &call{number: callNumbers.Add(1), done: make(chan result, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		ms := time.Until(deadline).Milliseconds()
		c.timeout = uint32(min(max(ms, 1), math.MaxUint32))
	}
	return c
}
