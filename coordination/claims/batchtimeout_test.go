package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

var _ = Describe("A batch whose transaction is not answered", func() {
	// Guards against a write that is answered after its timeout because the first write of
	// its batch is younger.
	It("fails each write at its own timeout and sends the others again", Label("failure:old-write-behind-a-young-one"), func() {
		for _, status := range []store.Status{store.NotSent, store.Unanswered} {
			cfg := claims.DefaultBatchConfig()
			b := claims.NewBatcher(cfg)
			now := time.Unix(0, 0)
			answered := make(map[uint64]time.Duration)
			var call store.Call
			act := func(actions []claims.BatchAction) {
				for _, a := range actions {
					switch a := a.(type) {
					case claims.CallStore:
						call = a.Call
					case claims.Reply:
						answered[a.Reply.Call] = now.Sub(time.Unix(0, 0))
						Expect(a.Reply.Status).To(Equal(status))
					}
				}
			}
			write := func(n uint64, lazy bool) {
				req := claims.WriteRequest{Call: n, Key: fmt.Sprint("k", n), Value: []byte("v"), Lazy: lazy}
				act(b.Step(now, claims.WriteRequested{Request: req}))
			}
			write(1, true)
			now = now.Add(cfg.MaxLazyDelay - time.Millisecond)
			write(2, false)
			for len(answered) < 2 && now.Before(time.Unix(10, 0)) {
				act(b.Step(now, claims.StoreResult{Result: store.Result{Call: call.ID, Status: status}}))
				if next := b.NextTick(); !next.IsZero() {
					now = next
					act(b.Step(now, claims.Tick{}))
				}
			}
			Expect(answered).To(HaveLen(2))
			Expect(answered[1]).To(BeNumerically("<=", cfg.WriteTimeout), "%v", status)
			Expect(answered[2]).To(BeNumerically("<=", cfg.MaxLazyDelay+cfg.WriteTimeout), "%v", status)
			Expect(answered[2]).To(BeNumerically(">", answered[1]), "%v: it is still sent", status)
			Expect(b.Pending()).To(BeZero())
		}
	})
})
