// Package streams defines the messages that daemons exchange about the answers of
// requests, so that a caller can resume its answer at any daemon.
//
// The owner of a request registers it with two other daemons, the request's
// registrars, once it is known to have started, and again when it ends. A daemon
// to which a caller reconnects looks up the record there, then pulls the answer
// from the owner, or takes over the request if the owner is gone.
package streams

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Record describes one request. Its owner registers it with two other daemons, the
// registrars, at which other daemons look it up; see the package comment.
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
	Deadline  time.Duration `msgpack:"t"` // from the arrival of the request to its first token

	// The attempt that currently runs it.
	Replica state.Replica `msgpack:"i"`
	Attempt state.Attempt `msgpack:"a"`
	Epoch   state.Epoch   `msgpack:"e"`

	// Answer is set once the request has ended.
	Answer *Answer `msgpack:"w"`
}

// Answer is the part of an answer that starts at an index.
type Answer struct {
	From    int            `msgpack:"f"`
	Tokens  []caller.Token `msgpack:"t"`
	Outcome *Outcome       `msgpack:"o"` // nil while the answer continues
}

// OutcomeKind is the kind of a state.Outcome.
type OutcomeKind string

// The values of OutcomeKind.
const (
	Completed OutcomeKind = "completed"
	Refused   OutcomeKind = "refused"
	Failed    OutcomeKind = "failed"
	Unknown   OutcomeKind = "unknown"
)

// Outcome is the encoding of a state.Outcome in messages between daemons.
type Outcome struct {
	Kind   OutcomeKind  `msgpack:"k"`
	Reason state.Reason `msgpack:"r"`
	Tokens int          `msgpack:"t"`
}

// Register stores a record at a registrar. It replaces the stored record of the
// same request unless its epoch is lower.
type Register struct {
	Record Record `msgpack:"r"`
}

// Lookup asks a registrar for a record.
type Lookup struct {
	Request state.RequestID `msgpack:"r"`
}

// LookupResult is the answer to a Lookup.
type LookupResult struct {
	Known  bool   `msgpack:"k"`
	Record Record `msgpack:"r"`
}

// Pull asks a request's owner for its answer from an index on. The owner waits
// up to Wait until there is something to report.
type Pull struct {
	Request state.RequestID `msgpack:"r"`
	From    int             `msgpack:"f"`
	Wait    time.Duration   `msgpack:"w"`
}

// PullResult is the answer to a Pull. Known is false if the receiver does not have
// the request.
type PullResult struct {
	Known  bool   `msgpack:"k"`
	Answer Answer `msgpack:"a"`
}

// CancelRequest asks a request's owner to end it.
type CancelRequest struct {
	Request state.RequestID `msgpack:"r"`
}

// CancelResult is the answer to a CancelRequest.
type CancelResult struct {
	Known bool `msgpack:"k"`
}

// NewOutcome returns the encoding of o, nil for an unknown type.
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

// State returns the decoded outcome. The proof of a refusal is not transmitted, so
// that a request which another daemon reports as not run is returned as unknown.
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
