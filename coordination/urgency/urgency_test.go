package urgency_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("The urgency of a request", func() {
	urgent, usual, background := &fleet.Route{Rank: 0}, &fleet.Route{Rank: 1}, &fleet.Route{Rank: 2}
	ranks := []int{2, 0, 1, 1}
	large, small := fleet.Customer{ID: "large", Rank: 0, Ranked: true}, fleet.Customer{ID: "small", Rank: 1, Ranked: true}

	// Guards against urgent requests that wait behind background work: all customers have a rank,
	// which replaced the rank of the route.
	It("is the customer's rank first, then the route's", Label("failure:customer-rank-hides-route"), func() {
		scale := urgency.NewScale(ranks, []int{1, 0, 1})
		previous := -1
		for _, c := range []fleet.Customer{large, small} {
			for _, r := range []*fleet.Route{urgent, usual, background} {
				rank := scale.ServerRank(urgency.Of(r, c))
				Expect(rank).To(BeNumerically(">", previous), "customer %d, route %d", c.Rank, r.Rank)
				previous = rank
			}
		}
		Expect(previous).To(BeNumerically("<=", 9))
		Expect(scale.Level(urgency.Of(urgent, large))).To(BeZero())
	})

	It("is the route's rank for a customer without one", func() {
		scale := urgency.NewScale(ranks, nil)
		Expect(scale.Contended()).To(BeTrue())
		Expect(urgency.Of(urgent, fleet.Customer{}).Compare(urgency.Of(usual, fleet.Customer{}))).To(BeNumerically("<", 0))
		Expect(scale.Level(urgency.Of(background, fleet.Customer{}))).To(Equal(1.0))
	})

	It("leaves servers the ranks of the configuration if all routes have the same", func() {
		scale := urgency.NewScale([]int{1, 1}, []int{3})
		Expect(scale.Contended()).To(BeFalse())
		Expect(scale.ServerRank(urgency.Of(usual, fleet.Customer{}))).To(Equal(1))
		Expect(scale.ServerRank(urgency.Of(usual, fleet.Customer{Rank: 3, Ranked: true}))).To(Equal(3))
		Expect(scale.ServerRank(urgency.Class{Customer: 40})).To(Equal(9))
		Expect(scale.ServerRank(urgency.Class{Customer: -4})).To(Equal(0))
	})

	It("keeps its order when there are more classes than servers distinguish", func() {
		const many = 30
		scale := urgency.NewScale(lo.Range(many), nil)
		previous := 0
		for i := range many {
			rank := scale.ServerRank(urgency.Of(&fleet.Route{Rank: i}, fleet.Customer{}))
			Expect(rank).To(And(BeNumerically(">=", previous), BeNumerically("<=", 9)))
			previous = rank
		}
		Expect(previous).To(Equal(9))
	})

	It("depends only on the routes that lead to the service", func() {
		route := func(rank int, service state.ServiceID) fleet.Route {
			return fleet.Route{Rank: rank, Split: []fleet.Share{{Service: service, Weight: 1}}}
		}
		c := &fleet.Config{
			Hosts: map[string][]fleet.Route{"h": {route(0, "model"), route(2, "records")}, "i": {route(1, "model")}},
			Keys:  map[string]fleet.Customer{"k": large, "l": {ID: "plain"}},
		}
		Expect(urgency.ScaleOf(c, "model")).To(Equal(urgency.NewScale([]int{0, 1}, []int{0})))
		Expect(urgency.ScaleOf(c, "records").Contended()).To(BeFalse())
	})

	It("is defined for a class that the configuration no longer contains", func() {
		Expect(urgency.Scale{}.ServerRank(urgency.Class{Customer: 1, Route: 2})).To(Equal(1))
		Expect(urgency.Scale{}.Level(urgency.Class{Customer: 1})).To(BeZero())
		scale := urgency.NewScale(ranks, nil)
		Expect(scale.ServerRank(urgency.Class{Customer: 7, Route: 7})).To(Equal(2))
	})
})
