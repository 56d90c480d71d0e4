package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/coordination/storebudget"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

// statusThrottled is the table service's HTTP status for exceeding its rate
// limit.
const statusThrottled = 429

// storeComponent sends the calls of all components to the table service, within
// this daemon's share of its rate.
type storeComponent struct {
	c       *control
	budget  *storebudget.Budget
	waiting map[uint64]storeCall
	lastID  uint64
	down    bool
}

// storeCall is one call that waits to be sent or answered.
type storeCall struct {
	call   store.Call
	answer func(store.Result)
}

func newStoreComponent(c *control) *storeComponent {
	cfg := storebudget.DefaultConfig()
	cfg.WritesPerSecond = c.d.config.Store.WritesPerSecond
	cfg.ReadsPerSecond = c.d.config.Store.ReadsPerSecond
	roles := storebudget.Roles{Members: 1, KeyHomes: 1, KeyHome: true, Services: 1}
	return &storeComponent{
		c:       c,
		budget:  storebudget.New(cfg, c.rng, roles, c.now),
		waiting: make(map[uint64]storeCall),
	}
}

func (sc *storeComponent) nextTick(time.Time) time.Time { return sc.budget.NextTick() }
func (sc *storeComponent) tick(time.Time)               { sc.step(storebudget.Tick{}) }

// rolesChanged passes this daemon's current roles to the budget.
func (sc *storeComponent) rolesChanged() {
	homes := sc.c.members.keyHomes
	sc.step(storebudget.RolesChanged{Roles: storebudget.Roles{
		Members:  len(sc.c.members.live()),
		KeyHomes: len(homes),
		KeyHome:  slices.Contains(homes, sc.c.d.self.ID),
		Services: max(1, len(sc.c.documents.active)),
		Leases:   sc.c.leases.heldCount(),
	}})
}

// do makes one call; answer runs exactly once, on the control goroutine.
func (sc *storeComponent) do(call store.Call, answer func(store.Result)) {
	sc.lastID++
	sc.waiting[sc.lastID] = storeCall{call: call, answer: answer}
	kind := storebudget.Read
	if call.Writes() {
		kind = storebudget.Write
	}
	sc.step(storebudget.Request{ID: sc.lastID, Class: call.Class, Kind: kind})
}

func (sc *storeComponent) step(ev storebudget.Event) {
	for _, a := range sc.budget.Step(sc.c.now, ev) {
		switch a := a.(type) {
		case storebudget.Grant:
			go sc.perform(a.ID, sc.waiting[a.ID].call)
		case storebudget.Shed:
			sc.c.d.log.Emit(telemetry.EventStoreBudgetSpent)
			sc.finish(a.ID, store.Result{Status: store.NotSent})
		}
	}
}

// perform makes a granted call; it runs in its own goroutine.
func (sc *storeComponent) perform(id uint64, call store.Call) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), sc.c.d.config.Store.Timeout.Std())
	defer cancel()
	rows, err := callTable(ctx, sc.c.d.table, call.Request)
	elapsed := time.Since(start)
	sc.c.post(func() {
		res := store.Result{Status: statusOf(err), Rows: rows}
		sc.step(storebudget.Finished{ID: id, Status: res.Status, Took: elapsed, Throttled: throttled(err)})
		sc.recordCall(call, res, elapsed)
		sc.finish(id, res)
	})
}

func (sc *storeComponent) finish(id uint64, res store.Result) {
	w := sc.waiting[id]
	delete(sc.waiting, id)
	res.Call = w.call.ID
	sc.c.afterStep(func() { w.answer(res) })
}

// recordCall updates the metrics for one answered call and logs when the store
// becomes unavailable or recovers.
func (sc *storeComponent) recordCall(call store.Call, res store.Result, elapsed time.Duration) {
	m := sc.c.d.metrics
	m.Observe(telemetry.StoreCallSeconds, elapsed)
	switch {
	case call.Writes():
		m.Add(telemetry.StoreWritesTotal, 1)
	default:
		m.Add(telemetry.StoreReadsTotal, 1)
	}
	switch res.Status {
	case store.Conflict:
		m.Add(telemetry.StoreConflictsTotal, 1)
	case store.Unanswered:
		m.Add(telemetry.StoreUnansweredTotal, 1)
	default:
	}
	down := sc.budget.Usage().Down
	if down != sc.down {
		event := telemetry.EventStoreRecovered
		if down {
			event = telemetry.EventStoreUnavailable
		}
		sc.c.d.log.Emit(event)
	}
	sc.down = down
}

// callTable makes one call to the table service. A read that finds nothing
// returns no rows and no error.
func callTable(ctx context.Context, table platform.Table, r store.Request) ([]store.Row, error) {
	switch r := r.(type) {
	case store.Commit:
		rows, err := table.Commit(ctx, txnOf(r.Txn))
		return rowsOf(rows), err
	case store.Get:
		row, err := table.Get(ctx, r.Table, r.Key)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		return rowsOf([]platform.Row{row}), err
	case store.Scan:
		rows, err := table.Scan(ctx, r.Table, r.Prefix)
		return rowsOf(rows), err
	}
	panic("daemon: unknown store request")
}

func txnOf(t store.Txn) platform.Txn {
	return platform.Txn{
		Conditions: lo.Map(t.Conditions, func(c store.Condition, _ int) platform.Condition { return platform.Condition(c) }),
		Writes:     lo.Map(t.Writes, func(w store.Write, _ int) platform.Write { return platform.Write(w) }),
	}
}

func rowsOf(rows []platform.Row) []store.Row {
	return lo.Map(rows, func(r platform.Row, _ int) store.Row { return store.Row(r) })
}

func statusOf(err error) store.Status {
	switch {
	case err == nil:
		return store.Done
	case errors.Is(err, platform.ErrConflict):
		return store.Conflict
	case errors.Is(err, platformhttp.ErrNotSent):
		return store.NotSent
	}
	return store.Unanswered
}

func throttled(err error) bool {
	var s *platformhttp.StatusError
	return errors.As(err, &s) && s.Status == statusThrottled
}
