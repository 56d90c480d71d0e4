// Package platform is the contract with what the platform gives: the table
// service, the object store and the instance list. Another platform is one more
// implementation of these interfaces.
package platform

import (
	"context"
	"errors"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Errors of the table service and the object store. Any other error means that
// the call was not answered: a write may have taken effect all the same.
var (
	// ErrConflict: a condition of the transaction did not hold. Nothing was
	// written. It is proof.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound: there is no such row or object.
	ErrNotFound = errors.New("not found")
)

// Row is one row of a table. Revision grows with each write of the row, from 1.
type Row struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition must hold when a transaction commits: the row has Revision, or does
// not exist when Revision is 0.
type Condition struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write puts a row, or deletes it.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. Methods may be called by many
// goroutines at once.
type Table interface {
	// Commit applies txn whole or not at all and returns the written rows.
	// ErrConflict proves that nothing was written.
	Commit(ctx context.Context, txn Txn) ([]Row, error)
	// Get reads one row, or ErrNotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan reads the rows of a table whose key begins with prefix, in order.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// InstanceRole says what runs on an instance.
type InstanceRole string

// The values of InstanceRole.
const (
	RoleEntry  InstanceRole = "entry"  // one of our daemons
	RoleEngine InstanceRole = "engine" // a model engine
	RolePlain  InstanceRole = "plain"  // a plain service
)

// Instance is one row of the platform's list, which lags behind what is true.
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
