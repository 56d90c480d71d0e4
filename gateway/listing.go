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

// listingState holds the configuration and the list of servers.
type listingState struct {
	c       *control
	servers map[state.BackendID]fleet.Server
	// revisions tell which of two incarnations at one address is the later one.
	revisions map[state.BackendID]uint64
	// publishedAt is when the list was last published, and dirty whether it has changed
	// since. Such a change is published at once if publishNow is set, and soon if urgent is.
	publishedAt               time.Time
	dirty, urgent, publishNow bool
	// restoredAt is when the store was last found to be restored from a backup.
	restoredAt time.Time
	// missing are servers that are no longer listed but whose entries may only have
	// expired, with the time at which that became known.
	missing map[state.BackendID]time.Time
	// formerIncarnations are incarnations that another one of the same name has followed.
	// Their entries may still arrive, since a delayed write can take effect after the new
	// incarnation's.
	formerIncarnations map[state.BackendIncarnation]bool
	// newIncarnations are incarnations that were first listed since the last publication.
	newIncarnations []state.BackendIncarnation
	// firstRead is when the list was first read, lastAdded when a server was last added.
	firstRead, lastAdded time.Time
	// departed are the incarnations that have left the list, and when. A store that was restored from
	// a backup may list them again.
	departed map[state.BackendIncarnation]time.Time
	// held are entries of departed incarnations in a restored list, with the time at which they are
	// used unless they are removed first.
	held map[state.BackendID]heldEntry
	// unreadable are entries that can't be decoded, with the revision that was logged.
	unreadable map[state.BackendID]uint64
	// latestByAddress and serviceSizes belong to publishServers: the later one of the
	// incarnations at each address, and the number of servers of each service.
	latestByAddress map[string]state.BackendID
	serviceSizes    map[state.ServiceID]int
}

// heldEntry is an entry that is not used yet.
type heldEntry struct {
	server   fleet.Server
	revision uint64
	until    time.Time
}

const (
	// departedTTL is how long an incarnation that has left is remembered: a backup that is restored
	// is some seconds old.
	departedTTL = time.Minute
	// heldFor is how long the entry of a departed server in a restored list is not used. If the
	// server is not alive, the store removes its entry sooner.
	heldFor = 5 * time.Second
	// expiryWindow is how long after the store's recovery a removed entry may have expired
	// only because its server could not renew it. Those of servers that are alive are back by then.
	expiryWindow = 3 * time.Second
	// expiryGrace is how long such a server is still used, but not beyond expiryWindow, since its
	// removal may become known late. A server that is alive is listed again within about two seconds,
	// and a leaving one may get no request later than that.
	expiryGrace = 1800 * time.Millisecond
)

func newListingState(c *control) *listingState {
	return &listingState{
		c:                  c,
		servers:            make(map[state.BackendID]fleet.Server),
		revisions:          make(map[state.BackendID]uint64),
		missing:            make(map[state.BackendID]time.Time),
		formerIncarnations: make(map[state.BackendIncarnation]bool),
		departed:           make(map[state.BackendIncarnation]time.Time),
		held:               make(map[state.BackendID]heldEntry),
		unreadable:         make(map[state.BackendID]uint64),
		latestByAddress:    make(map[string]state.BackendID),
		serviceSizes:       make(map[state.ServiceID]int),
	}
}

// applyConfig applies the newest configuration. An older one is never applied: a caller
// that has seen the effect of a version would see it reverted.
func (l *listingState) applyConfig(b site.Batch[*fleet.Config], _ batchInfo) {
	for _, it := range b.Items {
		if it.Err != nil {
			l.c.g.log.Emit(telemetry.EventDocumentUnreadable, telemetry.Cause(it.Err))
			continue
		}
		if it.Removed || l.c.view.config != nil && it.Value.Version <= l.c.view.config.Version {
			continue
		}
		l.c.view.config = it.Value
		l.c.view.scales = lazyScales(it.Value)
		l.c.changed = true
		l.dirty, l.publishNow = true, true // which entries are usable depends on the configuration
		l.c.g.log.Emit(telemetry.EventDocumentApplied, telemetry.Version(state.DocumentVersion(it.Value.Version)))
	}
}

