package layering

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/cover"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// pendingOrder is an order without a confirmed result.
type pendingOrder struct {
	layers     fleet.Range
	orderCount uint64    // order count that the engine must have before it
	retryAt    time.Time // when it is planned again
	moved      bool      // the engine held other layers before
	answered   bool      // the answer has arrived, or is no longer expected
}

// pendingOrders holds the orders that engines are believed to be carrying out. The operations that
// run at every event take constant time, even with thousands of orders.
type pendingOrders struct {
	byIncarnation map[state.BackendIncarnation]pendingOrder
	unanswered    int
	// earliest is no later than any retryAt; zero if there are no orders.
	earliest time.Time
}

func newPendingOrders() pendingOrders {
	return pendingOrders{byIncarnation: make(map[state.BackendIncarnation]pendingOrder)}
}

func (o *pendingOrders) len() int { return len(o.byIncarnation) }

func (o *pendingOrders) get(id state.BackendIncarnation) (pendingOrder, bool) {
	p, ok := o.byIncarnation[id]
	return p, ok
}

func (o *pendingOrders) add(id state.BackendIncarnation, p pendingOrder) {
	o.remove(id)
	o.byIncarnation[id] = p
	o.unanswered++
	o.earliest = earlierNonZero(o.earliest, p.retryAt)
}

// markAnswered records that the answer to an order is no longer awaited.
func (o *pendingOrders) markAnswered(id state.BackendIncarnation) {
	p, ok := o.byIncarnation[id]
	if !ok || p.answered {
		return
	}
	p.answered = true
	o.byIncarnation[id] = p
	o.unanswered--
}

// extend changes when an order is planned again.
func (o *pendingOrders) extend(id state.BackendIncarnation, until time.Time) {
	p, ok := o.byIncarnation[id]
	if !ok {
		return
	}
	p.retryAt = until
	o.byIncarnation[id] = p
	o.earliest = earlierNonZero(o.earliest, until)
}

func (o *pendingOrders) remove(id state.BackendIncarnation) {
	o.markAnswered(id)
	delete(o.byIncarnation, id)
}

// removeAll removes the orders to the selected engines.
func (o *pendingOrders) removeAll(which func(state.BackendIncarnation) bool) {
	for id := range o.byIncarnation {
		if which(id) {
			o.remove(id)
		}
	}
}

// nextExpiry returns when an order may have to be planned again; zero for never.
func (o *pendingOrders) nextExpiry() time.Time { return o.earliest }

// expire removes the orders that have to be planned again, and reports whether there were any.
func (o *pendingOrders) expire(now time.Time) bool {
	if o.earliest.IsZero() || now.Before(o.earliest) {
		return false
	}
	before := len(o.byIncarnation)
	o.earliest = time.Time{}
	for id, p := range o.byIncarnation {
		if !now.Before(p.retryAt) {
			o.remove(id)
			continue
		}
		o.earliest = earlierNonZero(o.earliest, p.retryAt)
	}
	return len(o.byIncarnation) < before
}

// orders returns the orders as input of a layout.
func (o *pendingOrders) orders() map[state.BackendIncarnation]cover.PendingOrder {
	out := make(map[state.BackendIncarnation]cover.PendingOrder, len(o.byIncarnation))
	for id, p := range o.byIncarnation {
		out[id] = cover.PendingOrder{Layers: p.layers, Moved: p.moved}
	}
	return out
}
