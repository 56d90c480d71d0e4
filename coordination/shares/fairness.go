package shares

import (
	"cmp"
	"slices"
)

// reliefShare is the part of its present load that an overloaded service should have. What
// exceeds it is taken from the customers with the most.
const reliefShare = 0.8

// demand is what a customer wants of a service.
type demand struct {
	wanted float64
	weight float64
}

// fairShare returns the max-min fair share of a customer with weight 1 in an overloaded service.
// Customers that want less than their share are given it, and what they leave is lent to the others.
// other is wanted by customers that are not listed, of which there are at least otherCustomers. No
// share is less than an equal part of admitted, which is the load of all customers.
func fairShare(demands []demand, other, otherCustomers, admitted float64) float64 {
	left, weights := reliefShare*admitted-other, otherCustomers
	for _, d := range demands {
		weights += d.weight
	}
	if weights <= 0 {
		return admitted
	}
	equal, remaining := admitted/weights, weights-otherCustomers
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.wanted/a.weight, b.wanted/b.weight) })
	level := 0.0
	for _, d := range demands {
		level = left / remaining
		if d.wanted/d.weight >= level {
			break
		}
		left -= d.wanted
		remaining -= d.weight
	}
	return max(level, equal)
}

// excess returns how far a use exceeds a share: 0 within it, 1 from twice the share on.
func excess(used, share float64) float64 {
	if share <= 0 || used <= share {
		return 0
	}
	return min(used/share-1, 1)
}
