package claims

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// WriteRequest asks the key's home daemon for one conditional write of a claim
// row.
type WriteRequest struct {
	Call  uint64 `msgpack:"call"` // the claimant's own number
	Key   string `msgpack:"key"`  // row key
	Base  uint64 `msgpack:"base"` // revision to hold, 0 for no row
	Value []byte `msgpack:"value"`
	Lazy  bool   `msgpack:"lazy"` // may wait for other writes
}

// WriteReply answers a WriteRequest. Revision and Value are the row as written
// (store.Done) or as it stands (store.Conflict), where known: HasRow.
type WriteReply struct {
	Call     uint64       `msgpack:"call"`
	Status   store.Status `msgpack:"status"`
	HasRow   bool         `msgpack:"has_row"`
	Revision uint64       `msgpack:"revision"`
	Value    []byte       `msgpack:"value"`
}

// WriteRequest gives the message for a CallStore with ViaHome.
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

// Result gives the answer to the CallStore that the request came from.
func (r WriteReply) Result(call store.CallID, key string) store.Result {
	res := store.Result{Call: call, Status: r.Status}
	if r.HasRow {
		res.Rows = []store.Row{{Table: Table, Key: key, Value: r.Value, Revision: r.Revision}}
	}
	return res
}
