package gateway

import (
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// listingPart keeps the configuration and the list of servers.
type listingPart struct {
	c       *control
	servers map[state.BackendID]fleet.Server
	// revisions tell which of two lives at one address is the later one.
	revisions map[state.BackendID]uint64
	// changed is when the list was last published, and stale whether it has changed since;
	// urgent is whether that is to be published at once.
	changed       time.Time
	stale, urgent bool
	// recovered is when the store last answered after a while without.
	recovered time.Time
	// missing are servers that are no longer listed, but may only have lapsed, and
	// when they count as gone.
	missing map[state.BackendID]time.Time
	// former are lives that another one of the same name has followed. Their entries
	// may still come: a write that was held up is done after the new life's.
	former map[state.Life]bool
	// young are lives that were listed first since the list was last published.
	young []state.Life
	// first is when the list was first read, and joined when a server was last added.
	first, joined time.Time
	// bad are entries that can't be read, by the revision that was logged.
	bad map[state.BackendID]uint64
	// latest and sizes are regroup's: the later one of the lives at each address, and how
	// many servers each service has.
	latest map[string]state.BackendID
	sizes  map[state.ServiceID]int
}

const (
	// lapseWindow is how long after the store's return an entry that goes may have
	// lapsed while servers could not renew it.
	lapseWindow = 3 * time.Second
	// lapseGrace is how long such a server is still used. A living one is listed
	// again within about two seconds, and a leaving one may get no request later
	// than that.
	lapseGrace = 1800 * time.Millisecond
)

func newListingPart(c *control) *listingPart {
	return &listingPart{
		c:         c,
		servers:   make(map[state.BackendID]fleet.Server),
		revisions: make(map[state.BackendID]uint64),
		missing:   make(map[state.BackendID]time.Time),
		former:    make(map[state.Life]bool),
		bad:       make(map[state.BackendID]uint64),
		latest:    make(map[string]state.BackendID),
		sizes:     make(map[state.ServiceID]int),
	}
}

// configured takes up the newest configuration. An older one is never taken: a
// caller that has seen the effect of a version would see it undone.
func (p *listingPart) configured(b site.Batch[*fleet.Config], _ arrival) {
	for _, it := range b.Items {
		if it.Err != nil {
			p.c.g.log.Emit(telemetry.EventDocumentUnreadable, telemetry.Cause(it.Err))
			continue
		}
		if it.Removed || p.c.view.config != nil && it.Value.Version <= p.c.view.config.Version {
			continue
		}
		p.c.view.config = it.Value
		p.c.changed = true
		p.stale, p.urgent = true, true // which entries are usable depends on it
		p.c.g.log.Emit(telemetry.EventDocumentApplied, telemetry.Version(state.DocumentVersion(it.Value.Version)))
	}
}

// listed takes up a change of the list of servers.
func (p *listingPart) listed(b site.Batch[fleet.Server], how arrival) {
	if how.recovered {
		p.answeredAgain(p.c.now)
	}
	present := make(map[state.BackendID]bool, len(b.Items))
	for _, it := range b.Items {
		id := state.BackendID(it.Key)
		present[id] = !it.Removed
		switch {
		case it.Removed:
			delete(p.bad, id)
			p.miss(id)
		case it.Err != nil:
			p.unreadable(id, it.Revision, it.Err)
		case p.former[it.Value.Life()]:
			// A write of the former life that was held up; the new one's follows.
		default:
			delete(p.bad, id)
			p.revisions[id] = it.Revision
			p.seen(it.Value)
		}
	}
	if how.whole {
		for id := range p.servers {
			if !present[id] {
				p.miss(id)
			}
		}
	}
	if p.first.IsZero() {
		p.first = p.c.now
	}
	p.c.view.listed = true
	p.stale = true
}

// answeredAgain notes when the store answered again after a while without.
func (p *listingPart) answeredAgain(at time.Time) {
	if at.After(p.recovered) {
		p.recovered = at
	}
}

// miss takes a server off the list, at once unless its entry may have lapsed.
func (p *listingPart) miss(id state.BackendID) {
	if p.c.now.Sub(p.recovered) > lapseWindow {
		p.gone(id)
		return
	}
	if _, ok := p.missing[id]; !ok {
		p.missing[id] = p.c.now.Add(lapseGrace)
	}
}

// tick takes off the list what has been missing for too long, and publishes it if it
// has changed: once for all changes that came together.
func (p *listingPart) tick() {
	for id, until := range p.missing {
		if !p.c.now.Before(until) {
			p.gone(id)
			p.stale = true
		}
	}
	if p.stale && (p.urgent || !p.c.now.Before(p.publishAt())) {
		p.stale, p.urgent = false, false
		p.changed = p.c.now
		p.regroup()
	}
	if filling := p.filling(); filling != p.c.view.filling {
		p.c.view.filling = filling
		p.c.changed = true
	}
}

// publishEach is the time between two publications of the list, for each server on it. A
// publication looks at all servers, which costs about a microsecond each: at a start 3,000
// servers list themselves and their layers in hundreds of changes a second. So it takes no
// more than a twentieth of a core, and 12,000 servers' changes are in force 0.24 s later at
// most, of the 2 s that a leaving server or a configuration has.
const publishEach = 20 * time.Microsecond

// publishAt is when a change of the list may be published.
func (p *listingPart) publishAt() time.Time {
	return p.changed.Add(time.Duration(len(p.servers)) * publishEach)
}

// nextTick is when a change is to be published, or a server counts as gone; zero for
// neither.
func (p *listingPart) nextTick() time.Time {
	var next time.Time
	if p.stale {
		next = p.publishAt()
	}
	for _, t := range p.missing {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}

// filling reports whether requests had better wait for more servers to be listed.
func (p *listingPart) filling() bool {
	v := &p.c.view
	list := admission.ServerList{FirstRead: p.first, LastAdded: p.joined}
	if v.config == nil || !list.Populating(p.c.now) {
		return false // it does not grow, whatever it holds
	}
	for id, svc := range v.config.Services {
		if svc.Engine == nil {
			continue
		}
		list.MinCopies = cover(svc.Engine, v.servers[id]).Least()
		if list.Populating(p.c.now) {
			return true
		}
	}
	return false
}

func (p *listingPart) seen(s fleet.Server) {
	delete(p.missing, s.ID)
	old, known := p.servers[s.ID]
	p.servers[s.ID] = s
	if !known {
		p.joined = p.c.now
		p.young = append(p.young, s.Life())
		p.c.g.log.Emit(telemetry.EventBackendJoined, telemetry.Backend(s.ID), telemetry.Address(s.Address))
		return
	}
	if s.Life() != old.Life() {
		p.restarted(old, s)
		return
	}
	if s.Layers != old.Layers {
		p.c.g.log.Emit(telemetry.EventLayersListed, telemetry.Backend(s.ID), telemetry.Layers(s.Layers))
	}
	if s.Draining && !old.Draining {
		p.c.g.log.Emit(telemetry.EventBackendLeaving, telemetry.Backend(s.ID))
	}
}

func (p *listingPart) gone(id state.BackendID) {
	delete(p.missing, id)
	p.forgetLives(id)
	if _, ok := p.servers[id]; !ok {
		return
	}
	delete(p.servers, id)
	delete(p.revisions, id)
	p.c.g.log.Emit(telemetry.EventBackendDied, telemetry.Backend(id))
}

// regroup publishes the servers by service. Of two lives at one address only the
// later one is there: a server that crashed and started again where the store could
// not be reached is listed twice until its first life's entry lapses, and a path over
// both would name one address twice.
func (p *listingPart) regroup() {
	latest, sizes := p.latest, p.sizes
	clear(latest)
	clear(sizes)
	for id, s := range p.servers {
		if !usable(p.c.view.config, &s) {
			continue
		}
		if other, ok := latest[s.Address]; !ok || p.revisions[id] > p.revisions[other] {
			latest[s.Address] = id
		}
		sizes[s.Service]++
	}
	groups := make(map[state.ServiceID][]fleet.Server, len(sizes))
	for _, id := range latest {
		s := p.servers[id]
		if groups[s.Service] == nil {
			groups[s.Service] = make([]fleet.Server, 0, sizes[s.Service])
		}
		groups[s.Service] = append(groups[s.Service], s)
	}
	p.welcome(latest)
	p.c.view.servers = groups
	p.c.view.rosters = rosters(p.c.view.config, groups)
	p.c.changed = true
}

// rosters has the engines of each service prepared for the choice of paths once a request
// needs them. At a start lists are published many times a second, and a daemon of hundreds
// chooses few paths.
func rosters(c *fleet.Config, groups map[state.ServiceID][]fleet.Server) map[state.ServiceID]func() *pathing.Roster {
	if c == nil {
		return nil
	}
	out := make(map[state.ServiceID]func() *pathing.Roster)
	for id, svc := range c.Services {
		if svc.Engine != nil {
			out[id] = sync.OnceValue(func() *pathing.Roster { return pathing.NewRoster(svc.Engine, groups[id]) })
		}
	}
	return out
}
