package gateway

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// maxAlternatives is how many other paths are verified in one search.
	maxAlternatives = 2
	// alternativeInterval is how long after a search without a result a request searches again.
	alternativeInterval = probeResultTTL
)

// alternatives finds out whether a request could go on along another path than that of its current attempt. It
// may be used beside the attempt: it holds what the request knew when the attempt began.
//
// Guard (repeats-among-silent-servers): where all servers that could take a request are silent, the one that runs
// it is the likeliest to go on. The others would read the copies late.
type alternatives struct {
	g       *Gateway
	service *fleet.Service
	route   *fleet.Route
	req     pathing.Request
	avoid   map[string]bool // addresses that the next attempt may not use
	avoided map[string]bool // addresses that it uses only if there are no others
}

// newAlternatives returns those of the current attempt, whose path was chosen for req.
func (r *requestHandler) newAlternatives(req pathing.Request) *alternatives {
	a := &alternatives{
		g: r.g, service: r.service, route: r.route, req: req,
		avoid: maps.Clone(r.excluded), avoided: maps.Clone(r.avoided),
	}
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	if ranOn, exhausted := r.retrier.ExhaustedAfter(r.address); exhausted {
		a.req.FirstHops = ranOn
	}
	return a
}

// answering reports whether the servers of another path have shown a sign of life since a time. Those of which none
// is known are probed. leave are addresses of the current path that the other one may not use.
func (a *alternatives) answering(since time.Time, leave ...string) bool {
	avoid := maps.Clone(a.avoid)
	if avoid == nil {
		avoid = make(map[string]bool)
	}
	for _, address := range leave {
		avoid[address] = true
	}
	for range maxAlternatives {
		path, ok := a.g.shared.findPath(time.Now(), a.g.currentView.Load(), a.service, a.req, avoid, &serverSearch{avoided: a.avoided})
		if !ok {
			return false
		}
		silent := a.silentHops(since, path)
		if len(silent) == 0 {
			return true
		}
		for _, h := range silent {
			avoid[h.Address] = true
		}
		go a.g.prober.checkHops(a.service.ID, silent, path)
	}
	return false
}

// silentHops returns the hops of a path that have shown no sign of life since a time, and leave a probe unanswered.
func (a *alternatives) silentHops(since time.Time, path fleet.Path) []fleet.Hop {
	now := time.Now()
	events := later(since, now.Add(-pathVerifyInterval(a.route)))
	unheard := a.g.shared.unheardHops(now, path, now.Sub(events))
	doubted := lo.Union(a.g.shared.toldSilent(now, path), a.g.prober.withoutSign(later(since, now.Add(-verifiedTime)), unheard))
	return a.g.prober.unanswered(events, doubted)
}
