// Package store defines the values with which state machines access the platform's table
// service: a state machine returns a Call as an action and later receives the Result with the
// same ID. The types mirror protocol/platform field by field, so that a daemon converts them
// one to one.
package store

// CallID identifies one call of one state machine; it is never 0.
type CallID uint64

// Row is one row of a table. Revision starts at 1 and is incremented by each write of the row.
type Row struct {
	Table    string
	Key      string
	Value    []byte
	Revision uint64
}

// Condition must hold when a transaction commits: the row has Revision, or does not exist if
// Revision is 0.
type Condition struct {
	Table    string
	Key      string
	Revision uint64
}

// Write puts or deletes a row.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that are committed atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Class is the purpose of a call; the store budget serves lower values first.
type Class uint8

// The values of Class, most urgent first.
const (
	ClassClaim      Class = iota // claims of never-repeat requests
	ClassLease                   // leases of controllers
	ClassDocument                // edits and polls of service documents
	ClassPresence                // presence rows of daemons
	ClassBackground              // terminal outcomes and sweeps, which may be delayed
	NumClasses      = 5          // number of classes
)

// Request is the operation of a call: Commit, Get or Scan.
type Request interface {
	request()
}

// Commit applies Txn atomically. A Done result has the written rows in the order of Txn.Writes.
type Commit struct {
	Txn Txn
}

// Get reads one row. A Done result has one row, or none if the row does not exist.
type Get struct {
	Table string
	Key   string
}

// Scan reads the rows whose key starts with Prefix, in key order.
type Scan struct {
	Table  string
	Prefix string
}

func (Commit) request() {}
func (Get) request()    {}
func (Scan) request()   {}

// Call is one call to the table service. The caller of a state machine answers each call
// exactly once, with Unanswered after its own timeout.
type Call struct {
	ID      CallID
	Class   Class
	Request Request
}

// Writes reports whether the call counts against the store's write budget.
func (c Call) Writes() bool {
	_, ok := c.Request.(Commit)
	return ok
}

// Status is the outcome of a call. The zero value guarantees least.
type Status uint8

// The values of Status.
const (
	// Unanswered: a write may have taken effect, or may still do so later.
	Unanswered Status = iota
	// Done: the call took effect; Rows contains the rows written or read.
	Done
	// Conflict proves that a condition did not hold and nothing was written.
	Conflict
	// NotSent proves that the call never left this daemon.
	NotSent
)

// Result answers the Call with the same ID.
type Result struct {
	Call   CallID
	Status Status
	Rows   []Row
}

// Row returns the only row of a Done Get, or false if there is none.
func (r Result) Row() (Row, bool) {
	if len(r.Rows) == 0 {
		return Row{}, false
	}
	return r.Rows[0], true
}
