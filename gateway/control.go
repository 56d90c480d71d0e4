package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// tickInterval is the unit of the control state's timer: it fires at least every 10
// intervals, and every interval while the server list is still populating. Close waits one
// interval for its announcement.
const tickInterval = 100 * time.Millisecond

// minTickInterval prevents an overdue timer from using the processor continuously. The
// daemon has only a part of its instance's processor, and streams would stall.
const minTickInterval = 2 * time.Millisecond

// control owns the control state. Its fields belong to the goroutine of run.
type control struct {
	g     *Gateway
	inbox chan func()
	now   time.Time

	view    view // the next one to be published
	changed bool

	members    *membersState
	listing    *listingState
	configFeed *feedTracker[*fleet.Config]
	serverFeed *feedTracker[fleet.Server]
	assignment *assignmentState
	permits    *permitsState
	retries    *retryRecords
	gauges     gauges

	known     chan struct{} // closed once the configuration and the servers are known
	knownOnce sync.Once

	epoch uint64 // how often the store is known to have been restored from a backup
}

func newControl(g *Gateway) *control {
	c := &control{g: g, inbox: make(chan func(), 256), now: time.Now(), known: make(chan struct{})}
	c.members = newMembersState(c)
	c.listing = newListingState(c)
	c.configFeed = newFeedTracker(c, "configuration", g.site.Configs, c.listing.applyConfig)
	c.serverFeed = newFeedTracker(c, "servers", g.site.Servers, c.listing.applyServers)
	c.assignment = newAssignmentState(c)
	c.permits = &permitsState{c: c}
	c.retries = &retryRecords{c: c}
	c.gauges.c = c
	return c
}

// post queues fn for the control goroutine. fn is dropped once the gateway is closed.
func (c *control) post(fn func()) {
	select {
	case c.inbox <- fn:
	case <-c.g.done:
	}
}

// run is the control goroutine.
func (c *control) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case fn := <-c.inbox:
			c.g.observeRunning(time.Now())
			c.now = time.Now()
			fn()
			c.drainInbox()
		case <-timer.C:
		case <-c.g.done:
			return
		}
		c.now = time.Now()
		c.g.observeRunning(c.now)
		c.tick()
		next := c.nextTick()
		c.g.running.expect(time.Now(), next)
		timer.Reset(max(time.Until(next), minTickInterval))
	}
}

// tick runs the timers that are due, and publishes a changed view.
func (c *control) tick() {
	c.members.tick()
	c.listing.tick()
	c.configFeed.tick()
	c.serverFeed.tick()
	c.assignment.tick()
	c.permits.tick()
	c.retries.tick()
	c.g.shares.tick(c)
	c.gauges.tick()
	c.publish()
}

// drainInbox runs the functions that are already queued, so that their combined effects are
// processed once.
func (c *control) drainInbox() {
	for range cap(c.inbox) {
		select {
		case fn := <-c.inbox:
			c.now = time.Now()
			fn()
		default:
			return
		}
	}
}

// nextTick returns when the next timer is due.
func (c *control) nextTick() time.Time {
	next := c.now.Add(10 * tickInterval)
	for _, t := range []time.Time{
		c.members.nextTick(), c.assignment.nextTick(), c.configFeed.machine.NextTick(c.now), c.serverFeed.machine.NextTick(c.now),
		c.listing.nextTick(), c.permits.nextTick(), c.retries.nextTick(), c.g.shares.nextTick(),
	} {
		if !t.IsZero() {
			next = earlier(next, t)
		}
	}
	if c.view.populating {
		next = earlier(next, c.now.Add(tickInterval))
	}
	return next
}

// publish makes the current control state visible to traffic.
func (c *control) publish() {
	if !c.changed {
		return
	}
	c.changed = false
	v := c.view
	former := c.g.currentView.Swap(&v)
	if v.config != nil && v.config != former.config {
		c.g.waits.reclassify(&v)
	}
	c.g.waits.changed()
	if v.known() {
		c.knownOnce.Do(func() { close(c.known) })
	}
}

// updateMembers passes the live daemons to the feeds.
func (c *control) updateMembers() {
	var daemons []following.Daemon
	for _, i := range c.view.members.Members {
		if i.Live() {
			daemons = append(daemons, following.Daemon{
				ID: i.Member.ID, Domain: i.Meta.Domain, Eligible: i.State == membership.Alive && !i.Draining,
			})
		}
	}
	c.configFeed.machine.SetMembers(daemons)
	c.serverFeed.machine.SetMembers(daemons)
}

// handleRestore is called when a feed shows that the store was restored from a backup.
func (c *control) handleRestore(epoch uint64) {
	if epoch <= c.epoch {
		return
	}
	c.epoch = epoch
	c.g.log.Emit(telemetry.EventStoreRestored, telemetry.Count(int(epoch)))
	c.listing.restoredAt = c.now
	c.members.rewriteRow()
}

// handleAnnouncement handles the announcement of a daemon that follows a feed for others.
func (c *control) handleAnnouncement(ann following.Announcement) {
	switch ann.Feed {
	case c.configFeed.name:
		c.configFeed.handleAnnouncement(ann)
	case c.serverFeed.name:
		c.serverFeed.handleAnnouncement(ann)
	}
}
