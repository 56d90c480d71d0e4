package claims

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table holds one row per claimed idempotency key.
const Table = "claims"

// Key names one piece of work.
type Key struct {
	Service  state.ServiceID      `json:"service" msgpack:"service"`
	Customer state.CustomerID     `json:"customer" msgpack:"customer"`
	Key      state.IdempotencyKey `json:"key" msgpack:"key"`
}

var escaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Row gives the row key: the three parts joined by "/", with "/" and "%" in
// them escaped, so that no two keys share a row.
func (k Key) Row() string {
	return escaper.Replace(string(k.Service)) + "/" +
		escaper.Replace(string(k.Customer)) + "/" + escaper.Replace(string(k.Key))
}

// Phase is how far the work under a key has come.
type Phase string

// The values of Phase.
const (
	PhaseClaimed Phase = "claimed" // one daemon may dispatch it, and may have
	PhaseVoided  Phase = "voided"  // proof that nothing ran; may be claimed again
	PhaseDone    Phase = "done"    // completed
	PhaseFailed  Phase = "failed"  // began and did not complete
	PhaseUnknown Phase = "unknown" // can't be told, and never will be
)

// Terminal reports whether the work will never be dispatched (again).
func (p Phase) Terminal() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseUnknown
}

// Backend is one backend server of a claimed attempt. Boot changes whenever
// the server loses its memory of attempts and epochs; it is empty where the
// server does not report one, and then nothing it says proves that an attempt
// never began.
type Backend struct {
	ID   state.BackendID `json:"id" msgpack:"id"`
	Boot string          `json:"boot,omitempty" msgpack:"boot"`
}

// Slot is the capacity in hand for one attempt. The claimant names the attempt.
type Slot struct {
	Attempt  state.Attempt   `json:"attempt" msgpack:"attempt"`
	Replica  state.ReplicaID `json:"replica" msgpack:"replica"`
	Backends []Backend       `json:"backends" msgpack:"backends"`
}

// Record is the value of a claim row.
type Record struct {
	Nonce   state.Nonce     `json:"nonce" msgpack:"nonce"`
	Seq     uint32          `json:"seq" msgpack:"seq"` // numbers the writes of Nonce, from 1
	Content string          `json:"content" msgpack:"content"`
	Owner   state.Member    `json:"owner" msgpack:"owner"`
	Request state.RequestID `json:"request" msgpack:"request"`
	Slot    Slot            `json:"slot" msgpack:"slot"`
	Epoch   state.Epoch     `json:"epoch" msgpack:"epoch"` // grows with each takeover; see engine.Resume
	Phase   Phase           `json:"phase" msgpack:"phase"`
	Digest  string          `json:"digest,omitempty" msgpack:"digest"` // of a done answer
	At      int64           `json:"at" msgpack:"at"`                   // Unix seconds of the write, for the sweep only
}

// Encode gives the row value.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claims: a record always encodes: " + err.Error())
	}
	return b
}

// DecodeRecord reads a row value.
func DecodeRecord(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// KeyHome picks the daemon that batches the claims of a key. Only the count
// members that rank highest for the role of key home take part, because a
// batch pays off only where many claims meet: with 420 homes each would see a
// claim or two a second. All daemons with one view choose alike; with
// different views the conditional write still decides. It returns "" for no
// members.
func KeyHome(key string, members []state.DaemonID, count int) state.DaemonID {
	homes := make([]ranked, 0, count+1)
	for _, m := range members {
		homes = insertRanked(homes, ranked{m, rank("key-home", m)}, count)
	}
	var best ranked
	for _, h := range homes {
		r := ranked{h.id, rank(key, h.id)}
		if best.id == "" || r.above(best) {
			best = r
		}
	}
	return best.id
}

type ranked struct {
	id   state.DaemonID
	rank uint64
}

func (r ranked) above(o ranked) bool {
	if r.rank != o.rank {
		return r.rank > o.rank
	}
	return r.id < o.id
}

func rank(salt string, m state.DaemonID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}

// insertRanked keeps the best count entries of list in order.
func insertRanked(list []ranked, r ranked, count int) []ranked {
	i := len(list)
	for i > 0 && r.above(list[i-1]) {
		i--
	}
	if i >= count {
		return list
	}
	list = append(list, ranked{})
	copy(list[i+1:], list[i:])
	list[i] = r
	if len(list) > count {
		list = list[:count]
	}
	return list
}
