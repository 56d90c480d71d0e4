package claims

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
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

// Row gives the row key: the shard, then the three parts joined by "/", with
// "/" and "%" in them escaped, so that no two keys share a row. The shard lets
// the sweep read the table in small pieces.
func (k Key) Row() string {
	key := escaper.Replace(string(k.Service)) + "/" +
		escaper.Replace(string(k.Customer)) + "/" + escaper.Replace(string(k.Key))
	return shardPrefix(uint16(xxhash.Sum64String(key))) + key
}

// shardPrefix is what the row keys of a shard begin with.
func shardPrefix(shard uint16) string {
	return fmt.Sprintf("%04x/", shard)
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
	ID     state.BackendID `json:"id" msgpack:"id"`
	BootID string          `json:"boot,omitempty" msgpack:"boot"`
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

// KeyHomes picks the daemons that batch claims: count of them, because a batch
// pays off only where many claims meet. With each of 420 daemons a key home,
// each would see a claim or two a second. It is to be called when the membership
// view changes.
func KeyHomes(members []state.DaemonID, count int) []state.DaemonID {
	return rendezvous.Rank("key-home", members, count)
}

// KeyHome picks a key's home. Daemons with one view choose alike; with
// different views the conditional write still decides.
func KeyHome(k Key, homes []state.DaemonID) (state.DaemonID, bool) {
	return rendezvous.Owner(k.Row(), homes)
}
