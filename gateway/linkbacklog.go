package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// domainPair identifies the inter-domain link between two domains; a precedes b.
type domainPair struct{ a, b state.FailureDomain }

// linkBacklogs estimates the transfers queued on each inter-domain link from this daemon's
// own requests and the number of daemons.
type linkBacklogs map[domainPair]*linkBacklog

// linkBacklog is the backlog of one link at a point in time.
type linkBacklog struct {
	ms   float64
	asOf time.Time
}

func newDomainPair(x, y state.FailureDomain) domainPair {
	if x > y {
		x, y = y, x
	}
	return domainPair{x, y}
}

// backlog returns how many ms of transfers are queued on the link between two domains.
func (l linkBacklogs) backlog(now time.Time, x, y state.FailureDomain) float64 {
	link, ok := l[newDomainPair(x, y)]
	if !ok {
		return 0
	}
	return max(0, link.ms-float64(now.Sub(link.asOf))/float64(time.Millisecond))
}

// add adds a path's transfers, of ms each, to the links that it crosses.
func (l linkBacklogs) add(now time.Time, path fleet.Path, ms float64) {
	for i := 1; i < len(path); i++ {
		x, y := path[i-1].Domain, path[i].Domain
		if x != y {
			l[newDomainPair(x, y)] = &linkBacklog{ms: l.backlog(now, x, y) + ms, asOf: now}
		}
	}
}
