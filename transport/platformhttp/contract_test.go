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
	generous = 20 * time.Second
	patience = time.Second
)

// claim is a transaction that inserts a row if there is none.
func claim(key, owner string) platform.Txn {
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
		table = platformhttp.NewTable(p.URL(), platformhttp.Options{ProgressTimeout: generous})
		DeferCleanup(table.Close)
	})

	It("commits whole or not at all, and never gives a revision twice", func(ctx SpecContext) {
		rows, err := table.Commit(ctx, claim("a/b c?", "one"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Revision).To(Equal(uint64(1)))
		both := claim("a/b c?", "two")
		both.Writes = append(both.Writes, platform.Write{Table: "claims", Key: "other"})
		_, err = table.Commit(ctx, both)
		Expect(err).To(MatchError(platform.ErrConflict))
		_, err = table.Get(ctx, "claims", "other")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(table.Scan(ctx, "claims", "a/")).To(Equal(rows))

		_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Table: "claims", Key: "a/b c?", Delete: true}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Scan(ctx, "claims", "")).To(BeEmpty())
		rows, err = table.Commit(ctx, claim("a/b c?", "two"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Revision).To(Equal(uint64(3)))
	}, SpecTimeout(generous))

	It("lets one of many concurrent claims win", func(ctx SpecContext) {
		var won atomic.Int32
		var claimants sync.WaitGroup
		for i := range 16 {
			claimants.Go(func() {
				defer GinkgoRecover()
				_, err := table.Commit(ctx, claim("k", fmt.Sprint(i)))
				if err == nil {
					won.Add(1)
					return
				}
				Expect(err).To(MatchError(platform.ErrConflict))
			})
		}
		claimants.Wait()
		Expect(won.Load()).To(Equal(int32(1)))
	}, SpecTimeout(generous))

	// A clerk's note is claimed, but the store's answer is lost. The claim
	// stands all the same. A client that repeated the call by itself would
	// meet its own row and report a conflict: the note would never be sent,
	// although nobody else had it. The claim is read back instead.
	It("leaves a lost answer open, and the row tells whose claim won", Label("failure:store-answer-lost"), func(ctx SpecContext) {
		_, err := table.Commit(ctx, claim("warm up", ""))
		Expect(err).NotTo(HaveOccurred())
		p.LoseAnswers(1)
		_, err = table.Commit(ctx, claim("k", "nonce-1"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrConflict))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		Expect(p.Counts().Commits).To(Equal(2))
		Expect(p.Counts().Conflicts).To(BeZero())
		row, err := table.Get(ctx, "claims", "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("nonce-1"))
	}, SpecTimeout(generous))

	// The store is down: calls end without an answer. A refused or dropped call
	// must never look like proof that a row is absent or a condition failed.
	It("gives no proof while it is down, and works when it is back", Label("failure:store-down"), func(ctx SpecContext) {
		p.Down(true)
		_, err := table.Commit(ctx, claim("k", "one"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrConflict))
		_, err = table.Get(ctx, "claims", "k")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(platform.ErrNotFound))
		p.Down(false)
		_, err = table.Get(ctx, "claims", "k")
		Expect(err).To(MatchError(platform.ErrNotFound))
	}, SpecTimeout(generous))

	// The store is slow, and the caller gives up. The write takes effect after
	// that: a second claimant that came in between would lose to a claim that
	// its owner has given up.
	It("may apply a write after its caller gave up", Label("failure:store-slow"), func(ctx SpecContext) {
		p.Slow(2 * patience)
		short, cancel := context.WithTimeout(ctx, patience/4)
		defer cancel()
		_, err := table.Commit(short, claim("k", "one"))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		Eventually(func() int { return len(p.Rows("claims")) }, generous).Should(Equal(1))
	}, SpecTimeout(generous))

	It("takes a connection that carries nothing for silent, and goes on with a new one", Label("failure:silent-connection"), func(ctx SpecContext) {
		var silent atomic.Int32
		impatient := platformhttp.NewTable(p.URL(), platformhttp.Options{
			ProgressTimeout: patience, OnUnresponsive: func() { silent.Add(1) },
		})
		DeferCleanup(impatient.Close)
		_, err := impatient.Commit(ctx, claim("a", "one"))
		Expect(err).NotTo(HaveOccurred())
		p.SilenceConnections()
		begin := time.Now()
		_, err = impatient.Commit(ctx, claim("b", "one"))
		Expect(err).To(MatchError(platformhttp.ErrUnresponsive))
		Expect(err).NotTo(MatchError(platformhttp.ErrNotSent))
		_, err = impatient.Commit(ctx, claim("c", "one"))
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("recovered after", time.Since(begin))
		Expect(silent.Load()).To(Equal(int32(1)))
	}, SpecTimeout(generous))

	It("refuses calls above its rates", func(ctx SpecContext) {
		p.Limit(0.001, 0.001)
		for range 2 {
			_, _ = table.Commit(ctx, claim("k", "one"))
		}
		_, err := table.Commit(ctx, claim("k", "one"))
		var status *platformhttp.StatusError
		Expect(err).To(BeAssignableToTypeOf(status))
		Expect(p.Counts().Refused).To(BeNumerically(">", 0))
	}, SpecTimeout(generous))

	It("keeps objects", func(ctx SpecContext) {
		objects := platformhttp.NewObjects(p.URL(), platformhttp.Options{})
		DeferCleanup(objects.Close)
		_, err := objects.Get(ctx, "snapshot/1")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(objects.Put(ctx, "snapshot/1", []byte{0, 1, 2})).To(Succeed())
		Expect(objects.Get(ctx, "snapshot/1")).To(Equal([]byte{0, 1, 2}))
	}, SpecTimeout(generous))

	It("lists instances as they were a lag ago", Label("failure:lagging-instance-list"), func(ctx SpecContext) {
		list := platformhttp.NewInstances(p.URL(), platformhttp.Options{})
		DeferCleanup(list.Close)
		p.PutInstance(platform.Instance{ID: "i-1", Role: platform.RoleEngine, Address: "10.0.0.1:80"})
		Expect(list.List(ctx)).To(HaveLen(1))
		p.InstanceLag(patience / 4)
		begin := time.Now()
		p.SetLeaving("i-1")
		Eventually(func() bool {
			instances, err := list.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			return len(instances) == 1 && instances[0].Leaving
		}, generous).Should(BeTrue())
		Expect(time.Since(begin)).To(BeNumerically(">=", patience/4))
		p.InstanceLag(0)
		p.RemoveInstance("i-1")
		Expect(list.List(ctx)).To(BeEmpty())
	}, SpecTimeout(generous))
})
