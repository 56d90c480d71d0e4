package urgency

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Class is the urgency of a request. Lower ranks are more urgent.
type Class struct {
	// Customer is the customer's rank, or the route's rank for a customer without one.
	Customer int
	// Route is the rank of the route. It decides among requests of the same customer rank.
	Route int
}

// Of returns the class of a customer's request on a route.
func Of(route *fleet.Route, customer fleet.Customer) Class {
	c := Class{Customer: route.Rank, Route: route.Rank}
	if customer.Ranked {
		c.Customer = customer.Rank
	}
	return c
}

// Compare returns a negative number if c is more urgent than other, a positive one if it is less
// urgent, and 0 if they are equal.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Customer, other.Customer), cmp.Compare(c.Route, other.Route))
}

// String returns both ranks, the customer's first.
func (c Class) String() string { return fmt.Sprintf("%d.%d", c.Customer, c.Route) }

// serverRanks is the number of ranks that backend servers distinguish; 0 is the most urgent.
const serverRanks = 10

// Scale numbers the classes of the requests that share a service.
type Scale struct {
	classes []Class // the most urgent first
	contend bool
}

// NewScale returns the scale of a service that is shared by routes of the given ranks. customers are
// the ranks of the customers that have one.
func NewScale(routes, customers []int) Scale {
	var s Scale
	for _, route := range lo.Uniq(routes) {
		s.classes = append(s.classes, Class{Customer: route, Route: route})
		for _, customer := range lo.Uniq(customers) {
			s.classes = append(s.classes, Class{Customer: customer, Route: route})
		}
	}
	slices.SortFunc(s.classes, Class.Compare)
	s.classes = slices.Compact(s.classes)
	s.contend = len(lo.Uniq(routes)) > 1
	return s
}

// ScaleOf returns the scale of a service in a configuration.
func ScaleOf(c *fleet.Config, service state.ServiceID) Scale {
	var routes, customers []int
	for _, list := range c.Hosts {
		for i := range list {
			if lo.ContainsBy(list[i].Split, func(s fleet.Share) bool { return s.Service == service }) {
				routes = append(routes, list[i].Rank)
			}
		}
	}
	for _, customer := range c.Keys {
		if customer.Ranked {
			customers = append(customers, customer.Rank)
		}
	}
	return NewScale(routes, customers)
}

// Contended reports whether routes of different ranks share the service.
func (s Scale) Contended() bool { return s.contend }

// Level returns how urgent a class is among those of the service: 0 for the most urgent, 1 for the
// least urgent. All requests of a service with one class are on level 0.
func (s Scale) Level(c Class) float64 {
	if len(s.classes) < 2 {
		return 0
	}
	return float64(s.position(c)) / float64(len(s.classes)-1)
}

// ServerRank returns the rank of a class for a backend server, from 0 to 9. Without routes of
// different ranks it is the rank of the customer, or of the route.
func (s Scale) ServerRank(c Class) int {
	if !s.contend {
		return min(max(c.Customer, 0), serverRanks-1)
	}
	position := s.position(c)
	if len(s.classes) > serverRanks {
		return position * serverRanks / len(s.classes)
	}
	return position
}

// position returns the number of classes that are more urgent than c, at most the index of the last
// class.
func (s Scale) position(c Class) int {
	i, _ := slices.BinarySearchFunc(s.classes, c, Class.Compare)
	return min(i, max(len(s.classes)-1, 0))
}
