// Package site defines the interfaces between a gateway and the platform of its
// site: a table service with change feeds, the configuration that operators write
// there, and the list of backend servers.
package site

import (
	"context"
	"errors"
	"time"
)

// Errors of calls. Any other error means that the call was not answered: a write
// may have taken effect, or may still take effect.
var (
	// ErrHistoryGone: the changes after the given revision are no longer
	// retained; the complete table has to be read.
	ErrHistoryGone = errors.New("change history is no longer available")
	// ErrConflict: a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable: the service refused the call; it had no effect.
	ErrUnavailable = errors.New("service unavailable")
)

// Item is one decoded row of a feed.
type Item[T any] struct {
	Key      string
	Removed  bool
	Revision uint64 // of the row's last write; see NewRevision
	Value    T      // undefined if Removed or Err is set
	Err      error  // the error of decoding the row
}

// Batch holds all rows of a feed, or its changes, up to Revision.
type Batch[T any] struct {
	Items    []Item[T]
	Revision uint64
}

// Feed reports the changes of a set of rows.
type Feed[T any] interface {
	// Read returns all rows.
	Read(ctx context.Context) (Batch[T], error)
	// Follow returns the changes after a revision, as soon as there is one or
	// after wait. After ErrHistoryGone, which may be a RestoredError, the caller has to call
	// Read.
	Follow(ctx context.Context, after uint64, wait time.Duration) (Batch[T], error)
}

// Row is one row of a table that hibiscuswick owns.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Rows is a snapshot of a table.
type Rows struct {
	Rows []Row
	// Now is the reading of the service's monotonic clock. Only differences
	// between two readings are meaningful.
	Now time.Duration
	// Epoch is how often the service has been restored from a backup.
	Epoch uint64
}

// Change writes one row, or removes it if Value is nil. With Conditional set it
// takes effect only if the row has Revision; 0 means that the row does not exist.
type Change struct {
	Key         string
	Value       []byte
	Conditional bool
	Revision    uint64
}

// Table is a table that hibiscuswick owns.
type Table interface {
	Read(ctx context.Context) (Rows, error)
	// Commit returns the revision of the written row. ErrConflict proves that
	// nothing was written.
	Commit(ctx context.Context, c Change) (uint64, error)
}
