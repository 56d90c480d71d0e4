package gateway

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// metLife compares what a server said of its own start with the life that was meant.
// The list lags by a heartbeat: a server that has started again under its name and is
// still listed with its old layers would be given paths, and orders counted by its old
// life, for over a second.
func (g *Gateway) metLife(meant state.Life, address string, born int64) {
	if born == 0 || born == meant.Born {
		return
	}
	g.control.post(func() { g.control.listing.contradicted(meant, address, born) })
}

// contradicted takes up that the server at an address is another life than the listed
// one. Where the list has moved on since the server was asked, or the life that
// answered is a former one, nothing follows.
func (p *listingPart) contradicted(meant state.Life, address string, born int64) {
	listed, ok := p.servers[meant.ID]
	if !ok || listed.Life() != meant || listed.Address != address {
		return
	}
	if p.former[state.Life{ID: meant.ID, Born: born}] {
		return
	}
	o := suspect.OutdatedNotice{Server: meant, Layers: listed.Layers}
	if p.c.g.book.contradicted(p.c.now, o) {
		p.c.members.notify(o)
	}
	listed.Born, listed.Layers = born, fleet.Range{}
	p.seen(listed)
	p.stale = true
}

// restarted takes up that a server is in another life than before, under its name.
func (p *listingPart) restarted(old, s fleet.Server) {
	p.former[old.Life()] = true
	p.young = append(p.young, s.Life())
	p.c.g.log.Emit(telemetry.EventBackendRestarted, telemetry.Backend(s.ID), telemetry.Address(s.Address),
		telemetry.Detail(old.Life().String()+" -> "+s.Life().String()))
}

// welcome drops what is believed of addresses at which a new life is listed, and has
// the streams across the former life go on elsewhere: it has lost them.
func (p *listingPart) welcome(latest map[string]state.BackendID) {
	for _, life := range p.young {
		s, ok := p.servers[life.ID]
		if !ok || s.Life() != life || latest[s.Address] != s.ID {
			continue
		}
		for _, st := range p.c.g.book.succeeded(s.Address, life) {
			st.stream.hopDied(st.hop)
		}
	}
	p.young = nil
}

// lostHop is a stream with the hop of its path that is no more.
type lostHop struct {
	stream *stream
	hop    fleet.Hop
}

// succeeded forgets the failures of a former life at an address. It returns the
// streams that cross that life.
func (b *book) succeeded(address string, life state.Life) []lostHop {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.Forget(address)
	delete(b.buried, address)
	var out []lostHop
	for s := range b.streams {
		for _, h := range s.path {
			if h.Address == address && h.Server != life {
				out = append(out, lostHop{s, h})
			}
		}
	}
	return out
}

// forgetLives drops the former lives of a server that is gone.
func (p *listingPart) forgetLives(id state.BackendID) {
	for life := range p.former {
		if life.ID == id {
			delete(p.former, life)
		}
	}
}
