package shares

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Message is a message between daemons about the use of a service.
type Message interface {
	sharesMessage()
}

// Report tells the owner of a node of the tree what some daemons' customers use.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service state.ServiceID
	Depth   int    // number of levels of the sender's tree
	Level   int    // of the receiving node
	Index   uint64 // of the receiving node
	// Child is the index of the reporting node; it is not used in the report of a single daemon.
	Child  uint64
	Leaf   bool   // the report is that of a single daemon
	Number uint64 // increases with each report of the sender's process
	// Daemons is the number of daemons whose use is included.
	Daemons int
	// ContendedMS is for how long the service remains contended, in milliseconds.
	ContendedMS int
	// Customers, Admitted and Rejected are parallel and list the largest customers.
	Customers []Customer
	Admitted  []uint32
	Rejected  []uint32
	// Other is the use of the customers that are not listed, at least OtherCustomers.
	OtherAdmitted  uint32
	OtherRejected  uint32
	OtherCustomers int
}

// Table tells the daemons of a service how its customers stand.
type Table struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service     state.ServiceID
	Depth       int
	Root        state.DaemonID
	Incarnation state.Incarnation // of Root
	Number      uint64            // increases with each table of Root
	Daemons     int               // daemons whose use is included
	ContendedMS int
	Total       uint32 // tokens admitted for all customers
	Share       uint32 // the fair share of a customer with weight 1, in tokens
	// Customers lists those that exceed their share and the largest others, the largest first. Used
	// is what they use, in units of Share/shareUnits.
	Customers []Customer
	Used      []uint32
}

// ContentionNotice tells all daemons that a service is contended.
type ContentionNotice struct {
	Service state.ServiceID `msgpack:"service"`
}

func (Report) sharesMessage() {}
func (Table) sharesMessage()  {}

// shareUnits is the resolution of Table.Used.
const shareUnits = 64

func (r *Report) node() node { return node{depth: r.Depth, level: r.Level, index: r.Index} }

// used returns what a listed customer uses, in tokens.
func (t *Table) used(i int) float64 {
	return float64(t.Used[i]) * float64(t.Share) / shareUnits
}

// valid reports whether the parallel lists of a message have the same length.
func (r *Report) valid() bool {
	return len(r.Admitted) == len(r.Customers) && len(r.Rejected) == len(r.Customers) && r.Level >= 0 && r.Level < r.Depth
}

func (t *Table) valid() bool { return len(t.Used) == len(t.Customers) }

func milliseconds(d time.Duration) int { return int(max(d, 0) / time.Millisecond) }
