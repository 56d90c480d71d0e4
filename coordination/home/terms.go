package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// terms is what a home needs of a service's document. A class's index is its
// rank: 0 goes first. Classes of equal priority rank in document order.
type terms struct {
	classes    []classTerms
	rank       map[state.ClassID]int
	weights    map[state.CustomerID]float64
	queueBound int
}

// classTerms is one class. Above counts the slots of each replica that are
// reserved for classes of lower rank number.
type classTerms struct {
	name  state.ClassID
	above int
}

// newTerms compiles d; a nil document has no classes.
func newTerms(d *service.Document, cfg Config) *terms {
	t := &terms{
		rank:       make(map[state.ClassID]int),
		weights:    make(map[state.CustomerID]float64),
		queueBound: cfg.QueuePerClass,
	}
	if d == nil {
		return t
	}
	t.queueBound = orDefault(d.Capacity.QueuePerClass, cfg.QueuePerClass)
	ordered := slices.Clone(d.Classes)
	slices.SortStableFunc(ordered, func(a, b service.Class) int { return a.Priority - b.Priority })
	above := 0
	for i, c := range ordered {
		t.rank[c.Name] = i
		t.classes = append(t.classes, classTerms{name: c.Name, above: above})
		above += c.ReservedSlots
	}
	for _, c := range d.Customers {
		t.weights[c.ID] = orDefault(c.Weight, 1)
	}
	return t
}

// rankOf returns the class's rank; a class that the document dropped ranks
// last, so that its grants still count.
func (t *terms) rankOf(name state.ClassID) int {
	if rank, ok := t.rank[name]; ok {
		return rank
	}
	return max(len(t.classes)-1, 0)
}

// seconds converts a whole number of seconds for RetryAfter, rounding up and
// keeping it within [1, maxRetryAfter].
func seconds(d time.Duration) state.RetryAfter {
	s := (d + time.Second - 1) / time.Second
	return state.RetryAfter(min(max(s, 1), maxRetryAfter))
}

// maxRetryAfter bounds what a refusal tells a caller to wait, in seconds.
const maxRetryAfter = 60
