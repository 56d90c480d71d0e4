package claims

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// WriteRequest asks the key's home daemon for a conditional write of a claim row.
type WriteRequest struct {
	Call  uint64 `msgpack:"call"` // chosen by the claimant
	Key   string `msgpack:"key"`  // row key
	Base  uint64 `msgpack:"base"` // required revision of the row, 0 for no row
	Value []byte `msgpack:"value"`
	Lazy  bool   `msgpack:"lazy"` // may be delayed to share a transaction
}

// WriteReply answers a WriteRequest. If HasRow is set, Revision and Value are the
// row as written (store.Done) or the conflicting row (store.Conflict).
type WriteReply struct {
	Call     uint64       `msgpack:"call"`
	Status   store.Status `msgpack:"status"`
	HasRow   bool         `msgpack:"has_row"`
	Revision uint64       `msgpack:"revision"`
	Value    []byte       `msgpack:"value"`
}

// WriteRequest returns the message for a CallStore with ViaHome, or false if the
// call is not a write.
func (a CallStore) WriteRequest(call uint64) (WriteRequest, bool) {
	commit, ok := a.Call.Request.(store.Commit)
	if !ok {
		return WriteRequest{}, false
	}
	w := commit.Txn.Writes[0]
	return WriteRequest{
		Call:  call,
		Key:   w.Key,
		Base:  commit.Txn.Conditions[0].Revision,
		Value: w.Value,
		Lazy:  a.Call.Class == store.ClassBackground,
	}, true
}

// Result returns the result of the CallStore that the request was made from.
func (r WriteReply) Result(call store.CallID, key string) store.Result {
	res := store.Result{Call: call, Status: r.Status}
	if r.HasRow {
		res.Rows = []store.Row{{Table: Table, Key: key, Value: r.Value, Revision: r.Revision}}
	}
	return res
}
