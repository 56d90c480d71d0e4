package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("The sweep", func() {
	It("deletes expired rows, each by one home, and keeps recent ones", func() {
		s := &fakeStore{rows: map[string]store.Row{}}
		now := time.Unix(10_000_000, 0)
		put := func(n int, at time.Time) {
			k := claims.Key{Service: "a/b", Customer: "c", Key: state.IdempotencyKey(fmt.Sprint(n))}
			s.rows[k.Row()] = store.Row{Key: k.Row(), Value: claims.Record{At: at.Unix()}.Encode(), Revision: 2}
		}
		for n := range 500 {
			put(n, now.Add(-25*time.Hour))
			put(1000+n, now)
		}
		homes := []state.DaemonID{"d0", "d1"}
		deleted := 0
		var lastScan time.Time
		for _, id := range homes {
			sw := claims.NewSweeper(claims.DefaultSweepConfig(), id, 7)
			sw.SetHomes(now, homes)
			at := sw.NextTick()
			for at.Sub(now) < 13*time.Hour {
				call, ok := sw.Tick(at)
				for ok {
					Expect(call.Class).To(Equal(store.ClassBackground))
					res := s.serve(call.Request, outcomeOK)
					res.Call = call.ID
					call, ok = sw.Answered(at, res)
				}
				at = sw.NextTick()
			}
			deleted += sw.Deleted()
			lastScan = at
		}
		Expect(lastScan).To(BeTemporally(">", now.Add(12*time.Hour)))
		Expect(deleted).To(Equal(500))
		Expect(s.rows).To(HaveLen(500))
	})
})
