package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/address"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// permille is the scale of membership.Digest.LoadPermille.
const permille = 1000

// addressesComponent answers callers' queries for the daemons to connect to.
type addressesComponent struct {
	c        *control
	resolver *address.Resolver
}

func newAddressesComponent(c *control) *addressesComponent {
	cfg := address.Config{
		TTL:                   c.d.config.AddressAnswerValid.Std(),
		MinTTL:                min(time.Second, c.d.config.AddressAnswerValid.Std()),
		DrainPropagationBound: c.d.config.Drain.Notice.Std(),
	}
	return &addressesComponent{c: c, resolver: address.New(cfg, c.d.self.ID)}
}

func (ac *addressesComponent) resolve(q caller.AddressQuery) caller.AddressAnswer {
	view := ac.c.members.view
	candidates := lo.FilterMap(view.Members, func(i membership.Info, _ int) (address.Candidate, bool) {
		return candidateOf(i), i.Live()
	})
	a := ac.resolver.Resolve(ac.c.now, view.Connectivity.ConfirmedUntil(ac.c.now), address.Query{
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
		Load:     float64(i.Digest.LoadPermille) / permille,
	}
}

// drain marks this daemon as draining and returns when the last answer that
// names it expires.
func (ac *addressesComponent) drain() time.Time {
	ac.c.members.step(membership.Drain{})
	return ac.resolver.Drain(ac.c.now)
}

// Addresses implements caller.Daemon.
func (d *Daemon) Addresses(ctx context.Context, q caller.AddressQuery) caller.AddressAnswer {
	a, _ := callControl(ctx, d.control, func() caller.AddressAnswer { return d.control.addresses.resolve(q) })
	return a
}
