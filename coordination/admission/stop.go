package admission

import "time"

const (
	// acceptShare is the part of a planned stop's grace period in which new streams are accepted:
	// callers that use an address answer until it expires have moved on by about then, and a stream
	// takes up to 6 s of the 8.
	acceptShare = 0.2
	// acceptShareLast is the same if no other daemon accepts streams: a stream that comes later
	// would be truncated at the end of the stop.
	acceptShareLast = 0.36
	// answerMargin is how much earlier than the end of a stop a request has to be answered by its
	// server, so that the answer is written by then.
	answerMargin = 100 * time.Millisecond
)

// Shutdown is a planned stop of this daemon.
type Shutdown struct {
	Elapsed time.Duration // since the stop began
	Grace   time.Duration // within which the stop has to end
	End     time.Duration // when requests that are left are cut off, since the stop began
	// OthersAccept reports that another daemon accepts new streams.
	OthersAccept bool
}

// AcceptsStream reports whether a new stream is accepted, and if not, why its caller is rejected.
// Where all daemons are stopping, each a second after the previous one, streams are accepted for
// longer, and callers are then told to retry until one of them has restarted.
func (s Shutdown) AcceptsStream() (bool, Refusal) {
	share := float64(s.Elapsed) / float64(s.Grace)
	switch {
	case share < acceptShare:
		return true, 0
	case s.OthersAccept:
		return false, Stopping
	default:
		return share < acceptShareLast, AllStopping
	}
}

// AcceptsCall reports whether a request that gets its whole answer at once, within expected at the
// latest, may be sent to a server now, and if not, why its caller is rejected. Late in a stop only
// requests are accepted that are answered before it ends.
//
// Guard (lost-in-stops): where all daemons are stopping, requests reach them to the end. One that is
// passed on then would be cut off while its server is at work on it.
func (s Shutdown) AcceptsCall(expected time.Duration) (bool, Refusal) {
	switch {
	case s.CallsAcceptedFor(expected) >= 0:
		return true, 0
	case s.OthersAccept:
		return false, Stopping
	default:
		return false, AllStopping
	}
}

// CallsAcceptedFor returns how much longer AcceptsCall accepts such requests; negative if it does not
// do so now.
func (s Shutdown) CallsAcceptedFor(expected time.Duration) time.Duration {
	early := time.Duration(acceptShareLast * float64(s.Grace))
	return max(early, s.End-expected-answerMargin) - s.Elapsed
}
