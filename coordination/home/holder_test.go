package home_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("the grants held by other daemons", func() {
	report := func(w *simulation, from state.Member) {
		w.step(home.Received{From: from, Msg: home.GrantReport{Pool: poolID}})
	}

	// An entry daemon dies while it holds every slot, and a new process may take its
	// name. No daemon is left to release the slots, so requests wait although the
	// replicas are idle.
	It("frees the grants of a dead daemon, even if its name is reused", Label("failure:daemon-dies-mid-stream"), func() {
		restarted := state.Member{ID: entry1.ID, Incarnation: 2}
		for _, live := range [][]state.Member{{entry2}, {entry2, restarted}} {
			w := newSimulation(home.Config{}, document(100, 1), replicas(1, 2), entry1, entry2)
			report(w, entry1)
			report(w, entry2)
			w.request(entry1, "check", 0)
			w.request(entry1, "check", 0)
			id := w.request(entry2, "check", 0)
			Expect(w.granted).NotTo(HaveKey(id))
			w.step(home.ViewChanged{Live: live})
			Expect(w.granted).To(HaveKey(id))
		}
	})

	// A grant is lost with its connection while its holder lives on and renews the
	// rest. Only the home counts the slot as used, which reduces the capacity.
	It("resolves a lasting difference by a full report", Label("failure:silent-connection"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 2), entry1)
		report(w, entry1)
		_, reported := w.request(entry1, "check", 0), w.request(entry1, "check", 0)
		waiting := w.request(entry1, "check", 0)
		digest := home.PoolDigest{Pool: poolID, Held: reported.Digest(), Waiting: waiting.Digest()}
		total := len(w.reportQueries)
		for range 3 {
			w.advance(time.Second)
			w.step(home.Received{From: entry1, Msg: home.Renewal{Pools: []home.PoolDigest{digest}}})
		}
		Expect(w.reportQueries[total:]).To(Equal([]state.DaemonID{entry1.ID}), "after two mismatching renewals")
		held := home.HeldGrant{ID: reported, Replica: replicaID(0), Class: "check"}
		w.step(home.Received{From: entry1, Msg: home.GrantReport{Pool: poolID, Held: []home.HeldGrant{held}, Waiting: []home.SlotRequestID{waiting}}})
		Expect(w.granted).To(HaveKey(waiting))
	})

	// A member that holds grants is paused while a new home recovers grants, and cannot
	// report them. Granting all slots at once would overload the replicas that the
	// member uses.
	It("withholds half of the slots while a member has not reported", Label("failure:daemon-dies-mid-stream"), func() {
		w := newSimulation(home.Config{}, document(100, 1), replicas(1, 8), entry1, entry2)
		report(w, entry1)
		for range 8 {
			w.request(entry1, "check", 0)
		}
		Expect(w.granted).To(BeEmpty(), "nothing is granted before the window ends")
		w.advance(time.Second)
		Expect(w.granted).To(HaveLen(4))
		w.advance(5 * time.Second)
		Expect(w.granted).To(HaveLen(8))
	})
})
