// Package store holds the values by which decisions talk to the platform's
// table service: a machine returns a Call as an action and is later given the
// Result of the same number. They mirror protocol/platform field by field, so
// that a daemon maps them one to one.
package store

// CallID numbers one call of one machine; it is never 0.
type CallID uint64

// Row is one row of a table. Revision grows with each write of the row, from 1.
type Row struct {
	Table    string
	Key      string
	Value    []byte
	Revision uint64
}

// Condition must hold when a transaction commits: the row has Revision, or does
// not exist when Revision is 0.
type Condition struct {
	Table    string
	Key      string
	Revision uint64
}

// Write puts a row, or deletes it.
type Write struct {
	Table  string
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Class says what a call is for; the budget serves lower values first.
type Class uint8

// The values of Class, most urgent first.
const (
	ClassClaim      Class = iota // claims of never-repeat requests
	ClassLease                   // controllers' leases
	ClassDocument                // edits and polls of service documents
	ClassPresence                // daemons' presence rows
	ClassBackground              // terminal outcomes, sweeps: may wait
	NumClasses      = 5          // how many there are
)

// Request is what a call asks: Commit, Get or Scan.
type Request interface {
	request()
}

// Commit applies Txn whole or not at all; Done carries the written rows in the
// order of Txn.Writes.
type Commit struct {
	Txn Txn
}

// Get reads one row; Done carries one row, or none where there is no such row.
type Get struct {
	Table string
	Key   string
}

// Scan reads the rows of a table whose key begins with Prefix, in order.
type Scan struct {
	Table  string
	Prefix string
}

func (Commit) request() {}
func (Get) request()    {}
func (Scan) request()   {}

// Call is one call to the table service. The caller of a machine answers each
// exactly once; after its own timeout the answer is Unanswered.
type Call struct {
	ID      CallID
	Class   Class
	Request Request
}

// Writes reports whether the call spends the store's write budget.
func (c Call) Writes() bool {
	_, ok := c.Request.(Commit)
	return ok
}

// Status is how a call ended. The zero value promises least.
type Status uint8

// The values of Status.
const (
	// Unanswered: a write may have taken effect, or may still do so later.
	Unanswered Status = iota
	// Done: the call took effect; Rows holds what was written or read.
	Done
	// Conflict proves that a condition did not hold and nothing was written.
	Conflict
	// NotSent proves that the call never left this daemon.
	NotSent
)

// Result answers the Call of the same number.
type Result struct {
	Call   CallID
	Status Status
	Rows   []Row
}

// Row returns the only row of a Done Get, or false where there is none.
func (r Result) Row() (Row, bool) {
	if len(r.Rows) == 0 {
		return Row{}, false
	}
	return r.Rows[0], true
}