// applyServers applies a change of the server list.
func (l *listingState) applyServers(b site.Batch[fleet.Server], info batchInfo) {
	present := make(map[state.BackendID]bool, len(b.Items))
	for _, it := range b.Items {
		id := state.BackendID(it.Key)
		present[id] = !it.Removed
		delete(l.held, id)
		switch {
		case it.Removed:
			delete(l.unreadable, id)
			l.handleMissing(id)
		case it.Err != nil:
			l.handleUnreadable(id, it.Revision, it.Err)
		case l.formerIncarnations[it.Value.Incarnation()]:
			// A delayed write of the former incarnation; the new one's follows.
		case info.restored && l.hasDeparted(it.Value.Incarnation()):
			l.held[id] = heldEntry{server: it.Value, revision: it.Revision, until: l.c.now.Add(heldFor)}
		default:
			delete(l.unreadable, id)
			l.revisions[id] = it.Revision
			l.updateServer(it.Value)
		}
	}
	if info.complete {
		for id := range l.servers {
			if !present[id] {
				l.handleMissing(id)
			}
		}
	}
	if l.firstRead.IsZero() {
		l.firstRead = l.c.now
	}
	l.c.view.serversKnown = true
	l.dirty = true
}

// hasDeparted reports whether an incarnation has left the list recently.
func (l *listingState) hasDeparted(incarnation state.BackendIncarnation) bool {
	at, ok := l.departed[incarnation]
	return ok && l.c.now.Sub(at) < departedTTL
}

// recordDeparture remembers an incarnation that has left the list, and forgets older ones.
func (l *listingState) recordDeparture(incarnation state.BackendIncarnation) {
	for old, at := range l.departed {
		if l.c.now.Sub(at) >= departedTTL {
			delete(l.departed, old)
		}
	}
	l.departed[incarnation] = l.c.now
}

// storeRecoveredAt returns when the store's last outage ended.
func (l *listingState) storeRecoveredAt() time.Time {
	return later(l.restoredAt, later(l.c.configFeed.machine.RecoveredAt(), l.c.serverFeed.machine.RecoveredAt()))
}

// keptUntil returns until when a missing server is used whose removal became known at a time, given when the store's
// last outage ended.
func keptUntil(known, recovered time.Time) time.Time {
	return earlier(known.Add(expiryGrace), recovered.Add(expiryWindow))
}

// handleMissing removes a server from the list, at once unless its entry may only have
// expired.
func (l *listingState) handleMissing(id state.BackendID) {
	if !l.c.now.Before(keptUntil(l.c.now, l.storeRecoveredAt())) {
		l.removeServer(id)
		return
	}
	if _, ok := l.missing[id]; !ok {
		l.missing[id] = l.c.now
	}
}

// tick removes servers that have been missing for too long, and publishes a changed list,
// once for all changes that arrived together.
func (l *listingState) tick() {
	if len(l.missing) > 0 {
		recovered := l.storeRecoveredAt()
		for id, known := range l.missing {
			if !l.c.now.Before(keptUntil(known, recovered)) {
				l.removeServer(id)
				l.dirty = true
			}
		}
	}
	for id, entry := range l.held {
		if !l.c.now.Before(entry.until) {
			delete(l.held, id)
			l.revisions[id] = entry.revision
			l.updateServer(entry.server)
			l.dirty = true
		}
	}
	if l.dirty && (l.publishNow || !l.c.now.Before(l.nextPublish())) {
		l.dirty, l.urgent, l.publishNow = false, false, false
		l.publishedAt = l.c.now
		l.publishServers()
	}
	if populating := l.isPopulating(); populating != l.c.view.populating {
		l.c.view.populating = populating
		l.c.changed = true
	}
}

// Times between two publications of the list, per server on it. A publication examines all
// servers, which costs about a microsecond each, and during a start 3,000 servers list
// themselves and their layers in hundreds of changes a second.
const (
	// publishIntervalPerServer is for servers that are added and layers that are loaded:
	// publications take at most a sixtieth of a core, and changes of 12,000 servers are
	// active 0.72 s later at most.
	publishIntervalPerServer = 60 * time.Microsecond
	// urgentIntervalPerServer is for servers that leave or are removed. Changes of 12,000
	// servers are active 0.24 s later at most, of the 2 s that are allowed for a leaving
	// server.
	urgentIntervalPerServer = 20 * time.Microsecond
)

// nextPublish is when a change of the list may be published.
func (l *listingState) nextPublish() time.Time {
	interval := publishIntervalPerServer
	if l.urgent {
		interval = urgentIntervalPerServer
	}
	return l.publishedAt.Add(time.Duration(len(l.servers)) * interval)
}

