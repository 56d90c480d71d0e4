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
	s = s.SubScope("front")
	return counters{
		refused:    s.Counter("refused"),
		viewsOpen:  s.Gauge("views_open"),
		viewsSlow:  s.Counter("views_slow"),
		viewsGone:  s.Counter("views_gone"),
		tokens:     s.Counter("tokens"),
		keepAlives: s.Counter("keep_alives"),
	}
}
