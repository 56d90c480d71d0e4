package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// mostMemory is how long daemons that are no longer seen count among those that share
// the retry budget: they may be alive beyond a break, and spend their parts.
const mostMemory = 30 * time.Second

// sharers are the daemons that share the retry budget. One that sees no other has
// lost them or has not found them yet: it goes by the table, where gone ones are too.
func (p *membersPart) sharers() retrybudget.SlackShare {
	live := p.c.view.live
	if live >= p.most || p.c.now.Sub(p.mostAt) > mostMemory {
		p.most, p.mostAt = live, p.c.now
	}
	out := retrybudget.SlackShare{Daemons: p.rows, Restarted: p.anew()}
	if p.most > 1 {
		out.Daemons = p.most
	}
	return out
}

// anew reports whether this daemon began within the last window of the budget, as many
// others did. Lives are numbered by the time of day at which they began; one that
// jumps by some seconds in between makes little difference.
func (p *membersPart) anew() bool {
	g := p.c.g
	window := g.set().BudgetWindow
	if g.steady(p.c.now) >= window {
		return false
	}
	young := 0
	for _, i := range p.c.view.members.Members {
		if i.Live() && time.Duration(int64(g.self.Incarnation)-int64(i.Member.Incarnation)).Abs() < window {
			young++
		}
	}
	return float64(young) > retrybudget.RestartedFraction*float64(max(p.most, p.rows))
}
