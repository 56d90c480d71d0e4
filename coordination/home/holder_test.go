package home_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("the grants that others hold", func() {
	report := func(w *world, from state.Member) {
		w.step(home.Received{From: from, Msg: home.GrantReport{Pool: poolID}})
	}

	// What a user sees: requests wait though the replicas idle. Order: an entry
	// daemon dies with every slot; a new process takes its name. Cause: nobody
	// is left to release the slots.
	It("frees what a dead daemon held, also if its name comes back", Label("failure:daemon-dies-mid-stream"), func() {
		reborn := state.Member{ID: other.ID, Incarnation: 2}
		for _, live := range [][]state.Member{{third}, {third, reborn}} {
			w := newWorld(home.Config{}, document(100, 1), replicas(1, 2), other, third)
			report(w, other)
			report(w, third)
			w.ask(other, "check", 0)
			w.ask(other, "check", 0)
			ask := w.ask(third, "check", 0)
			Expect(w.granted).NotTo(HaveKey(ask))
			w.step(home.ViewChanged{Live: live})
			Expect(w.granted).To(HaveKey(ask))
		}
	})

	// What a user sees: less capacity than there is. Order: a grant is lost
	// with its connection; its holder lives and renews the rest. Cause: the
	// home alone believes the slot to be in use.
	It("settles a lasting difference by a full report", Label("failure:silent-connection"), func() {
		w := newWorld(home.Config{}, document(100, 1), replicas(1, 2), other)
		report(w, other)
		_, kept := w.ask(other, "check", 0), w.ask(other, "check", 0)
		waits := w.ask(other, "check", 0)
		digest := home.PoolDigest{Pool: poolID, Held: kept.Digest(), Waiting: waits.Digest()}
		asked := len(w.queries)
		for range 3 {
			w.advance(time.Second)
			w.step(home.Received{From: other, Msg: home.Renewal{Pools: []home.PoolDigest{digest}}})
		}
		Expect(w.queries[asked:]).To(Equal([]state.DaemonID{other.ID}), "once two renewals differ")
		held := home.HeldGrant{ID: kept, Replica: replicaID(0), Class: "check"}
		w.step(home.Received{From: other, Msg: home.GrantReport{Pool: poolID, Held: []home.HeldGrant{held}, Waiting: []home.SlotRequestID{waits}}})
		Expect(w.granted).To(HaveKey(waits))
	})

	// What a user sees: slower answers for seconds after a home died. Order: a
	// member that holds grants is paused while a new home learns. Cause: it
	// can't report what it holds.
	It("keeps half of the slots back while a member has not reported", Label("failure:daemon-dies-mid-stream"), func() {
		w := newWorld(home.Config{}, document(100, 1), replicas(1, 8), other, third)
		report(w, other)
		for range 8 {
			w.ask(other, "check", 0)
		}
		Expect(w.granted).To(BeEmpty(), "nothing before the window ends")
		w.advance(time.Second)
		Expect(w.granted).To(HaveLen(4))
		w.advance(5 * time.Second)
		Expect(w.granted).To(HaveLen(8))
	})
})
