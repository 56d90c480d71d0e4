package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/address"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// loadUnit is the scale of membership.Digest.Load.
const loadUnit = 1000

// addressesPart answers which daemons a caller should use.
type addressesPart struct {
	c    *control
	book *address.Resolver
}

func newAddressesPart(c *control) *addressesPart {
	cfg := address.Config{
		TTL:                   c.d.set.AddressAnswerValid.Std(),
		MinTTL:                min(time.Second, c.d.set.AddressAnswerValid.Std()),
		DrainPropagationBound: c.d.set.Drain.Notice.Std(),
	}
	return &addressesPart{c: c, book: address.New(cfg, c.d.self.ID)}
}

func (p *addressesPart) answer(q caller.AddressQuery) caller.AddressAnswer {
	view := p.c.members.view
	candidates := lo.FilterMap(view.Members, func(i membership.Info, _ int) (address.Candidate, bool) {
		return candidateOf(i), i.Live()
	})
	a := p.book.Resolve(p.c.now, view.Connectivity.ConfirmedUntil(p.c.now), address.Query{
		Customer: q.Customer, Caller: q.Caller, Domain: q.Domain,
	}, candidates)
	return caller.AddressAnswer{
		Addresses: lo.Map(a.Daemons, func(c address.Candidate, _ int) string { return c.Address }),
		TTL:       a.TTL,
	}
}

func candidateOf(i membership.Info) address.Candidate {
	return address.Candidate{
		ID:       i.Member.ID,
		Address:  i.Meta.CallerAddress,
		Domain:   i.Meta.Domain,
		Region:   i.Meta.Region,
		Draining: i.Draining,
		Suspect:  i.State == membership.Suspect,
		Load:     float64(i.Digest.LoadPermille) / loadUnit,
	}
}

// drain begins a planned stop and returns when the last answer that names this
// daemon runs out.
func (p *addressesPart) drain() time.Time {
	p.c.members.step(membership.Drain{})
	return p.book.Drain(p.c.now)
}

// Addresses implements caller.Daemon.
func (d *Daemon) Addresses(ctx context.Context, q caller.AddressQuery) caller.AddressAnswer {
	a, _ := ask(ctx, d.control, func() caller.AddressAnswer { return d.control.addresses.answer(q) })
	return a
}
