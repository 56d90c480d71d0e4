package documents

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Tables of service documents; the row key is the service's ID in both.
const (
	Table         = "documents"
	VersionsTable = "document_versions"
)

// maxRememberedEdits is how many of a service's latest edits its row records.
const maxRememberedEdits = 32

// Doc is one accepted version of a service's document. Text is JSON that has been validated
// before.
type Doc struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
	EditID  string                `msgpack:"edit"`
	Text    []byte                `msgpack:"text"`
}

// AcceptedEdit records one accepted edit.
type AcceptedEdit struct {
	EditID  string                `json:"edit_id"`
	Version state.DocumentVersion `json:"version"`
	Sum     uint64                `json:"sum"` // xxhash of the text
}

// Record is the value of a document row.
type Record struct {
	Version state.DocumentVersion `json:"version"`
	EditID  string                `json:"edit_id"`
	Edits   []AcceptedEdit        `json:"edits"` // the latest, oldest first
	Text    string                `json:"text"`  // byte for byte as the operator sent it
}

// versionRecord is the value of a version row.
type versionRecord struct {
	Version state.DocumentVersion `json:"version"`
}

// doc returns the document in the record.
func (r Record) doc(id state.ServiceID) Doc {
	return Doc{Service: id, Version: r.Version, EditID: r.EditID, Text: []byte(r.Text)}
}

// acceptedEdit returns the accepted edit with that ID, if the row still records it.
func (r Record) acceptedEdit(editID string) (AcceptedEdit, bool) {
	for _, m := range r.Edits {
		if m.EditID == editID {
			return m, true
		}
	}
	return AcceptedEdit{}, false
}

// remembers reports whether an edit accepted as version v would still be recorded in the row.
func (r Record) remembers(v state.DocumentVersion) bool {
	return r.Version < v || r.Version-v < maxRememberedEdits
}

// next returns the record after an edit of r.
func (r Record) next(editID string, text []byte) Record {
	edits := append([]AcceptedEdit(nil), r.Edits...)
	edits = append(edits, AcceptedEdit{EditID: editID, Version: r.Version + 1, Sum: xxhash.Sum64(text)})
	if len(edits) > maxRememberedEdits {
		edits = edits[len(edits)-maxRememberedEdits:]
	}
	return Record{Version: r.Version + 1, EditID: editID, Edits: edits, Text: string(text)}
}

// DecodeRow decodes a document row.
func DecodeRow(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// txn returns the transaction that writes r over the row at revision.
//
// The text is stored as a string and not as embedded JSON, which would be returned with
// different white space: patches and checksums require identical bytes everywhere.
func (r Record) txn(id state.ServiceID, revision uint64) (store.Txn, error) {
	if !utf8.ValidString(r.Text) {
		return store.Txn{}, fmt.Errorf("document %s is not UTF-8", id)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return store.Txn{}, err
	}
	version, err := json.Marshal(versionRecord{r.Version})
	if err != nil {
		return store.Txn{}, err
	}
	key := string(id)
	return store.Txn{
		Conditions: []store.Condition{{Table: Table, Key: key, Revision: revision}},
		Writes: []store.Write{
			{Table: Table, Key: key, Value: value},
			{Table: VersionsTable, Key: key, Value: version},
		},
	}, nil
}
