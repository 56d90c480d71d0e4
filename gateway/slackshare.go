package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// maxLiveTTL is how long daemons that are no longer seen still count as sharing the retry
// budget: they may be alive on the other side of a network partition and spend their
// shares.
const maxLiveTTL = 30 * time.Second

// startNames are the values of retrybudget.SlackShare.Restarted in logs.
var startNames = map[bool]string{false: "running", true: "restarted"}

// slackShare returns how the slack of the retry budget is shared. A daemon that sees no
// other has lost or not yet found them: it then uses the number of rows in the table of
// members, which includes departed daemons.
func (m *membersState) slackShare() retrybudget.SlackShare {
	live := m.c.view.live
	if live >= m.maxLive || m.c.now.Sub(m.maxLiveAt) > maxLiveTTL {
		m.maxLive, m.maxLiveAt = live, m.c.now
	}
	out := retrybudget.SlackShare{Daemons: m.rowCount, Restarted: m.restartedTogether()}
	if m.maxLive > 1 {
		out.Daemons = m.maxLive
	}
	return out
}

// restartedTogether reports whether this daemon started within the last window of the
// budget, together with many others. Incarnations are numbered by the wall clock at their
// start; a clock that jumps by a few seconds in between makes little difference.
func (m *membersState) restartedTogether() bool {
	g := m.c.g
	window := g.currentSettings().BudgetWindow
	if g.sinceStart(m.c.now) >= window {
		return false
	}
	recent := 0
	for _, i := range m.c.view.members.Members {
		if i.Live() && time.Duration(int64(g.self.Incarnation)-int64(i.Member.Incarnation)).Abs() < window {
			recent++
		}
	}
	return float64(recent) > retrybudget.RestartedFraction*float64(max(m.maxLive, m.rowCount))
}
