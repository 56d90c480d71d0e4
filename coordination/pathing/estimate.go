package pathing

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Estimate turns the loads of one daemon's own requests into what all daemons are believed
// to run.
//
// Load pattern: 69 daemons before 86 engines in three domains have some nine streams under
// way each. Where one stream on a card stands for all daemons', a card with one counts as full
// and the next streams go over ever slower cards. So a stream stands for as many daemons as
// make it no more than a quarter of a card's room, but for those of the daemon's own domain at
// least: callers are sent to daemons of their own domain, and paths begin in the daemon's own,
// so that these share its cards. What is not seen of another domain's cards that way is taken
// to be as cards of their kind are used here.
//
// Limits: where a daemon has some two streams under way, what it sees says little of a
// card, and only the number of daemons keeps cards even. In the model of the spec paths cost
// 35 ms a token at 69 daemons and 34 at 195, 29 if each knew all, and 260 at 195 where a
// stream stands for all daemons. With the domain's daemons alone a deployment of six daemons
// is worth .45 to .58 on days of losses beside slow cards, and .62 to .68 with this.
func (r *Roster) Estimate(states []ServerState, d DaemonCounts) {
	home := slices.Index(r.domains, d.Domain)
	use := r.useByKind(states, home, float64(d.InDomain))
	for i := range states {
		p, load, room := &r.places[i], &states[i].Load, float64(r.cards[i].KVCapacity)
		n := d.standsFor(room)
		load.Tokens *= n
		load.FirstHopRequests *= n
		if p.domain != home {
			load.Tokens += d.unseen(n) * use[p.kind] * room
		}
	}
}

// Daemons are those that share a service's engines with the one that asks.
type DaemonCounts struct {
	Domain   state.FailureDomain // of the one that asks
	InDomain int                 // daemons in its domain, itself included; at least 1
	Total    int                 // of all domains; at least Near
}

// mostStands is the largest share of a card's room for which one stream is to stand, unless
// its domain alone has more daemons: with 30 daemons and fewer it stands for all of them.
const mostStands = 0.25

// standsFor is for how many daemons a stream of one's own on a card of some room stands.
func (d DaemonCounts) standsFor(room float64) float64 {
	most := mostStands * room / streamTokens
	return max(float64(d.InDomain), min(float64(d.Total), most))
}

// unseen is which part of the use of another domain's cards a daemon does not see, where a
// stream stands for n daemons.
func (d DaemonCounts) unseen(n float64) float64 {
	if d.Total <= d.InDomain {
		return 1
	}
	return (float64(d.Total) - n) / float64(d.Total-d.InDomain)
}

// useByKind is the mean share of their rooms that the cards of each kind in a domain use.
func (r *Roster) useByKind(states []ServerState, home int, near float64) []float64 {
	held := make([]float64, len(r.kinds)) // tokens times layers
	room := make([]float64, len(r.kinds))
	for i := range states {
		p := &r.places[i]
		if p.domain != home {
			continue
		}
		held[p.kind] += states[i].Load.Tokens * p.layers
		room[p.kind] += float64(r.cards[i].KVCapacity) * p.layers
	}
	use := make([]float64, len(r.kinds))
	for k := range use {
		if room[k] > 0 {
			use[k] = held[k] * near / room[k]
		}
	}
	return use
}
