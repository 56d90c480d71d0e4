package front

import "github.com/uber-go/tally/v4"

// counters are the front's metrics. Refusals by the daemon are counted by the daemon,
// by reason.
type counters struct {
	refused    tally.Counter // refused by the front: malformed or over a limit
	viewsOpen  tally.Gauge
	viewsSlow  tally.Counter // ended because the caller did not accept an event in time
	viewsGone  tally.Counter // ended because the caller closed its connection
	tokens     tally.Counter
	keepAlives tally.Counter
}

// newCounters creates the counters in s.
func newCounters(s tally.Scope) counters {
	return counters{
		refused:    s.Counter("front_refused"),
		viewsOpen:  s.Gauge("front_views_open"),
		viewsSlow:  s.Counter("front_views_slow"),
		viewsGone:  s.Counter("front_views_gone"),
		tokens:     s.Counter("front_tokens"),
		keepAlives: s.Counter("front_keep_alives"),
	}
}
