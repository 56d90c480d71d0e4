package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// addressesValid is how long callers are told to keep an answer: a daemon that
// stops as planned serves on until the longest kept ones have run out.
const addressesValid = 2 * time.Second

// maxAddresses is how many addresses callers take of one answer.
const maxAddresses = 64

// Addresses returns where a caller of a domain may connect, and for how long it
// may keep the answer.
func (g *Gateway) Addresses(_ state.FailureDomain) ([]string, time.Duration) {
	v := g.current.Load()
	var out []string
	for _, i := range v.members.Members {
		if i.State != membership.Alive || i.Draining || i.Meta.CallerAddress == "" {
			continue
		}
		out = append(out, i.Meta.CallerAddress)
	}
	if len(out) == 0 {
		out = append(out, g.set().CallerAddress)
	}
	if len(out) > maxAddresses {
		out = out[:maxAddresses]
	}
	return out, min(addressesValid, g.set().AddressTTL)
}
