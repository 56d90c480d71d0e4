package quarantine

import (
	"encoding/json"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table holds a row for each content that was run exclusively, keyed by
// Fingerprint.String.
const Table = "quarantine"

// recordState is the state of a row.
type recordState string

const (
	stateLocked      recordState = "taken"     // Holder runs the content exclusively, or may do so
	stateFree        recordState = "free"      // no daemon holds the lock; the last run did not quarantine the content
	stateQuarantined recordState = "convicted" // the content is refused until Until
)

// record is the value of a row, encoded as JSON.
type record struct {
	State     recordState  `json:"state"`
	Holder    state.Member `json:"holder"`
	Lock      uint64       `json:"turn"` // lock ID at Holder
	Until     int64        `json:"until,omitempty"`
	Confirmed bool         `json:"proved,omitempty"`
	At        int64        `json:"at"` // seconds since 1970
}

// expired reports whether r is a quarantine entry that is no longer in force.
func (r record) expired(now time.Time) bool {
	return r.State == stateQuarantined && !time.Unix(r.Until, 0).After(now)
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("quarantine: encoding a record failed: " + err.Error())
	}
	return b
}

// decodeRecord decodes a row. An undecodable row counts as locked by no live daemon: no
// run is based on it, and it turns into a quarantine entry in time.
func decodeRecord(row store.Row) record {
	var r record
	if json.Unmarshal(row.Value, &r) != nil {
		return record{State: stateLocked}
	}
	return r
}

func commit(fp Fingerprint, revision uint64, r record) store.Commit {
	return store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: Table, Key: fp.String(), Revision: revision}},
		Writes:     []store.Write{{Table: Table, Key: fp.String(), Value: r.encode()}},
	}}
}
