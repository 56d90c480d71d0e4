// Package site is the contract with a site that runs gateways on its platform: a
// table service that keeps rows and tells what changed, the configuration that
// operators write there, and the list of backend servers.
package site

import (
	"context"
	"errors"
	"time"
)

// Errors of calls. Any other error means that the call was not answered: a write
// may have taken effect, or may still do so.
var (
	// ErrHistoryGone: changes after the given revision are no longer kept; the
	// table has to be read whole.
	ErrHistoryGone = errors.New("history is gone")
	// ErrConflict: a condition did not hold, nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable: the service refused the call, nothing was done.
	ErrUnavailable = errors.New("service unavailable")
)

// Item is one row of a feed, decoded.
type Item[T any] struct {
	Key      string
	Removed  bool
	Revision uint64 // of the row; a later write has a higher one
	Value    T      // undefined if Removed or Err is set
	Err      error  // why the row can't be read
}

// Batch is what a feed held, or how it changed, up to Revision.
type Batch[T any] struct {
	Items    []Item[T]
	Revision uint64
}

// Feed tells how a set of rows changes.
type Feed[T any] interface {
	// Read returns all rows.
	Read(ctx context.Context) (Batch[T], error)
	// Follow returns the changes after a revision, as soon as there is one or
	// after wait. ErrHistoryGone demands a Read.
	Follow(ctx context.Context, after uint64, wait time.Duration) (Batch[T], error)
}

// Row is one row of a table of our own.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Rows is what a table held at one moment.
type Rows struct {
	Rows []Row
	// Now is the service's steady clock. Only differences mean anything.
	Now time.Duration
}

// Change writes one row, or removes it if Value is nil. With Conditional set it
// takes effect only if the row has Revision, 0 for a row that does not exist.
type Change struct {
	Key         string
	Value       []byte
	Conditional bool
	Revision    uint64
}

// Table is a table of our own.
type Table interface {
	Read(ctx context.Context) (Rows, error)
	// Commit returns the revision of the written row. ErrConflict proves that
	// nothing was written.
	Commit(ctx context.Context, c Change) (uint64, error)
}
