package scenario

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// table is a model of the platform's table service.
type table struct {
	rows          map[string]store.Row
	latency       time.Duration
	down          bool
	answersToLose int // number of writes that take effect but are not answered
}

func newTable(took time.Duration) *table {
	return &table{rows: make(map[string]store.Row), latency: took}
}

// callTable serves one store call. It calls answer exactly once.
func (sim *Simulation) callTable(c store.Call, answer func(store.Result)) {
	t := sim.table
	sim.after(t.latency/2, func() {
		if t.down {
			sim.after(storeTimeout, func() { answer(store.Result{Call: c.ID}) })
			return
		}
		res := t.serve(c.Request)
		res.Call = c.ID
		if c.Writes() && t.answersToLose > 0 {
			t.answersToLose--
			sim.printf("store: a write takes effect, but its answer is lost")
			sim.after(storeTimeout, func() { answer(store.Result{Call: c.ID}) })
			return
		}
		sim.after(t.latency/2, func() { answer(res) })
	})
}

func rowKey(table, key string) string { return table + "/" + key }

func (t *table) serve(req store.Request) store.Result {
	res := store.Result{Status: store.Done}
	switch req := req.(type) {
	case store.Commit:
		return t.commit(req.Txn)
	case store.Get:
		if row, ok := t.rows[rowKey(req.Table, req.Key)]; ok {
			res.Rows = []store.Row{row}
		}
	case store.Scan:
		for _, key := range slices.Sorted(maps.Keys(t.rows)) {
			if row := t.rows[key]; row.Table == req.Table && strings.HasPrefix(row.Key, req.Prefix) {
				res.Rows = append(res.Rows, row)
			}
		}
	}
	return res
}

func (t *table) commit(txn store.Txn) store.Result {
	for _, c := range txn.Conditions {
		if t.rows[rowKey(c.Table, c.Key)].Revision != c.Revision {
			return store.Result{Status: store.Conflict}
		}
	}
	res := store.Result{Status: store.Done}
	for _, wr := range txn.Writes {
		key := rowKey(wr.Table, wr.Key)
		row := store.Row{Table: wr.Table, Key: wr.Key, Value: wr.Value, Revision: t.rows[key].Revision + 1}
		if wr.Delete {
			delete(t.rows, key)
			continue
		}
		t.rows[key] = row
		res.Rows = append(res.Rows, row)
	}
	return res
}
