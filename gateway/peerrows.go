package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Daemons give each other the rows of a feed, so that a daemon that starts or has missed a
// change need not read them from the store: the store's calls are limited for all daemons
// together and paid for, and hundreds of daemons may start at the same moment.

// rowsRequest requests the rows of a feed from a daemon.
type rowsRequest struct {
	Feed        string `msgpack:"feed"`
	MinRevision uint64 `msgpack:"least"` // least revision that the answer must reach
	HasRevision uint64 `msgpack:"has"`   // revision that the sender knows; 0 for none
}

// rowsResponse answers a rowsRequest.
type rowsResponse struct {
	Known        bool          `msgpack:"known"` // the rows are known up to MinRevision at least
	Revision     uint64        `msgpack:"revision"`
	StoreAge     time.Duration `msgpack:"age"`     // time since the store confirmed them
	StoreFailing bool          `msgpack:"failing"` // no daemon is known to get answers from the store
	// Rows are the rows that the sender of the request lacks, or all rows if Complete is
	// set.
	Rows     []byte `msgpack:"rows"`
	Complete bool   `msgpack:"whole"`
}

const (
	// peerQueryTimeout limits one query: a daemon answers within a few ms, and one that has
	// just started answers that it knows nothing. A daemon that has received no
	// announcement for long queries one other before the store, and must still learn of a
	// change within 2 s.
	peerQueryTimeout = 50 * time.Millisecond
	// peerQueryInterval is the time between two rounds of queries by a starting daemon.
	peerQueryInterval = 25 * time.Millisecond
	// maxOverdueRounds is how often a daemon queries others for a change that was announced
	// to it and that it lacks: the change is still on its way to them too.
	maxOverdueRounds = 3
	// startupQueryPeers is how many daemons are queried in a round by one that knows
	// nothing yet.
	startupQueryPeers = 2
)

// queryResult is the result of querying a peer for rows.
type queryResult int

// The values of queryResult; higher ones are better.
const (
	queryUnanswered queryResult = iota
	queryNotKnown               // the peer knows nothing newer
	queryApplied
)

// handleCall answers other daemons' calls.
func (g *Gateway) handleCall(ctx context.Context, from state.Member, msg any) (any, error) {
	switch req := msg.(type) {
	case reachRequest:
		return g.reach.answer(req), nil
	case siteload.Report:
		return g.shared.receiveLoad(time.Now(), from, req), nil
	case probing.Request:
		return g.prober.answer(req), nil
	case crashes.TurnRequest:
		return g.shared.grantTurn(time.Now(), from.ID, req), nil
	}
	req, ok := msg.(rowsRequest)
	if !ok {
		return nil, errUnknownCall
	}
	answer := make(chan rowsResponse, 1)
	g.control.post(func() { answer <- g.control.rowsFor(req) })
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.done:
		return nil, context.Canceled
	}
}

// rowsFor answers a rowsRequest.
func (c *control) rowsFor(req rowsRequest) rowsResponse {
	switch req.Feed {
	case c.configFeed.name:
		return c.configFeed.rowsFor(req)
	case c.serverFeed.name:
		return c.serverFeed.rowsFor(req)
	}
	return rowsResponse{}
}

// rowsFor returns the rows of this feed if they are known up to the requested revision.
func (f *feedTracker[T]) rowsFor(req rowsRequest) rowsResponse {
	revision, known := f.machine.Revision()
	if !known || revision < req.MinRevision {
		return rowsResponse{}
	}
	resp := rowsResponse{Known: true, Revision: revision, StoreAge: f.machine.Age(f.c.now), StoreFailing: f.machine.StoreFailing(f.c.now)}
	if req.HasRevision >= f.machine.LastChange() && req.HasRevision > 0 {
		return resp
	}
	rows, complete := f.encodeAfter(req.HasRevision)
	resp.Rows, resp.Complete, resp.Known = rows, complete, len(rows) > 0
	return resp
}

// encodeAfter encodes what changed after a revision, or all rows (true). The encoding of
// all rows is cached, since hundreds of daemons that start together request it from a few.
func (f *feedTracker[T]) encodeAfter(revision uint64) ([]byte, bool) {
	if f.cache.forgotten(revision) && len(f.allRows.bytes) > 0 && f.allRows.upTo == f.machine.LastChange() {
		return f.allRows.bytes, true
	}
	items, complete := f.cache.after(revision)
	rows := f.encode(items, revision, f.machine.LastChange())
	if complete {
		f.allRows = rows
	}
	return rows.bytes, complete
}

// loadFromPeers makes a starting daemon query others for a while, as it discovers them. It
// returns false if the store has to be read.
func (f *feedTracker[T]) loadFromPeers(ctx context.Context) bool {
	began, jitter := time.Now(), rand.Float64()
	peersAnswer := false
	for ctx.Err() == nil {
		switch f.queryPeers(ctx, rowsRequest{}) {
		case queryApplied:
			return true
		case queryNotKnown:
			if f.unconfirmed != nil {
				return false // the peer is cut off from the store, which this daemon may reach
			}
			peersAnswer = true
		case queryUnanswered:
		}
		v := f.c.g.currentView.Load()
		start := following.Startup{Daemons: max(v.live, v.memberRows), Jitter: jitter}
		if time.Since(began) >= start.StoreReadDelay(peersAnswer) {
			return false
		}
		sleep(ctx, peerQueryInterval)
	}
	return false
}

