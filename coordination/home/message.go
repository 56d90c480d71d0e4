package home

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// PoolID identifies a pool: a group of one service's replicas within a region.
type PoolID string

// SlotRequestID identifies one request for a slot: an attempt of a request. It also
// identifies the grant, which makes a repeated SlotRequest idempotent.
type SlotRequestID struct {
	Request state.RequestID `msgpack:"r"`
	Attempt state.Attempt   `msgpack:"a"`
}

// attemptMultiplier spreads attempt numbers over the bits of a digest.
const attemptMultiplier = 0x9e3779b97f4a7c15

// Digest returns the contribution of the slot request to a Renewal's digest.
func (a SlotRequestID) Digest() uint64 {
	return xxhash.Sum64String(string(a.Request)) ^ uint64(a.Attempt)*attemptMultiplier
}

// Message is a message between homes and entry daemons.
type Message interface {
	message()
}

// SlotRequest requests a slot from the home of Pool. It ends in exactly one SlotGrant
// or SlotRefusal, or in the sender's CancelSlotRequest.
type SlotRequest struct {
	ID       SlotRequestID    `msgpack:"k"`
	Pool     PoolID           `msgpack:"p"`
	Class    state.ClassID    `msgpack:"c"`
	Customer state.CustomerID `msgpack:"u"`

	// Budget is the time left until the first token when the message is sent.
	// FirstTokenLatency is the part of it between slot and first token on a replica of
	// speed 1; 0 if unknown.
	Budget            time.Duration `msgpack:"b"`
	FirstTokenLatency time.Duration `msgpack:"d,omitempty"`

	// Cost is the expected size of the work in tokens, for fairness; 0 counts as 1.
	Cost uint32 `msgpack:"n,omitempty"`

	// Prefixes are hashes of the prompt's prefix blocks, longest first.
	Prefixes []uint64 `msgpack:"x,omitempty"`

	// Exclude lists replicas that have just failed this request.
	Exclude []state.ReplicaID `msgpack:"e,omitempty"`

	// Exclusive requests a replica that serves nothing else meanwhile, for a request
	// that may have crashed a backend server.
	Exclusive bool `msgpack:"l,omitempty"`

	// Staggered, together with Exclusive, requests a replica on which nothing has started
	// for Config.StaggerInterval, instead of an idle one. Other requests may start there
	// again after ExclusiveEnded. Since nothing else starts in between, a backend
	// server's death in that time can still be attributed to this request.
	Staggered bool `msgpack:"q,omitempty"`

	// Begun is set if the caller has tokens already. No first token is due then: Budget is
	// how long the request may wait for a slot. An older home ignores it.
	Begun bool `msgpack:"g,omitempty"`
}

// ExclusiveEnded is sent by the entry daemon of a staggered grant when the request is
// past the point at which it may crash its replica, so that other requests may start
// there. For the grant of a probe it reports the first token, which every stage of the
// replica has taken part in.
type ExclusiveEnded struct {
	ID   SlotRequestID `msgpack:"k"`
	Pool PoolID        `msgpack:"p"`
}

// SlotGrant grants the sender of the request a slot of Replica until its SlotRelease.
type SlotGrant struct {
	ID      SlotRequestID   `msgpack:"k"`
	Pool    PoolID          `msgpack:"p"`
	Replica state.ReplicaID `msgpack:"i"`
	Summary Summary         `msgpack:"s"`

	// Probe asks the holder for ExclusiveEnded at the request's first token: the replica
	// has failed before, and gets no other request until then.
	Probe bool `msgpack:"b,omitempty"`
}

// SlotRefusal ends a slot request without a slot.
type SlotRefusal struct {
	ID         SlotRequestID    `msgpack:"k"`
	Pool       PoolID           `msgpack:"p"`
	Reason     state.Reason     `msgpack:"o"`
	RetryAfter state.RetryAfter `msgpack:"t"`
	Summary    Summary          `msgpack:"s"`
}

// NotHome reports that the receiver of a slot request is not the pool's home. The
// sender looks up the home again. It ends nothing.
type NotHome struct {
	IDs  []SlotRequestID `msgpack:"k"`
	Pool PoolID          `msgpack:"p"`
}

// Summary is the state of one pool, carried on the answers of its home so that entry
// daemons can choose between pools.
type Summary struct {
	Slots   uint16  `msgpack:"n"` // of replicas that accept new work
	Used    uint16  `msgpack:"u"`
	Waiting uint16  `msgpack:"w"` // requests in the queue
	Rate    float32 `msgpack:"r"` // slots released per second; 0 if unknown
}

// SlotOutcome tells how a grant ended.
type SlotOutcome uint8

// The values of SlotOutcome.
const (
	OutcomeServed  SlotOutcome = iota // the replica served the request
	OutcomeUnused                     // nothing was sent to the replica
	OutcomeFailed                     // a call to the replica failed or was not answered
	OutcomeLeaving                    // the replica reported that it is leaving
)

// SlotRelease releases a slot. Releasing an unknown grant does nothing.
type SlotRelease struct {
	ID      SlotRequestID   `msgpack:"k"`
	Pool    PoolID          `msgpack:"p"`
	Replica state.ReplicaID `msgpack:"i"`
	Outcome SlotOutcome     `msgpack:"o"`

	// Tokens were generated in DecodeTime, counted from the first token on. They show
	// the actual speed of the replica. 0 if unknown.
	Tokens     uint32        `msgpack:"n,omitempty"`
	DecodeTime time.Duration `msgpack:"b,omitempty"`
}

// CancelSlotRequest ends a slot request that is no longer needed. If the slot was
// granted in the meantime, it is released.
type CancelSlotRequest struct {
	ID   SlotRequestID `msgpack:"k"`
	Pool PoolID        `msgpack:"p"`
}

// Renewal reports to a home, at regular intervals, what its sender holds and waits for,
// as one digest per pool.
type Renewal struct {
	Pools []PoolDigest `msgpack:"p"`
}

// PoolDigest is the digest of all slot requests of one daemon in one pool. Held and
// Waiting are the exclusive or of SlotRequestID.Digest over them.
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
