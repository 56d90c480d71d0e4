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

// Table is the table with one row per claimed idempotency key.
const Table = "claims"

// Key identifies one piece of work.
type Key struct {
	Service  state.ServiceID      `json:"service" msgpack:"service"`
	Customer state.CustomerID     `json:"customer" msgpack:"customer"`
	Key      state.IdempotencyKey `json:"key" msgpack:"key"`
}

var escaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Row returns the row key: the shard, then the three parts joined by "/", with "/"
// and "%" in them escaped, so that no two keys share a row. The shard lets the
// sweep read the table in small parts.
func (k Key) Row() string {
	key := escaper.Replace(string(k.Service)) + "/" +
		escaper.Replace(string(k.Customer)) + "/" + escaper.Replace(string(k.Key))
	return shardPrefix(uint16(xxhash.Sum64String(key))) + key
}

// shardPrefix returns the common prefix of a shard's row keys.
func shardPrefix(shard uint16) string {
	return fmt.Sprintf("%04x/", shard)
}

// Phase is the state of the work under a key.
type Phase string

// The values of Phase.
const (
	PhaseClaimed Phase = "claimed" // one daemon may dispatch it, or has done so
	PhaseVoided  Phase = "voided"  // nothing ran, which is proved; may be claimed again
	PhaseDone    Phase = "done"    // completed
	PhaseFailed  Phase = "failed"  // started and did not complete
	PhaseUnknown Phase = "unknown" // not known, and never will be
)

// Terminal reports whether the work will never be dispatched any more.
func (p Phase) Terminal() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseUnknown
}

// Backend is one backend server of a claimed attempt. BootID changes whenever the
// server loses its memory of attempts and epochs. It is empty if the server
// reports none; then none of its answers proves that an attempt never started.
type Backend struct {
	ID     state.BackendID `json:"id" msgpack:"id"`
	BootID string          `json:"boot,omitempty" msgpack:"boot"`
}

// Slot is the capacity reserved for one attempt. The claimant chooses the attempt
// number.
type Slot struct {
	Attempt  state.Attempt   `json:"attempt" msgpack:"attempt"`
	Replica  state.ReplicaID `json:"replica" msgpack:"replica"`
	Backends []Backend       `json:"backends" msgpack:"backends"`
}

// Record is the value of a claim row.
type Record struct {
	Nonce   state.Nonce     `json:"nonce" msgpack:"nonce"`
	Seq     uint32          `json:"seq" msgpack:"seq"` // number of the write among those of Nonce, from 1
	Content string          `json:"content" msgpack:"content"`
	Owner   state.Member    `json:"owner" msgpack:"owner"`
	Request state.RequestID `json:"request" msgpack:"request"`
	Slot    Slot            `json:"slot" msgpack:"slot"`
	Epoch   state.Epoch     `json:"epoch" msgpack:"epoch"` // increases with each takeover; see engine.Resume
	Phase   Phase           `json:"phase" msgpack:"phase"`
	Digest  string          `json:"digest,omitempty" msgpack:"digest"` // of the answer, if Phase is PhaseDone
	At      int64           `json:"at" msgpack:"at"`                   // Unix seconds of the write, for the sweep only
}

// Encode returns r as the value of its claim row.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claims: encode record: " + err.Error())
	}
	return b
}

// DecodeRecord decodes the value of a claim row.
func DecodeRecord(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// KeyHomes selects the count daemons that batch claims. There are few of them
// because batching pays off only with many claims per home: with 420 daemons that
// are all key homes, each would get one or two claims per second. Call it whenever
// the membership view changes.
func KeyHomes(members []state.DaemonID, count int) []state.DaemonID {
	return rendezvous.Rank("key-home", members, count)
}

// KeyHome selects a key's home. Daemons with equal views select the same home;
// with different views the conditional write still ensures safety.
func KeyHome(k Key, homes []state.DaemonID) (state.DaemonID, bool) {
	return rendezvous.Owner(k.Row(), homes)
}