// queryPeers queries one other daemon for the feed, or two if nothing is known yet, and
// applies the first usable answer. Unless the result is queryApplied, the store still has
// to be called.
func (f *feedTracker[T]) queryPeers(ctx context.Context, req rowsRequest) queryResult {
	req.Feed = f.name
	n := 1
	if req.HasRevision == 0 {
		n = startupQueryPeers
	}
	best := queryUnanswered
	for _, address := range f.c.g.samplePeers(n) {
		if best = max(best, f.queryPeer(ctx, address, req)); best == queryApplied {
			break
		}
	}
	return best
}

// queryPeer queries one daemon and applies its answer. Rows older than a follower's
// announcement may be are applied only if the store has nothing newer: that daemon alone
// may be cut off from the store.
func (f *feedTracker[T]) queryPeer(ctx context.Context, address string, req rowsRequest) queryResult {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := f.c.g.node.Call(ctx, address, req)
	if err != nil {
		return queryUnanswered // the peer is stopping or does not listen yet; another peer or the store is queried instead
	}
	resp, ok := answer.Msg.(rowsResponse)
	if ok && f.applyResponse(ctx, address, req, resp, asked) {
		return queryApplied
	}
	return queryNotKnown
}

// applyResponse applies the answer to a request that was sent at asked. It returns false if
// another daemon or the store has to be queried.
//
// Guard (rows-aged-in-transit): the age of an answer counts from when it was requested. A busy
// daemon decodes and applies it much later, and would use an old configuration for as long
// again.
func (f *feedTracker[T]) applyResponse(ctx context.Context, address string, req rowsRequest, resp rowsResponse, asked time.Time) bool {
	if !resp.Known || resp.Revision < req.MinRevision {
		return false
	}
	confirmedAt := asked.Add(-resp.StoreAge)
	if len(resp.Rows) == 0 {
		return req.HasRevision > 0 && f.confirmRevision(ctx, resp.Revision, confirmedAt)
	}
	items, err := decode[T](resp.Rows)
	if err != nil {
		f.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Address(address), telemetry.Cause(err))
		return false
	}
	b := site.Batch[T]{Items: items, Revision: resp.Revision}
	// Guard (follower-stale): a daemon that alone is cut off from the store answers with
	// its cached rows, and this daemon would use an old configuration although it reaches
	// the store. Only if the store answers nobody is there nothing newer to get.
	if time.Since(confirmedAt) > maxStoreAge && !resp.StoreFailing {
		if !resp.Complete {
			return false
		}
		f.unconfirmed = &unconfirmedRows[T]{batch: b, confirmedAt: confirmedAt}
		return false
	}
	f.post(ctx, func() { f.applyPeerRows(b, f.c.now.Sub(confirmedAt), resp.Complete) })
	return true
}

// confirmRevision records that the known rows were current in the store at a time. It returns
// false if that is too long ago to skip a call.
func (f *feedTracker[T]) confirmRevision(ctx context.Context, revision uint64, confirmedAt time.Time) bool {
	f.post(ctx, func() { f.machine.ConfirmedByPeer(f.c.now, revision, f.c.now.Sub(confirmedAt)) })
	return f.skipsStore()
}

// unconfirmedRows are rows from another daemon that may have changed since.
type unconfirmedRows[T any] struct {
	batch       site.Batch[T]
	confirmedAt time.Time // when the store confirmed them
}

// applyPeerRows applies a feed, or changes of it, from another daemon, unless newer rows
// are known.
func (f *feedTracker[T]) applyPeerRows(b site.Batch[T], age time.Duration, complete bool) {
	before, known := f.machine.Revision()
	// Guard (rows-older): rows from another daemon arrive independently of its
	// announcements and of the store's answers. If older rows were applied, a server that
	// has left since would be listed again.
	if known && b.Revision < before || !known && !complete {
		return
	}
	// Guard (store-restored): changes of a later epoch do not contain what the backup lacks.
	if known && !complete && site.Epoch(b.Revision) > site.Epoch(before) {
		return
	}
	if !complete {
		b.Items = f.itemsAfter(b.Items, before)
	}
	info := batchInfo{complete: complete, restored: known && f.isRestored(before, b.Revision)}
	f.machine.LoadedFromPeer(f.c.now, b.Revision, age)
	f.revision.Store(b.Revision)
	f.cache.update(b, complete)
	f.c.g.log.Emit(telemetry.EventFeedGiven, telemetry.Detail(f.name), telemetry.Duration(age))
	f.apply(b, info)
}

// samplePeers returns the addresses of up to n random live daemons, those of this daemon's
// failure domain first: traffic between domains is expensive.
func (g *Gateway) samplePeers(n int) []string {
	var sameDomain, otherDomains []string
	for _, i := range g.currentView.Load().members.Members {
		switch {
		case i.Member.ID == g.self.ID || i.State != membership.Alive:
		case i.Meta.Domain == g.currentSettings().Domain:
			sameDomain = append(sameDomain, i.Meta.PeerAddress)
		default:
			otherDomains = append(otherDomains, i.Meta.PeerAddress)
		}
	}
	out := append(lo.Samples(sameDomain, n), lo.Samples(otherDomains, n)...)
	return out[:min(n, len(out))]
}

var errUnknownCall = errors.New("gateways answer no such call")
