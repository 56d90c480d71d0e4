package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxAddressTTL limits how long callers may cache an address answer: a daemon in a planned
// stop keeps serving until the longest cached answers have expired, and one that is cut off from
// the servers refuses callers until then. Some callers keep answers three times as long.
const maxAddressTTL = time.Second

// maxAddresses is how many addresses callers use of one answer.
const maxAddresses = 64

// Addresses returns where a caller of a domain may connect, and for how long it may cache
// the answer.
func (g *Gateway) Addresses(_ state.FailureDomain) ([]string, time.Duration) {
	out := lo.Map(g.namedDaemons(g.currentView.Load()), func(i membership.Info, _ int) string { return i.Meta.CallerAddress })
	if len(out) == 0 {
		out = append(out, g.currentSettings().CallerAddress)
	}
	if len(out) > maxAddresses {
		out = out[:maxAddresses]
	}
	return out, min(maxAddressTTL, g.currentSettings().AddressTTL)
}

// namedDaemons returns the daemons that callers should use.
func (g *Gateway) namedDaemons(v *view) []membership.Info {
	var accepting []membership.Info
	for _, i := range v.members.Members {
		if i.State == membership.Alive && !i.Draining && i.Meta.CallerAddress != "" {
			accepting = append(accepting, i)
		}
	}
	return g.reach.listedForCallers(accepting)
}
