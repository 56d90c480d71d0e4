package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// storeTimeout bounds one call to the store that is to be answered at once.
	storeTimeout = 1500 * time.Millisecond
	// followWait is how long the store holds a call that has nothing to tell: a
	// connection that has gone silent shows within it and storeTimeout.
	followWait = 2 * time.Second
	// Waits between calls to a store that does not answer.
	backoffMin = 100 * time.Millisecond
	backoffMax = 300 * time.Millisecond
)

// probeTimeouts bound the calls to a store that does not answer, in turn. A store
// that is back must be heard well within the bound of a configuration, 2 s; one that
// is merely slow answers within the longest.
var probeTimeouts = []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, storeTimeout}

// listingPart keeps the configuration and the list of servers.
type listingPart struct {
	c       *control
	servers map[state.BackendID]fleet.Server
	// revisions tell which of two lives at one address is the later one.
	revisions map[state.BackendID]uint64
	// changed is when the list last did.
	changed time.Time
	// recovered is when the store last answered after a while without.
	recovered time.Time
	// missing are servers that are no longer listed, but may only have lapsed, and
	// when they count as gone.
	missing map[state.BackendID]time.Time
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
	}
}

// arrival says how a batch came.
type arrival struct {
	whole     bool // it holds all rows
	recovered bool // the store did not answer before
}

// follow hands each batch of a feed to take, until ctx ends.
func follow[T any](ctx context.Context, g *Gateway, name string, f site.Feed[T], take func(b site.Batch[T], how arrival)) {
	var (
		revision uint64
		known    bool
		failures int
		wait     = backoffMin
	)
	for ctx.Err() == nil {
		batch, whole, err := next(ctx, f, revision, known, failures)
		if errors.Is(err, site.ErrHistoryGone) {
			known = false
			continue
		}
		if err == nil && batch.Revision < revision {
			// A replica of the store that is behind would take us back.
			err = errStaleRead
		}
		if ctx.Err() != nil {
			return // the gateway has ended; that is no fault of the store
		}
		if err != nil {
			failures++
			if failures == 1 {
				g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail(name), telemetry.Cause(err))
			}
			pause(ctx, wait/2+rand.N(wait/2))
			wait = min(2*wait, backoffMax)
			continue
		}
		how := arrival{whole: whole, recovered: failures > 0}
		if failures > 0 {
			failures = 0
			g.log.Emit(telemetry.EventStoreRecovered, telemetry.Detail(name))
		}
		wait = backoffMin
		known, revision = true, batch.Revision
		if whole || how.recovered || len(batch.Items) > 0 {
			take(batch, how)
		}
	}
}

// next reads a feed whole, or what changed in it after revision. After failures it
// does not let the store wait for a change, so that its return is noticed at once.
func next[T any](ctx context.Context, f site.Feed[T], revision uint64, known bool, failures int) (site.Batch[T], bool, error) {
	wait, timeout := followWait, followWait+storeTimeout
	if failures > 0 {
		wait, timeout = 0, probeTimeouts[(failures-1)%len(probeTimeouts)]
	}
	if !known {
		timeout = min(timeout, storeTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !known {
		b, err := f.Read(ctx)
		return b, true, err
	}
	b, err := f.Follow(ctx, revision, wait)
	return b, false, err
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// configured takes up the newest configuration. An older one is never taken: a
// caller that has seen the effect of a version would see it undone.
func (p *listingPart) configured(b site.Batch[*fleet.Config]) {
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
		p.c.g.log.Emit(telemetry.EventDocumentApplied, telemetry.Version(state.DocumentVersion(it.Value.Version)))
	}
}

// listed takes up a change of the list of servers.
func (p *listingPart) listed(b site.Batch[fleet.Server], how arrival) {
	if how.recovered {
		p.recovered = p.c.now
	}
	present := make(map[state.BackendID]bool, len(b.Items))
	for _, it := range b.Items {
		id := state.BackendID(it.Key)
		present[id] = !it.Removed
		switch {
		case it.Removed:
			p.miss(id)
		case it.Err != nil:
			p.c.g.log.Emit(telemetry.EventBackendUnreadable, telemetry.Backend(id), telemetry.Cause(it.Err))
		default:
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
	p.c.view.listed = true
	p.changed = p.c.now
	p.regroup()
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

// tick takes off the list what has been missing for too long.
func (p *listingPart) tick() {
	for id, until := range p.missing {
		if !p.c.now.Before(until) {
			p.gone(id)
			p.changed = p.c.now
			p.regroup()
		}
	}
}

func (p *listingPart) seen(s fleet.Server) {
	delete(p.missing, s.ID)
	old, known := p.servers[s.ID]
	p.servers[s.ID] = s
	if !known {
		p.c.g.log.Emit(telemetry.EventBackendJoined, telemetry.Backend(s.ID), telemetry.Address(s.Address))
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
	latest := make(map[string]state.BackendID, len(p.servers))
	for id, s := range p.servers {
		if other, ok := latest[s.Address]; !ok || p.revisions[id] > p.revisions[other] {
			latest[s.Address] = id
		}
	}
	groups := make(map[state.ServiceID][]fleet.Server)
	for _, id := range latest {
		s := p.servers[id]
		groups[s.Service] = append(groups[s.Service], s)
	}
	p.c.view.servers = groups
	p.c.changed = true
}
