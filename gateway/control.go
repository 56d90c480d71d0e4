package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
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
	configs *feedPart[*fleet.Config]
	entries *feedPart[fleet.Server]
	duty    *dutyPart
	permits *permitsPart
	gauges  gauges
}

func newControl(g *Gateway) *control {
	c := &control{g: g, inbox: make(chan func(), 256), now: time.Now()}
	c.members = newMembersPart(c)
	c.listing = newListingPart(c)
	c.configs = newFeedPart(c, "configuration", g.site.Configs, c.listing.configured, c.listing.answeredAgain)
	c.entries = newFeedPart(c, "servers", g.site.Servers, c.listing.listed, c.listing.answeredAgain)
	c.duty = newDutyPart(c)
	c.permits = &permitsPart{c: c}
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
			c.drainInbox()
		case <-timer.C:
		case <-c.g.done:
			return
		}
		c.now = time.Now()
		c.tick()
		timer.Reset(max(time.Until(c.nextTick()), leastTick))
	}
}

// tick runs the timers that are due, and publishes what has changed.
func (c *control) tick() {
	c.members.tick()
	c.listing.tick()
	c.configs.tick()
	c.entries.tick()
	c.duty.tick()
	c.permits.tick()
	c.gauges.tick()
	c.publish()
}

// drainInbox runs what else has come meanwhile, so that its effects are worked out once.
func (c *control) drainInbox() {
	for range cap(c.inbox) {
		select {
		case f := <-c.inbox:
			c.now = time.Now()
			f()
		default:
			return
		}
	}
}

// nextTick is when the first timer is due.
func (c *control) nextTick() time.Time {
	next := c.now.Add(10 * tickInterval)
	for _, t := range []time.Time{
		c.members.m.NextTick(), c.duty.nextTick(), c.configs.m.NextTick(c.now), c.entries.m.NextTick(c.now),
		c.listing.nextTick(), c.permits.nextTick(),
	} {
		if !t.IsZero() {
			next = earlier(next, t)
		}
	}
	if c.view.filling {
		next = earlier(next, c.now.Add(tickInterval))
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

// membersChanged takes up who takes part.
func (c *control) membersChanged() {
	var daemons []following.Daemon
	for _, i := range c.view.members.Members {
		if i.Live() {
			daemons = append(daemons, following.Daemon{
				ID: i.Member.ID, Domain: i.Meta.Domain, Eligible: i.State == membership.Alive && !i.Draining,
			})
		}
	}
	c.configs.m.SetMembers(daemons)
	c.entries.m.SetMembers(daemons)
}

// heard takes what a daemon tells of a feed that it follows for others.
func (c *control) heard(t following.Announcement) {
	switch t.Feed {
	case c.configs.name:
		c.configs.heard(t)
	case c.entries.name:
		c.entries.heard(t)
	}
}
