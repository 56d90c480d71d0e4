package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// maxLiveTTL is how long daemons that are no longer seen still count for siteSize.
const maxLiveTTL = 30 * time.Second

// listedTTL is how long a daemon that is only listed in the table of members counts as alive.
const listedTTL = 10 * time.Minute

// shareNames are the values of retrybudget.SlackShare.Withheld in logs.
var shareNames = map[bool]string{false: "granted", true: "withheld"}

// recentMax is the highest of the recent values of a number.
type recentMax struct {
	value int
	at    time.Time // when it was last reached
}

// observe adds a value, and forgets a higher one that was last reached longer than ttl ago.
func (r *recentMax) observe(now time.Time, value int, ttl time.Duration) int {
	if value >= r.value || now.Sub(r.at) > ttl {
		r.value, r.at = value, now
	}
	return r.value
}

// siteSize returns the number of daemons of the site: those seen recently or, if this daemon
// sees no other, the rows in the table of members, which include departed daemons. It is 0
// if neither is known.
func (m *membersState) siteSize() int {
	if live := m.maxLive.observe(m.c.now, m.c.view.live, maxLiveTTL); live > 1 {
		return live
	}
	return m.rowCount
}

// knownDaemons returns how many daemons may be alive. Rows of daemons that nobody has seen for
// listedTTL are those of departed ones.
func (m *membersState) knownDaemons(v *membership.View) int {
	if m.c.now.Sub(m.seededAt) < listedTTL {
		return v.Connectivity.Known
	}
	return lo.CountBy(v.Members, func(i membership.Info) bool { return i.State != membership.Left })
}

// slackShare returns how the slack of the retry budget is shared: with all daemons that may
// spend a part of it, also those out of sight. A daemon that has left has spent its part of
// the last window.
func (m *membersState) slackShare() retrybudget.SlackShare {
	out := retrybudget.SlackShare{Daemons: m.rowCount, Withheld: m.c.retries.withheld()}
	if known := m.maxKnown.observe(m.c.now, m.known, m.c.g.currentSettings().BudgetWindow); known > 1 {
		out.Daemons = known
	}
	return out
}
