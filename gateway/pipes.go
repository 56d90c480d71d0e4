package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// pair names the link between two domains; a goes before b.
type pair struct{ a, b state.FailureDomain }

// pipes estimates what waits for each link between domains, from this daemon's own
// requests and the number of daemons.
type pipes map[pair]*pipe

// pipe is one link's backlog, as of a moment.
type pipe struct {
	ms float64
	at time.Time
}

func pairOf(x, y state.FailureDomain) pair {
	if x > y {
		x, y = y, x
	}
	return pair{x, y}
}

// backlog is how many ms of transfers wait for the link between two domains.
func (p pipes) backlog(now time.Time, x, y state.FailureDomain) float64 {
	l, ok := p[pairOf(x, y)]
	if !ok {
		return 0
	}
	return max(0, l.ms-float64(now.Sub(l.at))/float64(time.Millisecond))
}

// add puts a path's transfers, each of ms, on the links that it crosses.
func (p pipes) add(now time.Time, path fleet.Path, ms float64) {
	for i := 1; i < len(path); i++ {
		x, y := path[i-1].Domain, path[i].Domain
		if x != y {
			p[pairOf(x, y)] = &pipe{ms: p.backlog(now, x, y) + ms, at: now}
		}
	}
}
