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
	// changed is when the list last did.
	changed time.Time
}

func newListingPart(c *control) *listingPart {
	return &listingPart{c: c, servers: make(map[state.BackendID]fleet.Server)}
}

// follow hands each batch of a feed to take, until ctx ends. whole says that a
// batch holds all rows.
func follow[T any](ctx context.Context, g *Gateway, name string, f site.Feed[T], take func(b site.Batch[T], whole bool)) {
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
		if err != nil {
			failures++
			if failures == 1 {
				g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail(name), telemetry.Cause(err))
			}
			pause(ctx, wait/2+rand.N(wait/2))
			wait = min(2*wait, backoffMax)
			continue
		}
		if failures > 0 {
			failures = 0
			g.log.Emit(telemetry.EventStoreRecovered, telemetry.Detail(name))
		}
		wait = backoffMin
		known, revision = true, batch.Revision
		if whole || len(batch.Items) > 0 {
			take(batch, whole)
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
func (p *listingPart) listed(b site.Batch[fleet.Server], whole bool) {
	present := make(map[state.BackendID]bool, len(b.Items))
	for _, it := range b.Items {
		id := state.BackendID(it.Key)
		present[id] = !it.Removed
		switch {
		case it.Removed:
			p.gone(id)
		case it.Err != nil:
			p.c.g.log.Emit(telemetry.EventBackendUnreadable, telemetry.Backend(id), telemetry.Cause(it.Err))
		default:
			p.seen(it.Value)
		}
	}
	if whole {
		for id := range p.servers {
			if !present[id] {
				p.gone(id)
			}
		}
	}
	p.c.view.listed = true
	p.changed = p.c.now
	p.regroup()
}

func (p *listingPart) seen(s fleet.Server) {
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
	if _, ok := p.servers[id]; !ok {
		return
	}
	delete(p.servers, id)
	p.c.g.log.Emit(telemetry.EventBackendDied, telemetry.Backend(id))
}

// regroup publishes the servers by service.
func (p *listingPart) regroup() {
	groups := make(map[state.ServiceID][]fleet.Server)
	for _, s := range p.servers {
		groups[s.Service] = append(groups[s.Service], s)
	}
	p.c.view.servers = groups
	p.c.changed = true
}
