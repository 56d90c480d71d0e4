package daemon

import (
	"encoding/json"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/catalog"
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// announceDelay is how long a table may wait for the store before it is
	// sent only to peers: a repair must not wait for a store that is slow or
	// unavailable.
	announceDelay = time.Second
	// writeRetryDelay is the pause after an unanswered write of a table.
	writeRetryDelay = 500 * time.Millisecond
)

// tablesComponent writes the tables of this daemon's controllers and of its
// layout to the table service and passes them to the catalog, which sends them
// to peers.
type tablesComponent struct {
	c    *control
	rows map[state.ServiceID]*tableRow
}

// tableRow is one table with the state of writing it to its row.
type tableRow struct {
	table         controller.ReplicaTable
	unstored      bool // table has not been written to the store yet
	announced     bool
	announceBy    time.Time
	retryAt       time.Time // of the next write; used only while no call is in flight
	callInFlight  bool      // a store call is in flight
	revisionKnown bool      // revision is that of the stored row
	revision      uint64
	onPublished   func(serial uint64)
}

func newTablesComponent(c *control) *tablesComponent {
	return &tablesComponent{c: c, rows: make(map[state.ServiceID]*tableRow)}
}

func (tc *tablesComponent) nextTick(time.Time) time.Time {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, r := range tc.rows {
		if r.unstored && !r.announced {
			sooner(r.announceBy)
		}
		if r.unstored && !r.callInFlight {
			sooner(r.retryAt)
		}
	}
	return next
}

func (tc *tablesComponent) tick(now time.Time) {
	for _, r := range tc.rows {
		if r.unstored && !r.announced && !now.Before(r.announceBy) {
			tc.announce(r)
		}
		if r.unstored && !r.callInFlight && !now.Before(r.retryAt) {
			tc.write(r)
		}
	}
}

// publish stores a table and announces it. published runs once, when the table
// is stored or when it was announced to peers while the store does not answer.
func (tc *tablesComponent) publish(t controller.ReplicaTable, published func(serial uint64)) {
	r, ok := tc.rows[t.Service]
	if !ok {
		r = &tableRow{}
		tc.rows[t.Service] = r
	}
	if !r.unstored || r.announced {
		r.announceBy = tc.c.now.Add(announceDelay)
	}
	r.table, r.onPublished = t, published
	r.unstored, r.announced = true, false
	if tc.c.store.down {
		tc.announce(r)
	}
	if !r.callInFlight {
		tc.write(r)
	}
}

func (tc *tablesComponent) announce(r *tableRow) {
	if r.announced {
		return
	}
	r.announced = true
	serial, published := r.table.Serial, r.onPublished
	tc.c.catalog.step(catalog.OfferTable{Table: r.table})
	tc.c.afterStep(func() { published(serial) })
}

// write writes the table to its row, after reading the row's revision if that
// is unknown.
func (tc *tablesComponent) write(r *tableRow) {
	r.callInFlight = true
	if !r.revisionKnown {
		tc.read(r.table.Service, func(t controller.ReplicaTable, revision uint64, ok bool) { tc.handleRead(r, t, revision, ok) })
		return
	}
	value, err := json.Marshal(r.table)
	if err != nil {
		panic(err) // a ReplicaTable can always be marshaled
	}
	key, serial := string(r.table.Service), r.table.Serial
	call := store.Call{Class: store.ClassLease, Request: store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: catalog.Table, Key: key, Revision: r.revision}},
		Writes:     []store.Write{{Table: catalog.Table, Key: key, Value: value}},
	}}}
	tc.c.store.do(call, func(res store.Result) { tc.handleWritten(r, serial, res) })
}

func (tc *tablesComponent) handleWritten(r *tableRow, serial uint64, res store.Result) {
	r.callInFlight = false
	row, ok := res.Row()
	if res.Status != store.Done || !ok {
		// The row is read again: it may be another holder's or this daemon's
		// own.
		r.revisionKnown = false
		r.retryAt = tc.c.now
		if res.Status != store.Conflict {
			r.retryAt = tc.c.now.Add(writeRetryDelay)
		}
		return
	}
	r.revision = row.Revision
	if r.table.Serial != serial {
		tc.write(r) // a newer table waits
		return
	}
	r.unstored = false
	tc.announce(r)
}

// handleRead handles the content of the row. A newer table there is a
// successor's, and this daemon's is dropped.
func (tc *tablesComponent) handleRead(r *tableRow, t controller.ReplicaTable, revision uint64, ok bool) {
	r.callInFlight = false
	if !ok {
		r.retryAt = tc.c.now.Add(writeRetryDelay)
		return
	}
	r.revisionKnown, r.revision = true, revision
	if t.Newer(r.table) {
		r.unstored = false
		tc.c.catalog.step(catalog.OfferTable{Table: t})
		return
	}
	tc.write(r)
}

// read reads the store row that holds the complete replica table of a service, from the
// store's table catalog.Table; ok is false if the store did not answer.
func (tc *tablesComponent) read(id state.ServiceID, then func(t controller.ReplicaTable, revision uint64, ok bool)) {
	call := store.Call{Class: store.ClassLease, Request: store.Get{Table: catalog.Table, Key: string(id)}}
	tc.c.store.do(call, func(res store.Result) {
		t := controller.ReplicaTable{Service: id}
		row, found := res.Row()
		if found {
			t = decodeTable(row)
		}
		then(t, row.Revision, res.Status == store.Done)
	})
}

// decodeTable decodes a row. One that can't be decoded was written by a later
// release; this daemon overwrites it only with a newer fencing number.
func decodeTable(row store.Row) controller.ReplicaTable {
	t := controller.ReplicaTable{}
	_ = json.Unmarshal(row.Value, &t)
	t.Service = state.ServiceID(row.Key)
	return t
}

// newest reads the table last published by any daemon and returns the newer of
// the store's and the catalog's: the store may have been unavailable when it
// was announced.
func (tc *tablesComponent) newest(id state.ServiceID, then func(t controller.ReplicaTable, ok bool)) {
	tc.read(id, func(t controller.ReplicaTable, _ uint64, ok bool) {
		if !ok {
			then(t, false)
			return
		}
		tc.c.catalog.step(catalog.OfferTable{Table: t})
		if held, known := tc.c.catalog.machine.Get(id); known {
			t = held
		}
		then(t, true)
	})
}
