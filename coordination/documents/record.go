package documents

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// The tables of service documents; the row key is the service's id in both.
const (
	Table         = "documents"
	VersionsTable = "document_versions"
)

// marksKept is how many of a service's latest edits its row remembers.
const marksKept = 32

// Doc is one accepted state of a service's document. Text is JSON, checked
// before it comes here.
type Doc struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
	EditID  string                `msgpack:"edit"`
	Text    []byte                `msgpack:"text"`
}

// Mark remembers one accepted edit.
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

// doc gives the document that the record holds.
func (r Record) doc(id state.ServiceID) Doc {
	return Doc{Service: id, Version: r.Version, EditID: r.EditID, Text: []byte(r.Text)}
}

// mark returns the accepted edit of that id, if it is among those remembered.
func (r Record) mark(editID string) (AcceptedEdit, bool) {
	for _, m := range r.Edits {
		if m.EditID == editID {
			return m, true
		}
	}
	return AcceptedEdit{}, false
}

// remembers reports whether an edit accepted as version v would still have its
// mark in the row.
func (r Record) remembers(v state.DocumentVersion) bool {
	return r.Version < v || r.Version-v < marksKept
}

// next is the record after an edit of r.
func (r Record) next(editID string, text []byte) Record {
	marks := append([]AcceptedEdit(nil), r.Edits...)
	marks = append(marks, AcceptedEdit{EditID: editID, Version: r.Version + 1, Sum: xxhash.Sum64(text)})
	if len(marks) > marksKept {
		marks = marks[len(marks)-marksKept:]
	}
	return Record{Version: r.Version + 1, EditID: editID, Edits: marks, Text: string(text)}
}

// DecodeRow reads a document row.
func DecodeRow(row store.Row) (Record, error) {
	var r Record
	err := json.Unmarshal(row.Value, &r)
	return r, err
}

// txn writes rec as the successor of the row at revision.
//
// The text is kept as a string, not as embedded JSON, which would come back
// with other white space: patches and checksums need equal bytes everywhere.
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
