package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endsInWait is a context that ends as soon as something waits for its end.
type endsInWait struct {
	context.Context
	cancel context.CancelFunc
}

// Done implements context.Context.
func (c endsInWait) Done() <-chan struct{} {
	c.cancel()
	return c.Context.Done()
}

var _ = Describe("A request that waits for a server", func() {
	// A server has room at the moment at which the caller leaves. The place, and with it a
	// permit, would be taken in vain.
	It("takes none once its caller has left", Label("failure:caller-left-unread"), func() {
		g := newTestControl(GinkgoTB()).g
		now := time.Now()
		r := &requestHandler{g: g, req: &Request{Arrived: now}, view: g.currentView.Load(), deadline: now.Add(10 * time.Second)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		found := r.waitFor(endsInWait{ctx, cancel}, func() bool { return ctx.Err() != nil })
		Expect(found).To(BeFalse())
	})
})
