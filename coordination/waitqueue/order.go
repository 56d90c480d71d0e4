package waitqueue

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// class holds the requests of one urgency.
type class struct {
	of      urgency.Class
	begun   *indexed[*Waiter] // ready requests whose answers have begun, by place
	flows   *indexed[*flow]   // customers with ready requests, by tag
	all     map[state.CustomerID]*flow
	virtual float64 // tag at which a customer's next requests start
	members int     // waiters in any state
	expects int     // waiters that will take a server as soon as there is one
	begins  int     // of those, the ones whose answers have begun
}

// flow holds the requests of one customer in a class.
type flow struct {
	customer state.CustomerID
	tag      float64           // the virtual time from which the next request may be served
	ready    *indexed[*Waiter] // by place
	index    int
	members  int
	expects  int
}

func newClass(of urgency.Class) *class {
	return &class{
		of:    of,
		begun: newPlaceHeap(),
		flows: &indexed[*flow]{less: flowBefore, index: func(f *flow) *int { return &f.index }},
		all:   make(map[state.CustomerID]*flow),
	}
}

func newPlaceHeap() *indexed[*Waiter] {
	return &indexed[*Waiter]{less: placeBefore, index: func(w *Waiter) *int { return &w.index }}
}

func placeBefore(a, b *Waiter) bool {
	if !a.req.Place.Equal(b.req.Place) {
		return a.req.Place.Before(b.req.Place)
	}
	return a.number < b.number
}

// flowBefore orders customers by what they were served lately, then by their first requests.
func flowBefore(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	x, _ := a.ready.first()
	y, _ := b.ready.first()
	return x != nil && y != nil && placeBefore(x, y)
}

// flowOf returns a customer's flow, and creates it if necessary.
func (c *class) flowOf(customer state.CustomerID) *flow {
	f, ok := c.all[customer]
	if !ok {
		c.forgetIdle()
		f = &flow{customer: customer, index: absent, ready: newPlaceHeap()}
		c.all[customer] = f
	}
	return f
}

// forgetIdle drops customers that have had their share by now, once there are many.
func (c *class) forgetIdle() {
	const few = 64
	if len(c.all) < few || len(c.all) < 2*c.flows.Len() {
		return
	}
	for customer, f := range c.all {
		if f.members == 0 && f.tag <= c.virtual {
			delete(c.all, customer)
		}
	}
}

// add makes a request ready to try.
func (c *class) add(w *Waiter) {
	if w.req.Begun {
		c.begun.add(w)
		return
	}
	f := w.flow
	f.ready.add(w)
	if f.index == absent {
		f.tag = max(f.tag, c.virtual)
		c.flows.add(f)
		return
	}
	c.flows.fix(f)
}

// remove reverts add.
func (c *class) remove(w *Waiter) {
	if w.req.Begun {
		c.begun.remove(w)
		return
	}
	f := w.flow
	if w == f.ready.items[0] && f.ready.Len() == 1 {
		c.flows.remove(f)
	}
	f.ready.remove(w)
	c.flows.fix(f)
}

// head returns the request that is to try first, or nil.
func (c *class) head() *Waiter {
	if w, ok := c.begun.first(); ok {
		return w
	}
	if f, ok := c.flows.first(); ok {
		return f.ready.items[0]
	}
	return nil
}

// charge counts a request that was served.
func (c *class) charge(w *Waiter) {
	start := max(w.flow.tag, c.virtual)
	w.flow.tag = start + max(w.req.Tokens, 1)
	c.flows.fix(w.flow)
	if first, ok := c.flows.first(); ok {
		start = min(start, first.tag) // a request that was served because it is aged
	}
	c.virtual = max(c.virtual, start)
}

// ahead returns how many requests are expected to be served before a new one.
func (c *class) ahead(r *Request) int {
	if r.Begun {
		return c.begins
	}
	own := 0
	if f, ok := c.all[r.Customer]; ok {
		own = f.expects
	}
	n := c.begins + own
	for customer, f := range c.all {
		if customer != r.Customer {
			n += min(f.expects, own+1)
		}
	}
	return n
}

// classOf returns the queue's class, and creates it if necessary.
func (q *Queue) classOf(of urgency.Class) *class {
	i, ok := slices.BinarySearchFunc(q.classes, of, func(c *class, of urgency.Class) int { return c.of.Compare(of) })
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass(of))
	}
	return q.classes[i]
}

// dropClass removes a class without waiters.
func (q *Queue) dropClass(c *class) {
	if c.members == 0 {
		q.classes = slices.DeleteFunc(q.classes, func(other *class) bool { return other == c })
	}
}

// ahead returns how many requests are expected to be served before a new one.
func (q *Queue) ahead(r *Request) int {
	n := 0
	for _, c := range q.classes {
		switch by := c.of.Compare(r.Class); {
		case by < 0:
			n += c.expects
		case by == 0:
			n += c.ahead(r)
		}
	}
	return n
}

// victim returns the waiter that makes room for a more important request, or nil: the newest one of
// the customer with the most requests in the least urgent class.
func (q *Queue) victim(r *Request) *Waiter {
	var w *Waiter
	for other := range q.waiters {
		if !other.req.Begun && other.state != trying && (w == nil || other.yieldsBefore(w)) {
			w = other
		}
	}
	if w == nil {
		return nil
	}
	own := 0
	if f, ok := w.class.all[r.Customer]; ok {
		own = f.members
	}
	by := w.req.Class.Compare(r.Class)
	if by > 0 || by == 0 && (r.Begun || w.flow.members > own+1) {
		return w
	}
	return nil
}

// yieldsBefore reports whether a waiter is displaced before another one.
func (w *Waiter) yieldsBefore(other *Waiter) bool {
	if by := w.req.Class.Compare(other.req.Class); by != 0 {
		return by > 0
	}
	if w.flow != other.flow {
		if w.flow.members != other.flow.members {
			return w.flow.members > other.flow.members
		}
		return w.flow.customer < other.flow.customer
	}
	return placeBefore(other, w)
}
