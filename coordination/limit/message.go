package limit

import "github.com/hibiscuswick/hibiscuswick/state"

// Message is Report or Grant.
type Message interface {
	message()
}

// Report is sent by a daemon in its roles of seat and holder to one in its role of owner,
// which answers with one Grant. The package documentation describes the three roles.
// Stamps are nanoseconds on the sender's clock since the start of its
// incarnation, from 1.
type Report struct {
	Stamp int64 `msgpack:"s"`

	// Echo is the Stamp of the newest Grant from the receiver's incarnation To; 0
	// if there is none.
	Echo int64             `msgpack:"e,omitempty"`
	To   state.Incarnation `msgpack:"t,omitempty"`

	// Lent has a bit for each shard of the keys for which the sender lends its seat,
	// its fixed share of every limit, to the receiver, for LoanTTL after Echo. Loans of all other shards are reclaimed.
	Lent uint64 `msgpack:"l,omitempty"`

	Usages []Usage `msgpack:"u,omitempty"`
}

// Usage is the sender's demand for tokens of one key, and its use of the batches
// that the receiver gave it.
type Usage struct {
	Service  state.ServiceID  `msgpack:"s"`
	Customer state.CustomerID `msgpack:"c"`
	Need     uint32           `msgpack:"n,omitempty"` // tokens for waiting requests
	Prefetch uint32           `msgpack:"p,omitempty"` // tokens for expected requests
	Batches  []BatchUsage     `msgpack:"b,omitempty"`
}

// BatchUsage is the number of tokens spent of one batch so far. No more tokens of
// a closed batch will be spent.
type BatchUsage struct {
	ID     uint64 `msgpack:"i"`
	Spent  uint32 `msgpack:"s,omitempty"`
	Closed bool   `msgpack:"c,omitempty"`
}

// Grant answers a Report.
type Grant struct {
	Stamp int64 `msgpack:"s"`
	Echo  int64 `msgpack:"e"` // Stamp of the Report

	// To is the highest incarnation of the receiver that the sender knows.
	To state.Incarnation `msgpack:"t,omitempty"`

	// Counted has a bit for each shard for which the sender counts the receiver's
	// seat.
	Counted uint64 `msgpack:"k,omitempty"`

	// Leaving says that the sender is stopping; nothing must be lent to it.
	Leaving bool `msgpack:"v,omitempty"`

	Allocations []Allocation `msgpack:"h,omitempty"`
}

// Allocation answers a Usage that requested tokens.
type Allocation struct {
	Service  state.ServiceID  `msgpack:"s"`
	Customer state.CustomerID `msgpack:"c"`
	Batch    uint64           `msgpack:"b,omitempty"`
	Tokens   uint32           `msgpack:"n,omitempty"`

	// WaitMillis is the estimated time until the next token is available, if
	// Tokens is less than Need.
	WaitMillis uint32 `msgpack:"w,omitempty"`

	// Exhausted says that the entire burst is outstanding in batches: no tokens
	// are added until spent ones are reported.
	Exhausted bool `msgpack:"g,omitempty"`

	// ReportSpent says that much of the burst is outstanding in batches, so that
	// completely spent batches must be reported. Otherwise they need no report,
	// because a batch counts as spent when it expires.
	ReportSpent bool `msgpack:"d,omitempty"`

	// Unready says that the sender has no seats or no limit for the key, or is
	// leaving, so that it can't tell whether the limit is exhausted.
	Unready bool `msgpack:"u,omitempty"`
}

func (Report) message() {}
func (Grant) message()  {}
