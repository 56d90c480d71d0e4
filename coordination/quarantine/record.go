package quarantine

import (
	"encoding/json"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table holds a row for each content that was run alone, by Fingerprint.String.
const Table = "quarantine"

// recordState says what a row stands for.
type recordState string

const (
	stateTaken     recordState = "taken"     // Holder runs the content alone, or may
	stateFree      recordState = "free"      // nobody does; the last run did not convict it
	stateConvicted recordState = "convicted" // it is refused until Until
)

// record is a row's value, as JSON.
type record struct {
	State  recordState  `json:"state"`
	Holder state.Member `json:"holder"`
	Turn   uint64       `json:"turn"` // of Holder
	Until  int64        `json:"until,omitempty"`
	Proved bool         `json:"proved,omitempty"`
	At     int64        `json:"at"` // seconds since 1970
}

// expired reports whether r is a conviction that no longer holds.
func (r record) expired(now time.Time) bool {
	return r.State == stateConvicted && !time.Unix(r.Until, 0).After(now)
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("quarantine: a record of plain fields does not encode: " + err.Error())
	}
	return b
}

// decodeRecord reads a row. One that can't be read counts as taken by nobody
// alive: no run is based on it, and it becomes a conviction in time.
func decodeRecord(row store.Row) record {
	var r record
	if json.Unmarshal(row.Value, &r) != nil {
		return record{State: stateTaken}
	}
	return r
}

func commit(fp Fingerprint, revision uint64, r record) store.Commit {
	return store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: Table, Key: fp.String(), Revision: revision}},
		Writes:     []store.Write{{Table: Table, Key: fp.String(), Value: r.encode()}},
	}}
}
