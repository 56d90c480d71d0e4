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
	// tellAfter is how long a table may wait for the store before it is told to
	// peers alone: a repair must not wait for a store that is slow or down.
	tellAfter = time.Second
	// writeRetry is the pause after a table's write that was not answered.
	writeRetry = 500 * time.Millisecond
)

// tablesPart writes the tables of this daemon's controllers and of its layout to
// the table service and tells them to the catalog.
type tablesPart struct {
	c    *control
	rows map[state.ServiceID]*tableRow
}

// tableRow is one table on its way into its row.
type tableRow struct {
	table     controller.ReplicaTable
	wanted    bool // table is not stored yet
	told      bool
	tellBy    time.Time
	retryAt   time.Time // of the next write; only while none is under way
	busy      bool      // a store call is under way
	known     bool      // revision is the row's
	revision  uint64
	published func(serial uint64)
}

func newTablesPart(c *control) *tablesPart {
	return &tablesPart{c: c, rows: make(map[state.ServiceID]*tableRow)}
}

func (p *tablesPart) nextTick(time.Time) time.Time {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, r := range p.rows {
		if r.wanted && !r.told {
			sooner(r.tellBy)
		}
		if r.wanted && !r.busy {
			sooner(r.retryAt)
		}
	}
	return next
}

func (p *tablesPart) tick(now time.Time) {
	for _, r := range p.rows {
		if r.wanted && !r.told && !now.Before(r.tellBy) {
			p.tell(r)
		}
		if r.wanted && !r.busy && !now.Before(r.retryAt) {
			p.write(r)
		}
	}
}

// publish stores a table and tells it; published runs once, when it is stored or
// was told to peers while the store does not answer.
func (p *tablesPart) publish(t controller.ReplicaTable, published func(serial uint64)) {
	r, ok := p.rows[t.Service]
	if !ok {
		r = &tableRow{}
		p.rows[t.Service] = r
	}
	if !r.wanted || r.told {
		r.tellBy = p.c.now.Add(tellAfter)
	}
	r.table, r.published = t, published
	r.wanted, r.told = true, false
	if p.c.store.down {
		p.tell(r)
	}
	if !r.busy {
		p.write(r)
	}
}

func (p *tablesPart) tell(r *tableRow) {
	if r.told {
		return
	}
	r.told = true
	serial, published := r.table.Serial, r.published
	p.c.catalog.step(catalog.OfferTable{Table: r.table})
	p.c.later(func() { published(serial) })
}

// write puts the table into its row, or finds the row's revision first.
func (p *tablesPart) write(r *tableRow) {
	r.busy = true
	if !r.known {
		p.read(r.table.Service, func(t controller.ReplicaTable, revision uint64, ok bool) { p.found(r, t, revision, ok) })
		return
	}
	value, err := json.Marshal(r.table)
	if err != nil {
		panic(err) // a Table holds nothing that can't be written
	}
	key, serial := string(r.table.Service), r.table.Serial
	call := store.Call{Class: store.ClassLease, Request: store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: catalog.Table, Key: key, Revision: r.revision}},
		Writes:     []store.Write{{Table: catalog.Table, Key: key, Value: value}},
	}}}
	p.c.store.do(call, func(res store.Result) { p.written(r, serial, res) })
}

func (p *tablesPart) written(r *tableRow, serial uint64, res store.Result) {
	r.busy = false
	row, ok := res.Row()
	if res.Status != store.Done || !ok {
		// The row is read again: it may be another holder's, or ours.
		r.known = false
		r.retryAt = p.c.now
		if res.Status != store.Conflict {
			r.retryAt = p.c.now.Add(writeRetry)
		}
		return
	}
	r.revision = row.Revision
	if r.table.Serial != serial {
		p.write(r) // a newer one waits
		return
	}
	r.wanted = false
	p.tell(r)
}

// found takes in what the row holds. A newer table there is a successor's: this
// daemon's is dropped.
func (p *tablesPart) found(r *tableRow, t controller.ReplicaTable, revision uint64, ok bool) {
	r.busy = false
	if !ok {
		r.retryAt = p.c.now.Add(writeRetry)
		return
	}
	r.known, r.revision = true, revision
	if t.Newer(r.table) {
		r.wanted = false
		p.c.catalog.step(catalog.OfferTable{Table: t})
		return
	}
	p.write(r)
}

// read gets a table's row; ok is false where the store did not answer.
func (p *tablesPart) read(id state.ServiceID, then func(t controller.ReplicaTable, revision uint64, ok bool)) {
	call := store.Call{Class: store.ClassLease, Request: store.Get{Table: catalog.Table, Key: string(id)}}
	p.c.store.do(call, func(res store.Result) {
		t := controller.ReplicaTable{Service: id}
		row, found := res.Row()
		if found {
			t = tableOf(row)
		}
		then(t, row.Revision, res.Status == store.Done)
	})
}

// tableOf reads a row. One that can't be read is a later release's, which this
// daemon then overwrites only with a newer fencing number.
func tableOf(row store.Row) controller.ReplicaTable {
	t := controller.ReplicaTable{}
	_ = json.Unmarshal(row.Value, &t)
	t.Service = state.ServiceID(row.Key)
	return t
}

// newest reads the table last published, by whoever did, and takes the newer of
// the store's and the catalog's: the store may have been down when it was told.
func (p *tablesPart) newest(id state.ServiceID, then func(t controller.ReplicaTable, ok bool)) {
	p.read(id, func(t controller.ReplicaTable, _ uint64, ok bool) {
		if !ok {
			then(t, false)
			return
		}
		p.c.catalog.step(catalog.OfferTable{Table: t})
		if held, known := p.c.catalog.m.Get(id); known {
			t = held
		}
		then(t, true)
	})
}
