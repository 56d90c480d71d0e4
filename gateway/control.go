package gateway

import (
	"time"
)

// tickInterval is how often timers of the control state run at the latest.
const tickInterval = 100 * time.Millisecond

// leastTick keeps a timer that is overdue from taking the whole processor, of which
// an instance has a part only: streams would stand still.
const leastTick = 2 * time.Millisecond

// control owns the control state. Its fields belong to run's goroutine.
type control struct {
	g     *Gateway
	inbox chan func()
	now   time.Time

	view    view // the next one to be published
	changed bool

	members *membersPart
	listing *listingPart
	duty    *dutyPart
	gauges  gauges
}

func newControl(g *Gateway) *control {
	c := &control{g: g, inbox: make(chan func(), 256), now: time.Now()}
	c.members = newMembersPart(c)
	c.listing = newListingPart(c)
	c.duty = newDutyPart(c)
	c.gauges.c = c
	return c
}

// post has f run by the control goroutine. It is lost once the gateway has ended.
func (c *control) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.g.done:
	}
}

// run is the control goroutine.
func (c *control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-c.inbox:
			c.now = time.Now()
			f()
		case <-timer.C:
		case <-c.g.done:
			return
		}
		c.now = time.Now()
		c.members.tick()
		c.listing.tick()
		c.duty.tick()
		c.gauges.tick()
		c.publish()
		timer.Reset(max(time.Until(c.nextTick()), leastTick))
	}
}

// nextTick is when the first timer is due.
func (c *control) nextTick() time.Time {
	next := c.now.Add(10 * tickInterval)
	if t := c.members.m.NextTick(); !t.IsZero() && t.Before(next) {
		next = t
	}
	if t := c.duty.nextTick(); !t.IsZero() && t.Before(next) {
		next = t
	}
	for _, t := range c.listing.missing {
		if t.Before(next) {
			next = t
		}
	}
	return next
}

// publish makes the present state the one that traffic goes by.
func (c *control) publish() {
	if !c.changed {
		return
	}
	c.changed = false
	v := c.view
	c.g.current.Store(&v)
}
