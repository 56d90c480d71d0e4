package peer

import "github.com/hibiscuswick/hibiscuswick/coordination/membership"

// RegisterMembership registers the messages of the membership protocol under
// consecutive kinds that start at first.
func RegisterMembership(r *Registry, first Kind) {
	Register[membership.Ping](r, first)
	Register[membership.Ack](r, first+1)
	Register[membership.PingRequest](r, first+2)
	Register[membership.PingResult](r, first+3)
	Register[membership.Gossip](r, first+4)
	Register[membership.ExchangeRequest](r, first+5)
	Register[membership.ExchangeRecords](r, first+6)
}
