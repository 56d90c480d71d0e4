package registry_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/registry"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// TestBoundsAndEpochs compares a registry with a simple model under random operations: the record
// with the highest epoch of a request is kept, records are evicted by age and by the bounds, oldest
// first, and nothing else is lost.
func TestBoundsAndEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := registry.Config{MaxRecords: 5, MaxBytes: 50, TTL: 10 * time.Second}
		r := registry.New[int](cfg)
		m := &model{cfg: cfg}
		now := time.Unix(0, 0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "passed")) * time.Second)
			id := state.RequestID(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "request")))
			if rapid.Bool().Draw(t, "put") {
				rec := record{id, state.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")), rapid.IntRange(1, 20).Draw(t, "size"), now, i}
				r.Put(now, rec.id, rec.epoch, rec.size, rec.value)
				m.put(rec)
			}
			m.trim(now)
			got, ok := r.Get(now, id)
			want, known := m.get(id)
			if got != want || ok != known || r.Len() != len(m.records) {
				t.Fatalf("request %s: %d %v of %d records, want %d %v of %d", id, got, ok, r.Len(), want, known, len(m.records))
			}
		}
	})
}

type record struct {
	id    state.RequestID
	epoch state.Epoch
	size  int
	at    time.Time
	value int
}

// model keeps its records in the order of their last put.
type model struct {
	cfg     registry.Config
	records []record
}

func (m *model) put(rec record) {
	for i, old := range m.records {
		if old.id != rec.id {
			continue
		}
		if old.epoch > rec.epoch {
			return
		}
		m.records = append(m.records[:i:i], m.records[i+1:]...)
		break
	}
	m.records = append(m.records, rec)
	m.trim(rec.at)
}

func (m *model) trim(now time.Time) {
	for len(m.records) > 0 {
		bytes := 0
		for _, rec := range m.records {
			bytes += rec.size
		}
		if len(m.records) <= m.cfg.MaxRecords && bytes <= m.cfg.MaxBytes && now.Sub(m.records[0].at) <= m.cfg.TTL {
			return
		}
		m.records = m.records[1:]
	}
}

func (m *model) get(id state.RequestID) (int, bool) {
	for _, rec := range m.records {
		if rec.id == id {
			return rec.value, true
		}
	}
	return 0, false
}

// BenchmarkPut measures one Put, and the memory that the registry itself uses per record in
// addition to the record, at three sizes.
//
//	go test ./coordination/registry -run xxx -bench Put
func BenchmarkPut(b *testing.B) {
	for _, held := range []int{500, 5000, 20_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			cfg := registry.Config{MaxRecords: held, MaxBytes: 1 << 40, TTL: time.Hour}
			ids := make([]state.RequestID, 2*held)
			for i := range ids {
				ids[i] = state.RequestID(fmt.Sprintf("entry-1-%08d", i))
			}
			before := heap()
			r := registry.New[*int](cfg)
			now := time.Unix(0, 0)
			for _, id := range ids[:held] {
				r.Put(now, id, 1, 100, nil)
			}
			perRecord := float64(heap()-before) / float64(held)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.Put(now, ids[i%len(ids)], 1, 100, nil)
			}
			b.ReportMetric(perRecord, "held-B/record")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
