package membership

import (
	"cmp"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// State is a daemon's state as seen by another daemon. A draining daemon is Alive with
// Update.Draining set.
type State uint8

// The states, in the order in which one overrides another at equal revision.
const (
	Alive   State = iota
	Suspect       // did not answer; declared dead unless it refutes
	Dead          // did not refute in time
	Left          // announced that it stopped
)

// String returns the state in lower case.
func (s State) String() string {
	names := [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}
	return names[s]
}

// live reports whether a member in this state takes part in the protocol.
func (s State) live() bool {
	return s == Alive || s == Suspect
}

// Meta holds what is constant during one incarnation of a daemon.
type Meta struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	PeerAddress   string // host:port for other daemons
	CallerAddress string // base URL for callers
	Domain        state.FailureDomain
	Region        state.Region
}

// Update is a statement about one incarnation of a daemon. Updates of one daemon are ordered by
// incarnation, revision and state; the greatest wins everywhere.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID          state.DaemonID
	Incarnation state.Incarnation
	Revision    uint32 // incremented only by the daemon itself: to refute, drain or leave
	State       State
	Draining    bool
	Accuser     state.DaemonID // daemon that suspects; set for Suspect only
	Meta        *Meta          // nil where the receiver is expected to know it
}

// compare orders updates of one daemon.
func (u Update) compare(v Update) int {
	return cmp.Or(
		cmp.Compare(u.Incarnation, v.Incarnation),
		cmp.Compare(u.Revision, v.Revision),
		cmp.Compare(u.State, v.State),
	)
}

// FactKind is the kind of a Fact.
type FactKind uint8

// The kinds of facts. Facts about backend servers override each other by Version.
const (
	BackendLeaving   FactKind = iota + 1 // Subject is a backend server that is stopping
	BackendFailed                        // Subject is a backend server that does not answer
	BackendAvailable                     // Subject is a backend server that is in use again
	DocumentVersion                      // Subject is a service; Version is its document's
	Notice                               // Subject is the complete text given by the caller
)

// subject returns the kind of subject that facts of kind k have.
func (k FactKind) subject() subjectKind {
	switch k {
	case DocumentVersion:
		return subjectDocument
	case Notice:
		return subjectNotice
	default:
		return subjectBackend
	}
}

// Fact is a small statement that is broadcast to all daemons and expires.
type Fact struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind     FactKind
	Subject  string
	Version  uint64       // orders facts about one subject; see reportBackend and notify
	Reporter state.Member // the daemon that reported it first
	AgeMS    uint32       // milliseconds since the reporter observed it
}

// Digest is a summary of one daemon. It is sent to its neighbours with every probe and
// acknowledgement and is not forwarded.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	DocumentsHash uint64 // hash of the active document versions
	LoadPermille  uint16 // used share of the daemon's capacity, in thousandths
	Opaque        []byte // a few dozen bytes that the caller interprets
}

// equal reports whether d and e are equal.
func (d Digest) equal(e Digest) bool {
	return d.DocumentsHash == e.DocumentsHash && d.LoadPermille == e.LoadPermille && string(d.Opaque) == string(e.Opaque)
}

// GossipPayload carries queued updates and facts.
type GossipPayload struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Updates []Update
	Facts   []Fact
	// MembersHash is a hash of the live members known to the sender, with their revisions.
	MembersHash uint64
}

// Message is a message between daemons: Ping, Ack, PingRequest, PingResult, Gossip,
// ExchangeRequest or ExchangeRecords.
type Message interface {
	membershipMessage()
}

// Ping asks Target to reply with an Ack.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint32
	Self    Update // the sender's current record
	Target  state.DaemonID
	Digest  Digest
	Payload GossipPayload
}

// Ack answers the Ping with the same Seq.
type Ack struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint32
	Self    Update
	Digest  Digest
	Payload GossipPayload
}

// PingRequest asks the receiver to ping Target and to report the result.
type PingRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint32
	Self    Update
	Target  state.DaemonID
	Address string
}

// PingResult answers the PingRequest with the same Seq. Answered is false when the relaying
// daemon works but its own ping timed out, so the requester knows that the fault is not its
// own.
type PingResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq      uint32
	Self     Update
	Answered bool
}

// Gossip carries broadcasts and expects no reply.
type Gossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self    Update
	Payload GossipPayload
}

// ExchangeRequest starts a state exchange and introduces the sender to a daemon that may not
// know it: Self has Meta. BucketHashes has one hash per bucket of live members.
type ExchangeRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self         Update
	BucketHashes []uint64
	FactsHash    uint64 // hash of the stored facts
}

// ExchangeRecords answers ExchangeRequest with all records in the buckets that differ. With
// WantRecords, the receiver replies with its own records of the same buckets.
type ExchangeRecords struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self    Update
	Buckets []uint8
	Updates []Update
	Facts   []Fact
	// WantFacts asks the receiver for its facts as well.
	WantFacts   bool
	WantRecords bool
}

func (Ping) membershipMessage()            {}
func (Ack) membershipMessage()             {}
func (PingRequest) membershipMessage()     {}
func (PingResult) membershipMessage()      {}
func (Gossip) membershipMessage()          {}
func (ExchangeRequest) membershipMessage() {}
func (ExchangeRecords) membershipMessage() {}
