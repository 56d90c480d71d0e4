// Package platform defines the interfaces to the services of the platform: the
// table service, the object store and the instance list. Support for another
// platform is another implementation of these interfaces.
package platform

import (
	"context"
	"errors"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Errors of the table service and the object store. Any other error means that
// the call was not answered: a write may have taken effect nevertheless.
var (
	// ErrConflict: a condition of the transaction did not hold. It proves that
	// nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("not found")
)

// Row is one row of a table. Revision starts at 1 and increases with each write
// of the row.
type Row struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition is a precondition of a transaction: the row has Revision, or does not
// exist if Revision is 0.
type Condition struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write puts or deletes a row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of writes that are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. All methods are safe for concurrent
// use.
type Table interface {
	// Commit applies txn atomically and returns the written rows. ErrConflict
	// proves that nothing was written.
	Commit(ctx context.Context, txn Txn) ([]Row, error)
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns the rows of a table whose key starts with prefix, in key order.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceRole is what runs on an instance.
type InstanceRole string

// The values of InstanceRole.
const (
	RoleEntry  InstanceRole = "entry"  // a daemon of hibiscuswick
	RoleEngine InstanceRole = "engine" // a model engine
	RolePlain  InstanceRole = "plain"  // a plain service
)

// Instance is one row of the platform's instance list, which lags behind the
// actual state.
//
// Daemons send it to each other in an InstanceListPage, where its fields are
// written under their own names.
type Instance struct {
	ID      state.InstanceID    `json:"id"`
	Role    InstanceRole        `json:"role"`
	Address string              `json:"address"` // host:port; peer address for RoleEntry
	Kind    string              `json:"kind"`    // accelerator kind, for engines
	Domain  state.FailureDomain `json:"failure_domain"`
	Region  state.Region        `json:"region"`
	Leaving bool                `json:"leaving"`
}

// Instances is the platform's instance list.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}
