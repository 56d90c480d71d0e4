package front

import "github.com/uber-go/tally/v4"

// counters are the front's own; refusals that the daemon decides on are counted
// there, by reason.
type counters struct {
	refused    tally.Counter // refused here: malformed or over a bound
	viewsOpen  tally.Gauge
	viewsSlow  tally.Counter // ended since the caller did not take an event in time
	viewsGone  tally.Counter // ended since the caller closed its connection
	tokens     tally.Counter
	keepAlives tally.Counter
}

// newCounters names the counters within s.
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
