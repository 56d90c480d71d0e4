package limit

import "github.com/hibiscuswick/hibiscuswick/state"

// Message is Report or Grant.
type Message interface {
	message()
}

// Report goes from a daemon, as seat and holder, to an owner. It is answered by
// one Grant. Stamps are nanoseconds on the clock of the daemon that made them,
// since that life of it began, from 1.
type Report struct {
	Stamp int64 `msgpack:"s"`

	// Echo is the Stamp of the newest Grant of the receiver's life To; 0 if
	// there is none.
	Echo int64             `msgpack:"e,omitempty"`
	To   state.Incarnation `msgpack:"t,omitempty"`

	// Lent has a bit for each shard that the sender's seat lends the receiver,
	// for LoanLife after Echo. A shard without its bit is asked back.
	Lent uint64 `msgpack:"l,omitempty"`

	Usages []Usage `msgpack:"u,omitempty"`
}

// Use tells the tokens of one key that the sender wants, and what became of
// the batches that the receiver gave.
type Usage struct {
	Service  state.ServiceID  `msgpack:"s"`
	Customer state.CustomerID `msgpack:"c"`
	Need     uint32           `msgpack:"n,omitempty"` // tokens for waiting requests
	Prefetch uint32           `msgpack:"p,omitempty"` // tokens for expected requests
	Batches  []BatchUsage     `msgpack:"b,omitempty"`
}

// BatchUse tells the tokens spent of one batch so far. Nothing more is spent of
// a closed one.
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

	// Counted has a bit for each shard for which the sender counts the
	// receiver's seat.
	Counted uint64 `msgpack:"k,omitempty"`

	// Leaving owners are to be lent nothing.
	Leaving bool `msgpack:"v,omitempty"`

	Allocations []Allocation `msgpack:"h,omitempty"`
}

// Share answers one Use that asked for tokens.
type Allocation struct {
	Service  state.ServiceID  `msgpack:"s"`
	Customer state.CustomerID `msgpack:"c"`
	Batch    uint64           `msgpack:"b,omitempty"`
	Tokens   uint32           `msgpack:"n,omitempty"`

	// WaitMillis is when the next token may be there, if Tokens is less than
	// was needed.
	WaitMillis uint32 `msgpack:"w,omitempty"`

	// Tight reports that the whole burst is out in batches: nothing is minted
	// until the word on spent tokens comes.
	Exhausted bool `msgpack:"g,omitempty"`

	// Word reports that much of the burst is out in batches. Else a batch that
	// was spent whole needs no word: it is taken as spent when it runs out.
	ReportSpent bool `msgpack:"d,omitempty"`

	// Unready reports that the sender has no seats for the key, so that
	// nothing is known of the limit.
	Unready bool `msgpack:"u,omitempty"`
}

func (Report) message() {}
func (Grant) message()  {}
