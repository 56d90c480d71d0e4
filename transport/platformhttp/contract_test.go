package platformhttp_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

const (
	testTimeout  = 20 * time.Second
	shortTimeout = time.Second
)

// insertTxn returns a transaction that inserts a row if there is none.
func insertTxn(key, owner string) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Table: "claims", Key: key}},
		Writes:     []platform.Write{{Table: "claims", Key: key, Value: []byte(owner)}},
	}
}

var _ = Describe("the platform through its clients", func() {
	var p *standin.Platform
	var table *platformhttp.Table

	BeforeEach(func() {
		var err error
		p, err = standin.StartPlatform()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		table = platformhttp.NewTable(p.URL(), platformhttp.Options{ProgressTimeout: testTimeout})
		DeferCleanup(table.Close)
	})

	It("commits atomically and never assigns a revision twice", func(ctx SpecContext) {
		rows, err := table.Commit(ctx, insertTxn("a/b c?", "one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Revision).To(Equal(uint64(1)))
		both := insertTxn("a/b c?", "two")
		both.Writes = append(both.Writes, platform.Write{Table: "claims", Key: "other"})
		_, err = table.Commit(ctx, both)
		Expect(err).To(MatchError(platform.ErrConflict))
		_, err = table.Get(ctx, "claims", "other")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(table.Scan(ctx, "claims", "a/")).To(Equal(rows))

		_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Table: "claims", Key: "a/b c?", Delete: true}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Scan(ctx, "claims", "")).To(BeEmpty())
		rows, err = table.Commit(ctx, insertTxn("a/b c?", "two"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Revision).To(Equal(uint64(3)))
	}, SpecTimeout(testTimeout))

	It("lets exactly one of many concurrent claims succeed", func(ctx SpecContext) {
		var succeeded atomic.Int32
		var claimants sync.WaitGroup
		for i := range 16 {
			claimants.Go(func() {
				defer GinkgoRecover()
				_, err := table.Commit(ctx, insertTxn("k", fmt.Sprint(i)))
				if err == nil {
					succeeded.Add(1)
					return
				}
				Expect(err).To(MatchError(platform.ErrConflict))
			})
		}
		claimants.Wait()
		Expect(succeeded.Load()).To(Equal(int32(1)))
	}, SpecTimeout(testTimeout))

	// A claim is written, but the store's answer is lost. A client that retried the call
	// would find its own row and report a conflict, and the claimed request would never
	// run although no other daemon has claimed it. The row is read back instead.
	It("reports a lost answer as unknown, and the row shows which claim won", Label("failure:store-answer-lost"), func(ctx SpecContext) {
		_, err := table.Commit(ctx, insertTxn("warm up", ""))
		Expect(err).NotTo(HaveOccurred())
		p.LoseAnswers(1)
		_, err = table.Commit(ctx, insertTxn("k", "nonce-1"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrConflict))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		Expect(p.Counts().Commits).To(Equal(2))
		Expect(p.Counts().Conflicts).To(BeZero())
		row, err := table.Get(ctx, "claims", "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("nonce-1"))
	}, SpecTimeout(testTimeout))

	// The store is down and calls end without an answer. A refused or dropped call must
	// not be reported as a missing row or a failed condition.
	It("returns no definite result while it is down, and works when it is back", Label("failure:store-down"), func(ctx SpecContext) {
		p.Down(true)
		_, err := table.Commit(ctx, insertTxn("k", "one"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrConflict))
		_, err = table.Get(ctx, "claims", "k")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrNotFound))
		p.Down(false)
		_, err = table.Get(ctx, "claims", "k")
		Expect(err).To(MatchError(platform.ErrNotFound))
	}, SpecTimeout(testTimeout))

	// The store is slow and the caller abandons its write, which takes effect afterwards.
	// A second claimant in between would lose to a claim that its owner has abandoned.
	It("may apply a write after its caller abandoned it", Label("failure:store-slow"), func(ctx SpecContext) {
		p.Slow(2 * shortTimeout)
		short, cancel := context.WithTimeout(ctx, shortTimeout/4)
		defer cancel()
		_, err := table.Commit(short, insertTxn("k", "one"))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		Eventually(func() int { return len(p.Rows("claims")) }, testTimeout).Should(Equal(1))
	}, SpecTimeout(testTimeout))

	It("reports a connection that carries no bytes as unresponsive, and continues with a new one", Label("failure:silent-connection"), func(ctx SpecContext) {
		var unresponsive atomic.Int32
		client := platformhttp.NewTable(p.URL(), platformhttp.Options{
			ProgressTimeout: shortTimeout, OnUnresponsive: func() { unresponsive.Add(1) },
		})
		DeferCleanup(client.Close)
		_, err := client.Commit(ctx, insertTxn("a", "one"))
		Expect(err).NotTo(HaveOccurred())
		p.BlackholeConnections()
		start := time.Now()
		_, err = client.Commit(ctx, insertTxn("b", "one"))
		Expect(err).To(MatchError(platformhttp.ErrUnresponsive))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		_, err = client.Commit(ctx, insertTxn("c", "one"))
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("recovered after", time.Since(start))
		Expect(unresponsive.Load()).To(Equal(int32(1)))
	}, SpecTimeout(testTimeout))

	It("refuses calls above its rate limits", func(ctx SpecContext) {
		p.Limit(0.001, 0.001)
		for range 2 {
			_, _ = table.Commit(ctx, insertTxn("k", "one"))
		}
		_, err := table.Commit(ctx, insertTxn("k", "one"))
		var status *platformhttp.StatusError
		Expect(err).To(BeAssignableToTypeOf(status))
		Expect(p.Counts().Refused).To(BeNumerically(">", 0))
	}, SpecTimeout(testTimeout))

	It("stores and returns objects", func(ctx SpecContext) {
		objects := platformhttp.NewObjects(p.URL(), platformhttp.Options{})
		DeferCleanup(objects.Close)
		_, err := objects.Get(ctx, "snapshot/1")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(objects.Put(ctx, "snapshot/1", []byte{0, 1, 2})).To(Succeed())
		Expect(objects.Get(ctx, "snapshot/1")).To(Equal([]byte{0, 1, 2}))
	}, SpecTimeout(testTimeout))

	It("lists instances with the configured lag", Label("failure:lagging-instance-list"), func(ctx SpecContext) {
		list := platformhttp.NewInstances(p.URL(), platformhttp.Options{})
		DeferCleanup(list.Close)
		p.PutInstance(platform.Instance{ID: "i-1", Role: platform.RoleEngine, Address: "10.0.0.1:80"})
		Expect(list.List(ctx)).To(HaveLen(1))
		p.InstanceLag(shortTimeout / 4)
		start := time.Now()
		p.SetLeaving("i-1")
		Eventually(func() bool {
			instances, err := list.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			return len(instances) == 1 && instances[0].Leaving
		}, testTimeout).Should(BeTrue())
		Expect(time.Since(start)).To(BeNumerically(">=", shortTimeout/4))
		p.InstanceLag(0)
		p.RemoveInstance("i-1")
		Expect(list.List(ctx)).To(BeEmpty())
	}, SpecTimeout(testTimeout))
})
