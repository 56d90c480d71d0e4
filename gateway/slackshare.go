package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
)

// maxLiveTTL is how long daemons that are no longer seen still count as sharing the retry
// budget: they may be alive on the other side of a network partition and spend their
// shares.
const maxLiveTTL = 30 * time.Second

// shareNames are the values of retrybudget.SlackShare.Withheld in logs.
var shareNames = map[bool]string{false: "granted", true: "withheld"}

// slackShare returns how the slack of the retry budget is shared. A daemon that sees no
// other has lost or not yet found them: it then uses the number of rows in the table of
// members, which includes departed daemons.
func (m *membersState) slackShare() retrybudget.SlackShare {
	live := m.c.view.live
	if live >= m.maxLive || m.c.now.Sub(m.maxLiveAt) > maxLiveTTL {
		m.maxLive, m.maxLiveAt = live, m.c.now
	}
	out := retrybudget.SlackShare{Daemons: m.rowCount, Withheld: m.c.retries.withheld()}
	if m.maxLive > 1 {
		out.Daemons = m.maxLive
	}
	return out
}
