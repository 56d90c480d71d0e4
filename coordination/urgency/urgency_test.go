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
		scale := urgency.NewScale(urgency.Users{Routes: ranks, Customers: []int{1, 0, 1}})
		previous := -1
		for _, c := range []fleet.Customer{large, small} {
			last := previous // of the more urgent customers
			for _, r := range []*fleet.Route{urgent, usual, background} {
				rank := scale.ServerRank(urgency.Of(r, c), false)
				Expect(rank).To(BeNumerically(">", previous), "customer %d, route %d", c.Rank, r.Rank)
				Expect(scale.ServerRank(urgency.Of(r, c), true)).To(And(BeNumerically("<", rank), BeNumerically(">", last)))
				previous = rank
			}
		}
		Expect(previous).To(BeNumerically("<=", 9))
		Expect(scale.Level(urgency.Of(urgent, large))).To(BeZero())
	})

	It("is the route's rank for a customer without one", func() {
		scale := urgency.NewScale(urgency.Users{Routes: ranks, Unranked: true})
		Expect(scale.Contended()).To(BeTrue())
		Expect(urgency.Of(urgent, fleet.Customer{}).Compare(urgency.Of(usual, fleet.Customer{}))).To(BeNumerically("<", 0))
		Expect(scale.Level(urgency.Of(background, fleet.Customer{}))).To(Equal(1.0))
	})

	It("leaves servers the ranks of the configuration if all routes have the same", func() {
		scale := urgency.NewScale(urgency.Users{Routes: []int{1, 1}, Customers: []int{3}, Unranked: true})
		Expect(scale.Contended()).To(BeFalse())
		for _, begun := range []bool{true, false} {
			Expect(scale.ServerRank(urgency.Of(usual, fleet.Customer{}), begun)).To(Equal(1))
			Expect(scale.ServerRank(urgency.Of(usual, fleet.Customer{Rank: 3, Ranked: true}), begun)).To(Equal(3))
		}
	})

	// Guards against begun answers that pause while the prompts of new ones are read: many streams go
	// on elsewhere at the same moment.
	It("puts the rest of a begun answer before new ones of its customer's rank only", Label("failure:rest-behind-new-streams"), func() {
		scale := urgency.NewScale(urgency.Users{Routes: []int{0, 1}, Customers: []int{1, 2}})
		first, second := fleet.Customer{Rank: 1, Ranked: true}, fleet.Customer{Rank: 2, Ranked: true}
		rest := scale.ServerRank(urgency.Of(usual, first), true)
		Expect(rest).To(BeNumerically("<", scale.ServerRank(urgency.Of(urgent, first), false)))
		Expect(scale.ServerRank(urgency.Of(usual, first), false)).To(BeNumerically("<", scale.ServerRank(urgency.Of(urgent, second), true)))
	})

	It("is the rank of the customer, or of the route, without a scale", func() {
		Expect(urgency.Scale{}.ServerRank(urgency.Of(usual, fleet.Customer{}), true)).To(Equal(1))
		Expect(urgency.Scale{}.ServerRank(urgency.Of(usual, fleet.Customer{Rank: 3, Ranked: true}), false)).To(Equal(3))
		Expect(urgency.Scale{}.ServerRank(urgency.Class{Customer: 40}, false)).To(Equal(9))
		Expect(urgency.Scale{}.ServerRank(urgency.Class{Customer: -4}, false)).To(Equal(0))
	})

	It("keeps its order when there are more classes than servers distinguish", func() {
		const many = 30
		scale := urgency.NewScale(urgency.Users{Routes: lo.Range(many), Unranked: true})
		previous := 0
		for i := range many {
			rank := scale.ServerRank(urgency.Of(&fleet.Route{Rank: i}, fleet.Customer{}), false)
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
		Expect(urgency.ScaleOf(c, "model")).To(Equal(urgency.NewScale(urgency.Users{Routes: []int{0, 1}, Customers: []int{0}, Unranked: true})))
		Expect(urgency.ScaleOf(c, "records").Contended()).To(BeFalse())
	})

	It("is defined for a class that the configuration no longer contains", func() {
		Expect(urgency.Scale{}.Level(urgency.Class{Customer: 1})).To(BeZero())
		scale := urgency.NewScale(urgency.Users{Routes: ranks, Unranked: true})
		Expect(scale.ServerRank(urgency.Class{Customer: 7, Route: 7}, false)).To(Equal(6))
	})
})
