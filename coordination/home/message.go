package home

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// PoolID names one pool: a group of one service's replicas within a region.
type PoolID string

// Ask names one request for a slot: an attempt of a request. It names the
// grant as well, so that a repeated SlotRequest is idempotent.
type SlotRequestID struct {
	Request state.RequestID `msgpack:"r"`
	Attempt state.Attempt   `msgpack:"a"`
}

// mixAttempt spreads attempt numbers over a digest.
const mixAttempt = 0x9e3779b97f4a7c15

// Digest is the ask's part of a Renewal's digest.
func (a SlotRequestID) Digest() uint64 {
	return xxhash.Sum64String(string(a.Request)) ^ uint64(a.Attempt)*mixAttempt
}

// Message is what homes and entry daemons send to each other.
type Message interface {
	message()
}

// SlotRequest asks the home of Pool for a slot. It ends in exactly one
// SlotGrant or SlotRefusal, or in the sender's CancelWait.
type SlotRequest struct {
	ID       SlotRequestID    `msgpack:"k"`
	Pool     PoolID           `msgpack:"p"`
	Class    state.ClassID    `msgpack:"c"`
	Customer state.CustomerID `msgpack:"u"`

	// Budget is the time left until the first token, from the sending of the
	// message. Lead is the part of it that passes between slot and first
	// token on a replica of speed 1; 0 where not known.
	Budget            time.Duration `msgpack:"b"`
	FirstTokenLatency time.Duration `msgpack:"d,omitempty"`

	// Cost is the expected size of the work in tokens, for fairness; 0 counts
	// as 1.
	Cost uint32 `msgpack:"n,omitempty"`

	// Prefixes are hashes of the prompt's prefix blocks, longest first.
	Prefixes []uint64 `msgpack:"x,omitempty"`

	// Exclude are replicas that just failed this request.
	Exclude []state.ReplicaID `msgpack:"e,omitempty"`

	// Alone asks for a replica that runs nothing else meanwhile, for a
	// request that may have crashed a backend server.
	Exclusive bool `msgpack:"l,omitempty"`

	// Apart, with Alone, does not wait until the replica is idle, only until
	// nothing has begun there for Config.SettleFor, and lets others begin there
	// once SlotPassed has come. A death meanwhile still points to the request.
	Staggered bool `msgpack:"q,omitempty"`
}

// SlotPassed says that the holder of a grant that is apart has done what may end
// its replica.
type ExclusiveEnded struct {
	ID   SlotRequestID `msgpack:"k"`
	Pool PoolID        `msgpack:"p"`
}

// SlotGrant gives the sender of Ask a slot of Replica until its SlotRelease.
type SlotGrant struct {
	ID      SlotRequestID   `msgpack:"k"`
	Pool    PoolID          `msgpack:"p"`
	Replica state.ReplicaID `msgpack:"i"`
	Summary Summary         `msgpack:"s"`
}

// SlotRefusal ends an ask without a slot.
type SlotRefusal struct {
	ID         SlotRequestID    `msgpack:"k"`
	Pool       PoolID           `msgpack:"p"`
	Reason     state.Reason     `msgpack:"o"`
	RetryAfter state.RetryAfter `msgpack:"t"`
	Summary    Summary          `msgpack:"s"`
}

// NotHome says that the receiver of an ask does not hold the pool; the sender
// looks the home up again. It ends nothing.
type NotHome struct {
	IDs  []SlotRequestID `msgpack:"k"`
	Pool PoolID          `msgpack:"p"`
}

// Summary is a home's word on one pool, carried on its answers so that entry
// daemons can choose between pools.
type Summary struct {
	Slots   uint16  `msgpack:"n"` // of replicas that get new work
	Used    uint16  `msgpack:"u"`
	Waiting uint16  `msgpack:"w"` // requests in the queue
	Rate    float32 `msgpack:"r"` // slots that come free in a second; 0 not known
}

// Use says how a grant ended.
type SlotOutcome uint8

// The values of Use.
const (
	OutcomeServed  SlotOutcome = iota // the replica served the request
	OutcomeUnused                     // nothing was sent to the replica
	OutcomeFailed                     // a call to the replica failed or was not answered
	OutcomeLeaving                    // the replica said that it is leaving
)

// SlotRelease gives a slot back. Releasing an unknown grant does nothing.
type SlotRelease struct {
	ID      SlotRequestID   `msgpack:"k"`
	Pool    PoolID          `msgpack:"p"`
	Replica state.ReplicaID `msgpack:"i"`
	Outcome SlotOutcome     `msgpack:"o"`

	// Tokens were made in Busy, counted from the first token on; they show
	// how fast the replica really is. 0 where not known.
	Tokens     uint32        `msgpack:"n,omitempty"`
	DecodeTime time.Duration `msgpack:"b,omitempty"`
}

// CancelWait ends an ask that needs no slot any more. If the slot was granted
// meanwhile, it is given back.
type CancelSlotRequest struct {
	ID   SlotRequestID `msgpack:"k"`
	Pool PoolID        `msgpack:"p"`
}

// Renewal tells a home, a few times a minute, what its sender holds and waits
// for, as one digest a pool.
type Renewal struct {
	Pools []PoolDigest `msgpack:"p"`
}

// PoolDigest stands for all asks of one daemon in one pool. Held and Waiting
// are the exclusive or of Ask.Digest over them.
type PoolDigest struct {
	Pool    PoolID `msgpack:"p"`
	Held    uint64 `msgpack:"h"`
	Waiting uint64 `msgpack:"w"`
}

// ReportQuery asks a daemon for its full report on a pool.
type ReportQuery struct {
	Pool PoolID `msgpack:"p"`
}

// GrantReport lists everything that its sender holds and waits for in Pool.
type GrantReport struct {
	Pool    PoolID          `msgpack:"p"`
	Held    []HeldGrant     `msgpack:"h,omitempty"`
	Waiting []SlotRequestID `msgpack:"w,omitempty"`
}

// HeldGrant is one slot in use.
type HeldGrant struct {
	ID      SlotRequestID   `msgpack:"k"`
	Replica state.ReplicaID `msgpack:"i"`
	Class   state.ClassID   `msgpack:"c"`
}

func (SlotRequest) message()       {}
func (SlotGrant) message()         {}
func (SlotRefusal) message()       {}
func (NotHome) message()           {}
func (SlotRelease) message()       {}
func (ExclusiveEnded) message()    {}
func (CancelSlotRequest) message() {}
func (Renewal) message()           {}
func (ReportQuery) message()       {}
func (GrantReport) message()       {}
