// Package streams holds what daemons tell each other about the answers of
// requests, so that a caller can take its answer up at any daemon.
//
// The owner of a request registers it with two other daemons, the request's
// registrars, once it surely began, and again at its end. A daemon that a caller
// comes back to looks the record up there, then pulls the answer from its owner,
// or takes the request over if the owner is gone.
package streams

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Record is one request as its registrars know it.
type Record struct {
	Request  state.RequestID      `msgpack:"r"`
	Owner    state.Member         `msgpack:"o"`
	Service  state.ServiceID      `msgpack:"s"`
	Customer state.CustomerID     `msgpack:"u"`
	Class    state.ClassID        `msgpack:"c"`
	Key      state.IdempotencyKey `msgpack:"k"`
	Prompt   string               `msgpack:"p"`
	Adapter  string               `msgpack:"d"`

	MaxTokens int           `msgpack:"m"`
	Deadline  time.Duration `msgpack:"t"` // to the first token

	// What runs it now.
	Replica state.Replica `msgpack:"i"`
	Attempt state.Attempt `msgpack:"a"`
	Epoch   state.Epoch   `msgpack:"e"`

	// Answer is set once the request has ended.
	Answer *Answer `msgpack:"w"`
}

// Answer is the part of an answer from one index on.
type Answer struct {
	From    int            `msgpack:"f"`
	Tokens  []caller.Token `msgpack:"t"`
	Outcome *Outcome       `msgpack:"o"` // nil while it goes on
}

// OutcomeKind names the kinds of state.Outcome.
type OutcomeKind string

// The values of OutcomeKind.
const (
	Completed OutcomeKind = "completed"
	Refused   OutcomeKind = "refused"
	Failed    OutcomeKind = "failed"
	Unknown   OutcomeKind = "unknown"
)

// Outcome is a state.Outcome on its way between daemons.
type Outcome struct {
	Kind   OutcomeKind  `msgpack:"k"`
	Reason state.Reason `msgpack:"r"`
	Tokens int          `msgpack:"t"`
}

// Register stores a record at a registrar; a later one of the same request
// replaces it if its epoch is not below.
type Register struct {
	Record Record `msgpack:"r"`
}

// LookUp asks a registrar for a record.
type Lookup struct {
	Request state.RequestID `msgpack:"r"`
}

// LookedUp answers LookUp.
type LookupResult struct {
	Known  bool   `msgpack:"k"`
	Record Record `msgpack:"r"`
}

// Pull asks a request's owner for its answer from an index on. The owner waits
// up to Wait for something to tell.
type Pull struct {
	Request state.RequestID `msgpack:"r"`
	From    int             `msgpack:"f"`
	Wait    time.Duration   `msgpack:"w"`
}

// Pulled answers Pull. Known is false where the receiver does not have the
// request.
type PullResult struct {
	Known  bool   `msgpack:"k"`
	Answer Answer `msgpack:"a"`
}

// CancelRequest asks a request's owner to end it.
type CancelRequest struct {
	Request state.RequestID `msgpack:"r"`
}

// Canceled answers CancelRequest.
type CancelResult struct {
	Known bool `msgpack:"k"`
}

// OutcomeOf describes o for another daemon.
func NewOutcome(o state.Outcome) *Outcome {
	switch o := o.(type) {
	case state.Completed:
		return &Outcome{Kind: Completed, Tokens: o.Tokens}
	case state.Refused:
		return &Outcome{Kind: Refused, Reason: o.Reason}
	case state.Failed:
		return &Outcome{Kind: Failed, Reason: o.Reason, Tokens: o.Tokens}
	case state.Unknown:
		return &Outcome{Kind: Unknown, Reason: o.Reason}
	}
	return nil
}

// State returns the outcome. A refusal's proof does not travel: another daemon's
// word that a request was not run is passed on as unknown.
func (o *Outcome) State() state.Outcome {
	switch o.Kind {
	case Completed:
		return state.Completed{Tokens: o.Tokens}
	case Failed:
		return state.Failed{Reason: o.Reason, Tokens: o.Tokens}
	default:
		return state.Unknown{Reason: o.Reason}
	}
}
