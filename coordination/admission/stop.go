package admission

import "time"

const (
	// takeShare is the part of a planned stop's time for which new streams are taken:
	// callers that keep an answer to where they may go for its whole time have left by
	// about then, and a stream takes up to 6 s of the 8.
	takeShare = 0.2
	// takeLastShare is the same where no other daemon takes them: one that comes later
	// would be cut at the stop's end.
	takeLastShare = 0.36
)

// Stop is a planned stop of this daemon.
type Shutdown struct {
	Elapsed time.Duration // its beginning
	Grace   time.Duration // in which it has to end
	// Elsewhere: another daemon takes new streams.
	OthersAccept bool
}

// TakesStream reports whether a new stream is to be taken, and if not, why its caller is
// turned away. Where all daemons are stopping, each a second after the other, streams are
// taken for longer, and callers then sent back until one of them has started again.
func (s Shutdown) AcceptsStream() (bool, Refusal) {
	share := float64(s.Elapsed) / float64(s.Grace)
	switch {
	case share < takeShare:
		return true, 0
	case s.OthersAccept:
		return false, Stopping
	default:
		return share < takeLastShare, AllStopping
	}
}
