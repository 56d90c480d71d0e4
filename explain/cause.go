package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
)

// Names of the events that stories are made of, by docs/EVENTS.md.
const (
	eventSent        = "request_sent"
	eventRefused     = "request_refused"
	eventFailed      = "request_failed"
	eventAnswered    = "request_answered"
	eventRetried     = "request_retried"
	eventLate        = "stream_late"
	eventImplicated  = "request_implicated"
	eventQuarantined = "request_quarantined"
	eventHopSilent   = "hop_silent"
	eventPathRefused = "path_refused"
	eventConfig      = "document_applied"
	eventStoreLost   = "store_unavailable"
	eventStoreBack   = "store_recovered"
	eventSource      = "feed_source"
	eventStarted     = "daemon_started"
	eventDrain       = "drain_started"
	eventJoined      = "backend_joined"
	eventLeaving     = "backend_leaving"
	eventGone        = "backend_died"
	eventDead        = "backend_dead"
	eventRecovered   = "backend_recovered"
	eventLayers      = "layers_listed"
)

// serverEvents tell of a server's state.
var serverEvents = []string{eventJoined, eventLeaving, eventGone, eventDead, eventRecovered, eventLayers}

// reasonNoConfig is the refusal of a daemon that knows no configuration yet.
const reasonNoConfig = "no_configuration"

// Kind is what a request failed of.
type Kind string

// The values of Kind.
const (
	KindNone              Kind = "none"           // it was answered in time, or its end is not in the logs
	KindHopDied           Kind = "hop_died"       // a server of its path died or was cut off
	KindAnswerLost        Kind = "answer_lost"    // it may have run, and may not run again
	KindStoreUnavailable  Kind = "store_away"     // its daemon could not learn the configuration
	KindStarting          Kind = "daemon_starts"  // the same, with the store in reach
	KindNoCapacity        Kind = "no_room"        // servers refused it
	KindNoServer          Kind = "no_server"      // no server, or no path, was there
	KindServerLimit       Kind = "server_limit"   // only servers that name a limit were there
	KindStopping          Kind = "daemon_stops"   // its daemon was about to stop
	KindCrashes           Kind = "crashes"        // its content has crashed servers
	KindAttemptsExhausted Kind = "attempts"       // as many servers have run it as its route allows
	KindRetryBudgetEmpty  Kind = "retry_budget"   // the retry budget was used up
	KindTimeout           Kind = "time_ran_out"   // its time was over
	KindLate              Kind = "late"           // it was answered late
	KindOther             Kind = "other"          // see the reason
	recentlyStarted            = 30 * time.Second // a start that may explain a refusal
)

// Cause is what the logs show.
type Cause struct {
	Kind    Kind   `json:"kind"`
	Summary string `json:"summary"`
	Next    string `json:"next,omitempty"` // what to look at
}

// conclude finds the cause in a story.
func (l *Log) conclude(s *Timeline) Cause {
	end := s.end()
	switch {
	case end == nil:
		return Cause{Kind: KindNone, Summary: "its end is not in these logs", Next: "its daemon was killed, or its lines were left out: see lines_left_out"}
	case end.Event == eventRefused:
		return s.refused(end)
	case end.Event == eventFailed:
		return l.failed(s, end)
	case s.first(eventLate) != nil:
		return l.late(s, s.first(eventLate))
	}
	return Cause{Kind: KindNone, Summary: fmt.Sprintf("answered after %.3f s in %d attempts", end.Seconds, end.Count)}
}

// end is the line that ended the request, or nil.
func (s *Timeline) end() *Line {
	for i := len(s.Steps) - 1; i >= 0; i-- {
		switch x := &s.Steps[i].Line; x.Event {
		case eventRefused, eventFailed, eventAnswered:
			return x
		}
	}
	return nil
}

// first is the first line of an event, or nil.
func (s *Timeline) first(event string) *Line {
	for i := range s.Steps {
		if s.Steps[i].Line.Event == event {
			return &s.Steps[i].Line
		}
	}
	return nil
}

// belief is what the daemon held of a matter at the request's end, or nil.
func (s *Timeline) belief(about string) *CachedState {
	last := &s.Steps[len(s.Steps)-1]
	for i := range last.CachedState {
		if last.CachedState[i].Subject == about {
			return &last.CachedState[i]
		}
	}
	return nil
}

func (s *Timeline) refused(end *Line) Cause {
	switch end.Detail {
	case reasonNoConfig:
		return s.noConfig()
	case "draining":
		return Cause{Kind: KindStopping, Summary: "its daemon was about to stop and took no new stream", Next: "who stopped it, and whether callers kept its address for longer than they were told"}
	case string(relay.ReasonNoServer):
		return Cause{Kind: KindNoServer, Summary: fmt.Sprintf("no server could take it for %.3f s", end.Seconds), Next: "layers_listed and order_sent of these seconds: which layers nobody held"}
	case string(relay.ReasonLimited):
		return Cause{Kind: KindServerLimit, Summary: fmt.Sprintf("only servers that name a limit could take it, and there was no permit for %.3f s", end.Seconds), Next: "backend_limited of the seconds before: which servers are in need"}
	}
	if x := s.first(eventPathRefused); x != nil {
		return Cause{Kind: KindNoCapacity, Summary: fmt.Sprintf("server %s refused it with status %d: no room, or it was giving up its layers", x.Address, x.Count), Next: "layers_listed and backend_leaving of these seconds"}
	}
	return Cause{Kind: KindOther, Summary: "refused as not run: " + end.Detail}
}

