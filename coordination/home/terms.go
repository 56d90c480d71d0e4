package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// terms is the part of a service's document that a home needs. A class's index is its
// rank: 0 goes first. Classes of equal priority rank in document order.
type terms struct {
	classes   []classTerms
	rank      map[state.ClassID]int
	weights   map[state.CustomerID]float64
	maxQueued int
}

// classTerms is one class. reservedAbove is the number of slots of each replica that
// are reserved for classes of lower rank number.
type classTerms struct {
	name          state.ClassID
	reservedAbove int
}

// newTerms compiles d. A nil document has no classes.
func newTerms(d *service.Document, cfg Config) *terms {
	t := &terms{
		rank:      make(map[state.ClassID]int),
		weights:   make(map[state.CustomerID]float64),
		maxQueued: cfg.QueuePerClass,
	}
	if d == nil {
		return t
	}
	t.maxQueued = orDefault(d.Capacity.QueuePerClass, cfg.QueuePerClass)
	ordered := slices.Clone(d.Classes)
	slices.SortStableFunc(ordered, func(a, b service.Class) int { return a.Priority - b.Priority })
	above := 0
	for i, c := range ordered {
		t.rank[c.Name] = i
		t.classes = append(t.classes, classTerms{name: c.Name, reservedAbove: above})
		above += c.ReservedSlots
	}
	for _, c := range d.Customers {
		t.weights[c.ID] = orDefault(c.Weight, 1)
	}
	return t
}

// rankOf returns the rank of a class. A class that was removed from the document ranks
// last, so that its grants still count.
func (t *terms) rankOf(name state.ClassID) int {
	if rank, ok := t.rank[name]; ok {
		return rank
	}
	return max(len(t.classes)-1, 0)
}

// retryAfterSeconds converts d to whole seconds, rounded up and limited to [1,
// maxRetryAfter].
func retryAfterSeconds(d time.Duration) state.RetryAfter {
	s := (d + time.Second - 1) / time.Second
	return state.RetryAfter(min(max(s, 1), maxRetryAfter))
}

// maxRetryAfter is the longest delay that a refusal tells a caller to wait, in seconds.
const maxRetryAfter = 60
