package membership

import (
	"cmp"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// State is what a daemon holds of one life of another. A draining daemon is
// Alive with Update.Draining set.
type State uint8

// The states, in the order in which one overrides another at equal revision.
const (
	Alive   State = iota
	Suspect       // did not answer; dead soon unless it refutes
	Dead          // did not refute in time
	Left          // said itself that it stopped
)

// String gives the state in lower case.
func (s State) String() string {
	names := [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}
	return names[s]
}

// live tells members that take part from those that do not.
func (s State) live() bool {
	return s == Alive || s == Suspect
}

// Meta is what is constant through one life of a daemon.
type Meta struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	PeerAddress   string // host:port for other daemons
	CallerAddress string // base URL for callers
	Domain        state.FailureDomain
	Region        state.Region
}

// Update is what one daemon says of one life of a daemon. Updates of one daemon
// are ordered by incarnation, revision, state; the greater wins everywhere.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID          state.DaemonID
	Incarnation state.Incarnation
	Revision    uint32 // raised only by the daemon itself: to refute, drain or leave
	State       State
	Draining    bool
	Accuser     state.DaemonID // who accuses; set for Suspect only
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

// FactKind says what a Fact is about.
type FactKind uint8

// The kinds of facts. Those on backend servers override each other by Version.
const (
	BackendLeaving   FactKind = iota + 1 // Subject is a backend server that stops
	BackendFailed                        // Subject is a backend server that does not answer
	BackendAvailable                     // Subject is a backend server that is in use again
	DocumentVersion                      // Subject is a service; Version is its document's
	Notice                               // Subject is what the caller has to say, in whole
)

// subject names what a fact of this kind is about.
func (k FactKind) subject() subjectKind {
	switch k {
	case DocumentVersion:
		return aboutDocument
	case Notice:
		return aboutNotice
	default:
		return aboutBackend
	}
}

// Fact is a small thing that every daemon should know soon, for a while.
type Fact struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind     FactKind
	Subject  string
	Version  uint64       // orders facts of one subject; see Membership.report
	Reporter state.Member // the daemon that first said so
	AgeMS    uint32       // milliseconds since the reporter observed it
}

// Digest is a daemon's own summary. It goes to its neighbours on every probe and
// answer and is not passed on.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	DocumentsHash uint64 // hash of the document versions in force
	LoadPermille  uint16 // thousandths of its own capacity in use
	Opaque        []byte // anything else, a few dozen bytes
}

// equal reports whether d and e say the same.
func (d Digest) equal(e Digest) bool {
	return d.DocumentsHash == e.DocumentsHash && d.LoadPermille == e.LoadPermille && string(d.Opaque) == string(e.Opaque)
}

// Rumours are updates and facts on their way through the fleet.
type GossipPayload struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Updates []Update
	Facts   []Fact
	// Members is a hash of the live members that the sender knows, with their revisions.
	MembersHash uint64
}

// Message is one message between daemons: Ping, Ack, PingRequest, PingResult,
// Gossip, Compare or Records.
type Message interface {
	membershipMessage()
}

// Ping asks Target to answer with an Ack.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint32
	Self    Update // the sender's newest word on itself
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

// PingRequest asks a helper to ping Target and to say what came of it.
type PingRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq     uint32
	Self    Update
	Target  state.DaemonID
	Address string
}

// PingResult answers the PingRequest with the same Seq. Answered is false when the
// helper is in order but its own ping timed out: the asker then knows that the
// fault is not its own.
type PingResult struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Seq      uint32
	Self     Update
	Answered bool
}

// Gossip carries rumours and wants no answer.
type Gossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self    Update
	Payload GossipPayload
}

// Compare begins an exchange of state, and introduces a daemon to one that may not
// know it: Self has Meta. Hashes has one hash a bucket of live members.
type ExchangeRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self         Update
	BucketHashes []uint64
	FactsHash    uint64 // hash of the facts held
}

// Records answers Compare with all that is known in the buckets that differ. With
// Want the receiver answers with its own records of the same buckets.
type ExchangeRecords struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Self    Update
	Buckets []uint8
	Updates []Update
	Facts   []Fact
	// FactsDiffer asks the receiver for its facts as well.
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
