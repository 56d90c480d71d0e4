package layering

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/cover"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// pending is an order under way.
type pending struct {
	layers   fleet.Range
	orders   uint64    // that the engine must have begun before
	until    time.Time // when it is decided anew
	moved    bool      // the engine held other layers before
	answered bool      // the engine's answer has come, or will not
}

// underWay holds the orders that engines are carrying out, as far as is known. What is asked
// at every event takes no longer where there are thousands of them.
type underWay struct {
	byLife     map[state.Life]pending
	unanswered int
	// earliest is no later than any order's until; zero where there is no order.
	earliest time.Time
}

func newUnderWay() underWay {
	return underWay{byLife: make(map[state.Life]pending)}
}

func (u *underWay) len() int { return len(u.byLife) }

func (u *underWay) get(id state.Life) (pending, bool) {
	p, ok := u.byLife[id]
	return p, ok
}

func (u *underWay) add(id state.Life, p pending) {
	u.remove(id)
	u.byLife[id] = p
	u.unanswered++
	u.earliest = sooner(u.earliest, p.until)
}

// answered notes that no answer to an order is waited for any more.
func (u *underWay) answered(id state.Life) {
	p, ok := u.byLife[id]
	if !ok || p.answered {
		return
	}
	p.answered = true
	u.byLife[id] = p
	u.unanswered--
}

// extend changes when an order is decided anew.
func (u *underWay) extend(id state.Life, until time.Time) {
	p, ok := u.byLife[id]
	if !ok {
		return
	}
	p.until = until
	u.byLife[id] = p
	u.earliest = sooner(u.earliest, until)
}

func (u *underWay) remove(id state.Life) {
	u.answered(id)
	delete(u.byLife, id)
}

// removeAll removes the orders to some engines.
func (u *underWay) removeAll(which func(state.Life) bool) {
	for id := range u.byLife {
		if which(id) {
			u.remove(id)
		}
	}
}

// nextExpiry is when an order may be due to be decided anew; zero for never.
func (u *underWay) nextExpiry() time.Time { return u.earliest }

// expire removes the orders that are to be decided anew, and reports whether there were any.
func (u *underWay) expire(now time.Time) bool {
	if u.earliest.IsZero() || now.Before(u.earliest) {
		return false
	}
	before := len(u.byLife)
	u.earliest = time.Time{}
	for id, p := range u.byLife {
		if !now.Before(p.until) {
			u.remove(id)
			continue
		}
		u.earliest = sooner(u.earliest, p.until)
	}
	return len(u.byLife) < before
}

// orders lists them for a layout.
func (u *underWay) orders() map[state.Life]cover.PendingOrder {
	out := make(map[state.Life]cover.PendingOrder, len(u.byLife))
	for id, p := range u.byLife {
		out[id] = cover.PendingOrder{Layers: p.layers, Moved: p.moved}
	}
	return out
}
