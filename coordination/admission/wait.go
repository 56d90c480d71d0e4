package admission

import "time"

const (
	// waitShare is the part of its time for which a request waits for a server before
	// it is turned away.
	waitShare = 0.075
	// waitMost bounds it: callers leave a stream that shows nothing for 2 s, and a layer
	// that is held nowhere is mostly back within that. Without waiting a
	// deployment of six daemons is worth 0.006 less in the mean of 15 plays of days with
	// trouble, and two others as much as with it.
	waitMost = 1500 * time.Millisecond
)

// Wait is a request that finds no server.
type Wait struct {
	Arrived  time.Time
	Deadline time.Time // when it must have its final answer
	// LastEvent is when its caller got the last event of an answer that has begun, zero
	// for none: a caller waits for the next event as for the first.
	LastEvent time.Time
}

// Until is when the request is turned away if no server has taken it.
func (w Wait) Until() time.Time {
	part := time.Duration(waitShare * float64(w.Deadline.Sub(w.Arrived)))
	from := w.Arrived
	if !w.LastEvent.IsZero() {
		from = w.LastEvent
	}
	return from.Add(min(part, waitMost))
}
