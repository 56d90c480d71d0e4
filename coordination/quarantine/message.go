package quarantine

import "github.com/hibiscuswick/hibiscuswick/state"

// Message is Tell, Ack or Compare.
type Message interface {
	message()
}

// Tell carries facts. All of them may come twice, late and in any order.
type FactUpdate struct {
	Seq         uint64            `msgpack:"q,omitempty"` // to be answered by an Ack; 0: not to be
	Deaths      []Death           `msgpack:"d,omitempty"`
	Implicated  []Implication     `msgpack:"i,omitempty"`
	Cleared     []Implication     `msgpack:"c,omitempty"`
	Quarantined []QuarantineEntry `msgpack:"v,omitempty"`
}

// Death is one daemon's observation of a backend server's death.
type Death struct {
	ID        uint64              `msgpack:"i"`
	Replica   state.ReplicaID     `msgpack:"r"`
	Domain    state.FailureDomain `msgpack:"d"`
	AgeMillis uint32              `msgpack:"a"`
}

// Implication says that Fingerprint ran where Death happened.
type Implication struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Death       uint64      `msgpack:"d"`
}

// Conviction says that Fingerprint is refused until then, in seconds since 1970.
type QuarantineEntry struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Until       int64       `msgpack:"u"`
}

// Ack says that the facts of the Tell of that Seq are known.
type Ack struct {
	Seq uint64 `msgpack:"q"`
}

// Compare carries a digest of the sender's facts; a receiver with another
// digest tells all of its own, one with the same an empty Tell.
type FactDigest struct {
	Digest uint64 `msgpack:"d"`
}

func (FactUpdate) message() {}
func (Ack) message()        {}
func (FactDigest) message() {}
