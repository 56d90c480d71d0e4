package rendezvous_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func names(n int) []state.DaemonID {
	out := make([]state.DaemonID, n)
	for i := range out {
		out[i] = state.DaemonID(fmt.Sprintf("entry-%d", i))
	}
	return out
}

var _ = Describe("rendezvous", func() {
	It("moves only the keys of the member that left", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := names(rapid.IntRange(2, 30).Draw(t, "members"))
			gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
			rest := slices.Delete(slices.Clone(members), gone, gone+1)
			seed := rapid.Uint64().Draw(t, "seed")
			rng := rand.New(rand.NewPCG(seed, 1))
			for k := range 50 {
				key := fmt.Sprint("pool", rng.Uint64(), k)
				was, _ := rendezvous.Owner(key, members)
				rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
				now, _ := rendezvous.Owner(key, rest)
				if was != members[gone] && now != was {
					t.Fatalf("%s moved from %s to %s although %s left", key, was, now, members[gone])
				}
				if was == members[gone] && now != rendezvous.Rank(key, members, 2)[1] {
					t.Fatalf("%s did not move to the member ranked second", key)
				}
			}
		})
	})

	It("spreads keys evenly", func() {
		members := names(9)
		count := map[state.DaemonID]int{}
		const keys = 9000
		for k := range keys {
			owner, ok := rendezvous.Owner(fmt.Sprintf("drafting/%d", k), members)
			Expect(ok).To(BeTrue())
			count[owner]++
		}
		for _, m := range members {
			Expect(count[m]).To(BeNumerically("~", keys/9, 150))
		}
	})

	It("keeps its weights stable, since daemons of different versions must agree", func() {
		Expect(rendezvous.Weight("drafting/0", "entry-1")).To(Equal(uint64(1893817742365151469)))
		_, ok := rendezvous.Owner("x", []state.DaemonID(nil))
		Expect(ok).To(BeFalse())
	})
})

func BenchmarkOwner420(b *testing.B) {
	members := names(420)
	b.ReportAllocs()
	for b.Loop() {
		rendezvous.Owner("drafting@kerala-south/3", members)
	}
}
