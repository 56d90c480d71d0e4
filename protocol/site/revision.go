package site

import "fmt"

// A revision orders the writes of a table service. A service that comes back from a backup gives out
// again the versions that it has lost, under a higher epoch: revisions consist of the epoch and the
// version, so that each write after a restore has a higher one than any write before.

// Widths of a revision's parts, in bits.
const (
	epochBits   = 20
	versionBits = 64 - epochBits
)

// MaxEpoch and MaxVersion are the highest values of a revision's parts. At 10,000 writes per second
// the versions last for 55 years.
const (
	MaxEpoch   = 1<<epochBits - 1
	MaxVersion = 1<<versionBits - 1
)

// NewRevision returns the revision of a version in an epoch. Both must not exceed their maximum.
func NewRevision(epoch, version uint64) uint64 { return epoch<<versionBits | version&MaxVersion }

// Epoch returns how often the service had been restored from a backup at a revision.
func Epoch(revision uint64) uint64 { return revision >> versionBits }

// Version returns the version that the service gave to a revision's write.
func Version(revision uint64) uint64 { return revision & MaxVersion }

// RestoredError reports that the service was restored from a backup after the given revision. It wraps
// ErrHistoryGone: the complete table has to be read.
type RestoredError struct {
	Epoch uint64 // the service's current one
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("restored from a backup, now in epoch %d", e.Epoch)
}

// Unwrap returns ErrHistoryGone.
func (e *RestoredError) Unwrap() error { return ErrHistoryGone }
