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

// forgiveAfter is after what time servers that had no room for the rest of an answer are asked
// again: streams end and leave room in some 100 ms, and callers leave a stream that shows
// nothing for 2 s.
const forgiveAfter = 500 * time.Millisecond

// Wait is a request that finds no server.
type WaitingRequest struct {
	Arrived  time.Time
	Deadline time.Time // when it must have its final answer
	// LastEvent is when its caller got the last event of an answer that has begun, zero
	// for none.
	LastEvent time.Time
}

// Until is when the request is turned away if no server has taken it.
//
// Guard (begun-answer-cut): an answer that has begun is not ended for want of a server before
// its caller leaves, who knows better for how long to wait. Turned away as others are, drafts
// end in the middle while engines are replaced beside a burst, although room comes free a
// moment later.
func (w WaitingRequest) RejectAt() time.Time {
	if !w.LastEvent.IsZero() {
		return w.Deadline
	}
	part := time.Duration(waitShare * float64(w.Deadline.Sub(w.Arrived)))
	return w.Arrived.Add(min(part, waitMost))
}

// Turned is how often in a row servers had no room for the rest of an answer that has begun.
type Rejections struct {
	Count int
	Last  time.Time
}

// turnedMost is how many servers in a row are asked for the rest of an answer before the next
// ones wait: where two had no room the site is full, and each attempt costs a retry.
const turnedMost = 2

// Rests reports whether no server is to be asked now.
func (t Rejections) BackingOff(now time.Time) bool {
	return t.Count >= turnedMost && !t.BackoffElapsed(now)
}

// Forgives reports whether those that had no room may be asked again.
func (t Rejections) BackoffElapsed(now time.Time) bool {
	return t.Count > 0 && !now.Before(t.Last.Add(forgiveAfter))
}
