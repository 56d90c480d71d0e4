package pathing

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Estimate turns the loads of one daemon's own requests into what all daemons are believed
// to run. here is its failure domain, and near the daemons in it, this one included.
//
// Load pattern: 69 daemons before 86 engines in three domains have some nine streams under
// way each. Callers are sent to daemons of their own domain, and paths begin in the
// daemon's own, so that the daemons of a domain are those that share its cards: one stream
// on a card stands for near, not for all of them, by which a card with one counts as full and
// the next streams go over ever slower cards. Cards of another domain are seen by its own
// daemons: they are taken to be used as those of their kind are here.
//
// Limits: where a daemon has some two streams under way, what it sees says little of a
// card, and only the number of daemons keeps cards even. In the model of the spec paths cost
// 33 ms a token at 69 daemons and 34 at 195, 29 if each knew all. Days with losses at 69
// daemons are worth .024 less where each stream stands for all daemons (mean of two).
func (r *Roster) Estimate(states []State, here state.FailureDomain, near int) {
	n := float64(near)
	home := slices.Index(r.domains, here)
	use := r.useByKind(states, home, n)
	for i := range states {
		load := &states[i].Load
		load.Tokens *= n
		load.First *= n
		if r.places[i].domain != home {
			load.Tokens += use[r.places[i].kind] * float64(r.cards[i].Room)
		}
	}
}

// useByKind is the mean share of their rooms that the cards of each kind in a domain use.
func (r *Roster) useByKind(states []State, home int, near float64) []float64 {
	held := make([]float64, len(r.kinds)) // tokens times layers
	room := make([]float64, len(r.kinds))
	for i := range states {
		p := &r.places[i]
		if p.domain != home {
			continue
		}
		held[p.kind] += states[i].Load.Tokens * p.layers
		room[p.kind] += float64(r.cards[i].Room) * p.layers
	}
	use := make([]float64, len(r.kinds))
	for k := range use {
		if room[k] > 0 {
			use[k] = held[k] * near / room[k]
		}
	}
	return use
}
