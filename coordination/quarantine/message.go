package quarantine

import "github.com/hibiscuswick/hibiscuswick/state"

// Message is FactUpdate, Ack or FactDigest.
type Message interface {
	message()
}

// FactUpdate carries facts. They may be delivered repeatedly, late and in any order.
type FactUpdate struct {
	Seq         uint64        `msgpack:"q,omitempty"` // an Ack is required unless 0
	Deaths      []Death       `msgpack:"d,omitempty"`
	Implicated  []Implication `msgpack:"i,omitempty"`
	Cleared     []Implication `msgpack:"c,omitempty"`
	Quarantined []Entry       `msgpack:"v,omitempty"`
}

// Death is one daemon's observation of a backend server's death.
type Death struct {
	ID        uint64              `msgpack:"i"`
	Replica   state.ReplicaID     `msgpack:"r"`
	Domain    state.FailureDomain `msgpack:"d"`
	AgeMillis uint32              `msgpack:"a"`
}

// Implication reports that Fingerprint ran where Death happened.
type Implication struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Death       uint64      `msgpack:"d"`
}

// Entry reports that Fingerprint is refused until Until, in seconds since 1970.
type Entry struct {
	Fingerprint Fingerprint `msgpack:"f"`
	Until       int64       `msgpack:"u"`
}

// Ack acknowledges the FactUpdate with the same Seq.
type Ack struct {
	Seq uint64 `msgpack:"q"`
}

// FactDigest carries a digest of the sender's facts. A receiver with a different digest
// answers with all of its facts, one with the same digest with an empty FactUpdate.
type FactDigest struct {
	Digest uint64 `msgpack:"d"`
}

func (FactUpdate) message() {}
func (Ack) message()        {}
func (FactDigest) message() {}
