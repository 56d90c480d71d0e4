package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Daemons give each other the rows of a feed, so that one that starts, or has missed a
// change, need not read them from the store: its calls are bounded for all daemons
// together and paid for, and hundreds of daemons start at one moment.

// rowsAsked asks a daemon for the rows of a feed.
type rowsAsked struct {
	Feed  string `msgpack:"feed"`
	Least uint64 `msgpack:"least"` // up to where they must be known
	Has   uint64 `msgpack:"has"`   // up to where the asker knows them; 0 for not
}

// rowsGiven answers it.
type rowsGiven struct {
	Known    bool          `msgpack:"known"` // up to Least at least
	Revision uint64        `msgpack:"revision"`
	Age      time.Duration `msgpack:"age"`     // since the store said so
	Failing  bool          `msgpack:"failing"` // the store is not known to answer anybody
	// Rows are those that the asker lacks, or all of them where Whole is set.
	Rows  []byte `msgpack:"rows"`
	Whole bool   `msgpack:"whole"`
}

const (
	// giveTimeout bounds one question: a daemon answers within some ms, one that has
	// just started knows nothing and says so. A daemon that has heard no announcement for long asks
	// one other before the store, and is still to know a change within 2 s.
	giveTimeout = 50 * time.Millisecond
	// giveStep is the time between two rounds of questions by a daemon that starts.
	giveStep = 25 * time.Millisecond
	// overdueRounds is how often a daemon asks others for a change that it has been told
	// of and lacks: it is on its way to them too.
	overdueRounds = 3
	// giveAsked is how many daemons are asked in a round, by one that knows nothing yet.
	giveAsked = 2
)

// handover says what became of a question for rows.
type handover int

// The values of handover, the better one higher.
const (
	unanswered handover = iota
	notKnown            // who was asked knows no more
	taken
)

// called answers other daemons' calls.
func (g *Gateway) called(ctx context.Context, _ state.Member, msg any) (any, error) {
	asked, ok := msg.(rowsAsked)
	if !ok {
		return nil, errUnknownCall
	}
	answer := make(chan rowsGiven, 1)
	g.control.post(func() { answer <- g.control.give(asked) })
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.done:
		return nil, context.Canceled
	}
}

// give answers a question for rows.
func (c *control) give(asked rowsAsked) rowsGiven {
	switch asked.Feed {
	case c.configs.name:
		return c.configs.give(asked)
	case c.entries.name:
		return c.entries.give(asked)
	}
	return rowsGiven{}
}

// give returns the rows of this feed, if they are known up to a revision.
func (p *feedPart[T]) give(asked rowsAsked) rowsGiven {
	revision, known := p.m.Revision()
	if !known || revision < asked.Least {
		return rowsGiven{}
	}
	given := rowsGiven{Known: true, Revision: revision, Age: p.m.Age(p.c.now), Failing: p.m.StoreFailing(p.c.now)}
	if asked.Has >= p.m.LastChange() && asked.Has > 0 {
		return given
	}
	rows, whole := p.rowsAfter(asked.Has)
	given.Rows, given.Whole, given.Known = rows, whole, len(rows) > 0
	return given
}

// rowsAfter encodes what changed after a revision, or all rows (true). All rows are kept as
// they were encoded last: hundreds of daemons that start together ask a few for them.
func (p *feedPart[T]) rowsAfter(revision uint64) ([]byte, bool) {
	if p.rowsKnown.forgotten(revision) && len(p.allRows.bytes) > 0 && p.allRows.upTo == p.m.LastChange() {
		return p.allRows.bytes, true
	}
	items, whole := p.rowsKnown.after(revision)
	rows := p.encode(items, revision, p.m.LastChange())
	if whole {
		p.allRows = rows
	}
	return rows.bytes, whole
}

// startFromPeers has a daemon that starts ask others for a while, as it finds them. It
// returns false where the store is to be asked.
func (p *feedPart[T]) startFromPeers(ctx context.Context) bool {
	began, draw := time.Now(), rand.Float64()
	answering := false
	for ctx.Err() == nil {
		switch p.fromPeers(ctx, rowsAsked{}) {
		case taken:
			return true
		case notKnown:
			if p.stale != nil {
				return false // it is cut off from the store, which this daemon may reach
			}
			answering = true
		case unanswered:
		}
		v := p.c.g.current.Load()
		start := following.Startup{Daemons: max(v.live, v.found), Jitter: draw}
		if time.Since(began) >= start.StoreReadDelay(answering) {
			return false
		}
		pause(ctx, giveStep)
	}
	return false
}