// noConfig explains a daemon that knew no configuration.
func (s *Timeline) noConfig() Cause {
	since := ""
	if b := s.belief("daemon"); b != nil && b.Line.Event == eventStarted && b.Age < recentlyStarted {
		since = fmt.Sprintf(", %.1f s after its start", b.Age.Seconds())
	}
	for _, feed := range []string{"store: configuration", "store: servers"} {
		if b := s.belief(feed); b != nil && b.Line.Event == eventStoreLost {
			return Cause{
				Kind:    KindStoreUnavailable,
				Summary: fmt.Sprintf("its daemon knew no configuration%s: the store had not answered for %.1f s (%s)", since, b.Age.Seconds(), b.Line.Cause),
				Next:    "store_recovered of the same daemon, and whether other daemons lost the store too",
			}
		}
	}
	return Cause{Kind: KindStarting, Summary: "its daemon knew no configuration" + since, Next: "document_applied of the same daemon"}
}

func (l *Log) failed(s *Timeline, end *Line) Cause {
	switch {
	case s.first(eventQuarantined) != nil:
		return Cause{Kind: KindCrashes, Summary: "its content has crashed servers, and is sent to none for a while", Next: "request_implicated of the same content"}
	case end.Detail == string(relay.ReasonRunOnce):
		return s.answerLost(end)
	case s.first(eventHopSilent) != nil:
		return l.hopDied(s.first(eventHopSilent), end)
	case end.Detail == string(relay.ReasonBudget):
		return Cause{Kind: KindRetryBudgetEmpty, Summary: "it broke off, and the retry budget of its service was used up", Next: "what broke the many others: request_retried of these seconds"}
	case end.Detail == string(relay.ReasonDeadline):
		return Cause{Kind: KindTimeout, Summary: fmt.Sprintf("its time was over after %.3f s in %d attempts", end.Seconds, end.Count), Next: "the server of its last attempt"}
	}
	if end.Detail == string(relay.ReasonAttempts) {
		return s.usedUp(end)
	}
	return Cause{Kind: KindOther, Summary: "failed: " + end.Detail}
}

// usedUp explains a request that as many servers have run as its route allows.
func (s *Timeline) usedUp(end *Line) Cause {
	how := ""
	for i := range s.Steps {
		if x := &s.Steps[i].Line; x.Event == eventRetried {
			how += ", " + x.Detail
		}
	}
	return Cause{
		Kind:    KindAttemptsExhausted,
		Summary: fmt.Sprintf("%d attempts, and no further server may run it; those before the last ended: %s", end.Count, strings.TrimPrefix(how, ", ")),
		Next:    "the servers of its request_sent lines: backend_dead, backend_leaving, or answers that others lost too",
	}
}

func (s *Timeline) answerLost(end *Line) Cause {
	c := Cause{
		Kind:    KindAnswerLost,
		Summary: "it was sent, no whole answer came back, and it may run once only",
		Next:    "whether it has run: the records of the server",
	}
	if x := s.first(eventSent); x != nil {
		c.Summary = fmt.Sprintf("it was sent to %s, no whole answer came back within %.3f s, and it may run once only", x.Address, end.Seconds)
	}
	if x := s.first(eventImplicated); x != nil {
		c.Summary += fmt.Sprintf("; server %s answered no probe just then: it died or was cut off", x.Backend)
	}
	return c
}

func (l *Log) hopDied(hop, end *Line) Cause {
	dead, gone := l.others(hop)
	who := "no other daemon saw that: this one may have been cut off"
	if dead+gone > 0 {
		who = fmt.Sprintf("%d other daemons found it dead and %d saw it leave the list: the server failed", dead, gone)
	}
	return Cause{
		Kind:    KindHopDied,
		Summary: fmt.Sprintf("server %s at %s on its path answered no probe; %s; then nothing could take the answer over (%s)", hop.Backend, hop.Address, who, end.Detail),
		Next:    "backend_leaving of the server (a planned end), and layers_listed of these seconds",
	}
}

func (l *Log) late(s *Timeline, late *Line) Cause {
	c := Cause{Kind: KindLate, Summary: fmt.Sprintf("answered, but its caller waited %.3f s for one event", late.Seconds)}
	if hop := s.first(eventHopSilent); hop != nil {
		dead, gone := l.others(hop)
		c.Summary += fmt.Sprintf(", since server %s at %s died (seen by %d other daemons)", hop.Backend, hop.Address, max(dead, gone))
	}
	return c
}
