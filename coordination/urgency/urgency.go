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

// Users are the ranks of those who use a service.
type Users struct {
	Routes    []int // ranks of the routes that lead to it
	Customers []int // ranks of the customers that have one
	Unranked  bool  // there are requests of customers without a rank
}

// NewScale returns the scale of a service.
func NewScale(u Users) Scale {
	s := Scale{contend: len(lo.Uniq(u.Routes)) > 1}
	for _, route := range lo.Uniq(u.Routes) {
		if u.Unranked {
			s.classes = append(s.classes, Class{Customer: route, Route: route})
		}
		for _, customer := range lo.Uniq(u.Customers) {
			s.classes = append(s.classes, Class{Customer: customer, Route: route})
		}
	}
	slices.SortFunc(s.classes, Class.Compare)
	s.classes = slices.Compact(s.classes)
	return s
}

// ScaleOf returns the scale of a service in a configuration.
func ScaleOf(c *fleet.Config, service state.ServiceID) Scale {
	u := Users{Unranked: c.Keys == nil}
	for _, list := range c.Hosts {
		for i := range list {
			if lo.ContainsBy(list[i].Split, func(s fleet.Share) bool { return s.Service == service }) {
				u.Routes = append(u.Routes, list[i].Rank)
				u.Unranked = u.Unranked || list[i].Anonymous
			}
		}
	}
	for _, customer := range c.Keys {
		if customer.Ranked {
			u.Customers = append(u.Customers, customer.Rank)
		}
		u.Unranked = u.Unranked || !customer.Ranked
	}
	return NewScale(u)
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

// ServerRank returns the rank of a request for a backend server, from 0 to 9. Among the requests of
// one customer rank, the rest of answers that have begun goes before new ones: their callers wait for
// the next event, which is due sooner than the first event of another answer. Without routes of different
// ranks it is the rank of the customer alone, or of the route.
func (s Scale) ServerRank(c Class, begun bool) int {
	if !s.contend {
		return min(max(c.Customer, 0), serverRanks-1)
	}
	// Each customer rank takes a number for its begun answers, then one for each of its classes.
	customerRanks, before := 0, 0
	for i, other := range s.classes {
		if i == 0 || other.Customer != s.classes[i-1].Customer {
			customerRanks++
			if other.Customer < c.Customer {
				before++
			}
		}
		if other.Customer < c.Customer || other.Customer == c.Customer && !begun && other.Route <= c.Route {
			before++
		}
	}
	if all := customerRanks + len(s.classes); all > serverRanks {
		return min(before*serverRanks/all, serverRanks-1)
	}
	return min(before, serverRanks-1)
}

// position returns the number of classes that are more urgent than c, at most the index of the last
// class.
func (s Scale) position(c Class) int {
	i, _ := slices.BinarySearchFunc(s.classes, c, Class.Compare)
	return min(i, max(len(s.classes)-1, 0))
}
