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

// statusThrottled is the table service's own refusal for rate.
const statusThrottled = 429

// storePart sends the calls of all machines to the table service, within this
// daemon's share of its rate.
type storePart struct {
	c       *control
	budget  *storebudget.Budget
	waiting map[uint64]storeCall
	last    uint64
	down    bool
}

// storeCall is one call that waits for its turn or its answer.
type storeCall struct {
	call   store.Call
	answer func(store.Result)
}

func newStorePart(c *control) *storePart {
	cfg := storebudget.DefaultConfig()
	cfg.WritesPerSecond = c.d.set.Store.WritesPerSecond
	cfg.ReadsPerSecond = c.d.set.Store.ReadsPerSecond
	roles := storebudget.Roles{Members: 1, KeyHomes: 1, KeyHome: true, Services: 1}
	return &storePart{
		c:       c,
		budget:  storebudget.New(cfg, c.rng, roles, c.now),
		waiting: make(map[uint64]storeCall),
	}
}

func (s *storePart) nextTick(time.Time) time.Time { return s.budget.NextTick() }
func (s *storePart) tick(time.Time)               { s.step(storebudget.Tick{}) }

// rolesChanged tells the budget what this daemon has to do.
func (s *storePart) rolesChanged() {
	homes := s.c.members.keyHomes
	s.step(storebudget.RolesChanged{Roles: storebudget.Roles{
		Members:  len(s.c.members.live()),
		KeyHomes: len(homes),
		KeyHome:  slices.Contains(homes, s.c.d.self.ID),
		Services: max(1, len(s.c.documents.inForce)),
		Leases:   s.c.leases.held(),
	}})
}

// do makes one call; answer runs on the control goroutine, exactly once.
func (s *storePart) do(call store.Call, answer func(store.Result)) {
	s.last++
	s.waiting[s.last] = storeCall{call: call, answer: answer}
	kind := storebudget.Read
	if call.Writes() {
		kind = storebudget.Write
	}
	s.step(storebudget.Request{ID: s.last, Class: call.Class, Kind: kind})
}

func (s *storePart) step(ev storebudget.Event) {
	for _, a := range s.budget.Step(s.c.now, ev) {
		switch a := a.(type) {
		case storebudget.Grant:
			go s.perform(a.ID, s.waiting[a.ID].call)
		case storebudget.Shed:
			s.c.d.log.Emit(telemetry.EventStoreBudgetSpent)
			s.finish(a.ID, store.Result{Status: store.NotSent})
		}
	}
}

// perform makes a granted call in a goroutine of its own.
func (s *storePart) perform(id uint64, call store.Call) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.c.d.set.Store.Timeout.Std())
	defer cancel()
	rows, err := callTable(ctx, s.c.d.table, call.Request)
	took := time.Since(began)
	s.c.post(func() {
		res := store.Result{Status: statusOf(err), Rows: rows}
		s.step(storebudget.Finished{ID: id, Status: res.Status, Took: took, Throttled: throttled(err)})
		s.note(call, res, took)
		s.finish(id, res)
	})
}

func (s *storePart) finish(id uint64, res store.Result) {
	w := s.waiting[id]
	delete(s.waiting, id)
	res.Call = w.call.ID
	s.c.later(func() { w.answer(res) })
}

// note counts one answered call and logs when the store goes down or comes back.
func (s *storePart) note(call store.Call, res store.Result, took time.Duration) {
	m := s.c.d.metrics
	m.Observe(telemetry.StoreCallSeconds, took)
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
	down := s.budget.Usage().Down
	if down != s.down {
		event := telemetry.EventStoreRecovered
		if down {
			event = telemetry.EventStoreUnavailable
		}
		s.c.d.log.Emit(event)
	}
	s.down = down
}

// callTable makes one call to the table service. Rows of a read that found nothing
// are empty.
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