// fromPeers asks another daemon for the feed, or two where nothing is known, and takes
// what one of them knows. Unless it was taken the store is to be asked all the same.
func (p *feedPart[T]) fromPeers(ctx context.Context, ask rowsAsked) handover {
	ask.Feed = p.name
	n := 1
	if ask.Has == 0 {
		n = giveAsked
	}
	best := unanswered
	for _, address := range p.c.g.somePeers(n) {
		if best = max(best, p.ask(ctx, address, ask)); best == taken {
			break
		}
	}
	return best
}

// ask has one daemon give what it knows. What is older than a follower's announcement may be is
// taken only where no store says more: that daemon may be cut off by itself.
func (p *feedPart[T]) ask(ctx context.Context, address string, ask rowsAsked) handover {
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	answer, err := p.c.g.node.Call(ctx, address, ask)
	if err != nil {
		return unanswered // it ends, or has not begun to listen; another one is asked, or the store
	}
	given, ok := answer.Msg.(rowsGiven)
	if ok && p.takeGiven(ctx, address, ask, given) {
		return taken
	}
	return notKnown
}

// takeGiven takes what a daemon answered. It returns false where another one, or the store,
// is to be asked.
func (p *feedPart[T]) takeGiven(ctx context.Context, address string, ask rowsAsked, given rowsGiven) bool {
	if !given.Known || given.Revision < ask.Least {
		return false
	}
	if len(given.Rows) == 0 {
		return ask.Has > 0 && p.confirmed(ctx, given)
	}
	items, err := decode[T](given.Rows)
	if err != nil {
		p.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Address(address), telemetry.Cause(err))
		return false
	}
	b := site.Batch[T]{Items: items, Revision: given.Revision}
	// Guard (follower-stale): a daemon that is cut off from the store by itself answers with
	// what it knew, and this one would go by an old configuration although it reaches the
	// store. Only where the store answers nobody is nothing newer to be had.
	if given.Age > followFresh && !given.Failing {
		if !given.Whole {
			return false
		}
		p.stale = &stale[T]{batch: b, at: time.Now().Add(-given.Age)}
		return false
	}
	p.post(ctx, func() { p.given(b, given.Age, given.Whole) })
	return true
}

// confirmed takes up that the rows known here are still those of the store, as of a
// moment ago. It returns false where that was too long ago to spare a call.
func (p *feedPart[T]) confirmed(ctx context.Context, given rowsGiven) bool {
	p.post(ctx, func() { p.m.ConfirmedByPeer(p.c.now, given.Revision, given.Age) })
	return p.told()
}

// stale are rows that another daemon gave and that may have changed since.
type stale[T any] struct {
	batch site.Batch[T]
	at    time.Time // when the store said so
}

// given takes up a feed, or what changed in it, from another daemon, unless more is known.
func (p *feedPart[T]) given(b site.Batch[T], age time.Duration, whole bool) {
	before, known := p.m.Revision()
	// Guard (rows-older): what another daemon gave comes beside its announcements and the store's
	// answers. Were older rows taken, a server that has left since would be listed again.
	if known && b.Revision < before || !known && !whole {
		return
	}
	if !whole {
		b.Items = since(b.Items, before)
	}
	p.m.LoadedFromPeer(p.c.now, b.Revision, age)
	p.revision.Store(b.Revision)
	p.rowsKnown.keep(b, whole)
	p.c.g.log.Emit(telemetry.EventFeedGiven, telemetry.Detail(p.name), telemetry.Took(age))
	p.take(b, arrival{whole: whole})
}

// somePeers returns the addresses of up to n other live daemons at random, those of this
// daemon's failure domain first: bytes between domains are dear.
func (g *Gateway) somePeers(n int) []string {
	var near, far []string
	for _, i := range g.current.Load().members.Members {
		switch {
		case i.Member.ID == g.self.ID || i.State != membership.Alive:
		case i.Meta.Domain == g.set().Domain:
			near = append(near, i.Meta.PeerAddress)
		default:
			far = append(far, i.Meta.PeerAddress)
		}
	}
	out := append(lo.Samples(near, n), lo.Samples(far, n)...)
	return out[:min(n, len(out))]
}

var errUnknownCall = errors.New("gateways answer no such call")