// nextTick is when a change is published next or a missing server is removed, or zero.
func (l *listingState) nextTick() time.Time {
	var next time.Time
	if l.dirty {
		next = l.nextPublish()
	}
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(l.missing) > 0 {
		recovered := l.storeRecoveredAt()
		for _, known := range l.missing {
			sooner(keptUntil(known, recovered))
		}
	}
	for _, entry := range l.held {
		sooner(entry.until)
	}
	return next
}

// isPopulating reports whether requests should wait for more servers to be listed.
func (l *listingState) isPopulating() bool {
	v := &l.c.view
	list := admission.ServerList{FirstRead: l.firstRead, LastAdded: l.lastAdded}
	if v.config == nil || !list.Populating(l.c.now) {
		return false // the list is not growing, whatever it contains
	}
	for id, svc := range v.config.Services {
		if svc.Engine == nil {
			continue
		}
		list.MinCopies = layerCoverage(svc.Engine, v.servers[id]).MinCopies()
		if list.Populating(l.c.now) {
			return true
		}
	}
	return false
}

func (l *listingState) updateServer(s fleet.Server) {
	delete(l.missing, s.ID)
	old, known := l.servers[s.ID]
	// Guard (store-restored): a server that leaves does not stay, whatever a restored list says.
	s.Draining = s.Draining || known && old.Draining && old.Incarnation() == s.Incarnation()
	l.servers[s.ID] = s
	if !known {
		l.lastAdded = l.c.now
		l.newIncarnations = append(l.newIncarnations, s.Incarnation())
		l.c.g.log.Emit(telemetry.EventBackendJoined, telemetry.Backend(s.ID), telemetry.Address(s.Address))
		return
	}
	if s.Incarnation() != old.Incarnation() {
		l.urgent = true
		l.recordRestart(old, s)
		return
	}
	if s.Layers != old.Layers {
		l.c.g.log.Emit(telemetry.EventLayersListed, telemetry.Backend(s.ID), telemetry.Layers(s.Layers))
	}
	if s.Draining && !old.Draining {
		l.urgent = true
		l.c.g.log.Emit(telemetry.EventBackendLeaving, telemetry.Backend(s.ID))
	}
}

func (l *listingState) removeServer(id state.BackendID) {
	delete(l.missing, id)
	l.forgetIncarnations(id)
	s, ok := l.servers[id]
	if !ok {
		return
	}
	l.recordDeparture(s.Incarnation())
	l.urgent = true
	delete(l.servers, id)
	delete(l.revisions, id)
	l.c.g.log.Emit(telemetry.EventBackendDied, telemetry.Backend(id))
}

// publishServers publishes the servers by service. Of two incarnations at one address only
// the later one is included: a server that crashed and restarted while it could not reach
// the store is listed twice until the entry of its first incarnation expires, and a path
// over both would contain one address twice.
func (l *listingState) publishServers() {
	latest, sizes := l.latestByAddress, l.serviceSizes
	clear(latest)
	clear(sizes)
	for id, s := range l.servers {
		if !isUsable(l.c.view.config, &s) {
			continue
		}
		if other, ok := latest[s.Address]; !ok || l.revisions[id] > l.revisions[other] {
			latest[s.Address] = id
		}
		sizes[s.Service]++
	}
	groups := make(map[state.ServiceID][]fleet.Server, len(sizes))
	for _, id := range latest {
		s := l.servers[id]
		if groups[s.Service] == nil {
			groups[s.Service] = make([]fleet.Server, 0, sizes[s.Service])
		}
		groups[s.Service] = append(groups[s.Service], s)
	}
	l.resetNewIncarnations(latest)
	l.c.g.shared.pruneAvailability(l.c.now, func(server state.BackendIncarnation) bool {
		s, ok := l.servers[server.ID]
		return ok && s.Incarnation() == server
	})
	l.c.view.servers = groups
	l.c.view.rosters = lazyRosters(l.c.view.config, groups)
	l.c.changed = true
}

// lazyRosters defers the preparation of each service's engines for path choice until a
// request needs it. During a start lists are published many times a second, and one daemon
// of hundreds chooses few paths.
func lazyRosters(c *fleet.Config, groups map[state.ServiceID][]fleet.Server) map[state.ServiceID]func() *pathing.Roster {
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
