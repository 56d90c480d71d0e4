package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
)

// Names of the events that timelines consist of; see docs/EVENTS.md.
const (
	eventSent             = "request_sent"
	eventRefused          = "request_refused"
	eventFailed           = "request_failed"
	eventAnswered         = "request_answered"
	eventRetried          = "request_retried"
	eventStreamLate       = "stream_late"
	eventImplicated       = "request_implicated"
	eventQuarantined      = "request_quarantined"
	eventHopSilent        = "hop_silent"
	eventPathRefused      = "path_refused"
	eventConfigApplied    = "document_applied"
	eventStoreLost        = "store_unavailable"
	eventStoreRecovered   = "store_recovered"
	eventFeedSource       = "feed_source"
	eventDaemonStarted    = "daemon_started"
	eventDrainStarted     = "drain_started"
	eventBackendJoined    = "backend_joined"
	eventBackendLeaving   = "backend_leaving"
	eventBackendDied      = "backend_died"
	eventBackendDead      = "backend_dead"
	eventBackendRecovered = "backend_recovered"
	eventLayersListed     = "layers_listed"
)

// serverEvents are the events about the state of a server.
var serverEvents = []string{eventBackendJoined, eventBackendLeaving, eventBackendDied, eventBackendDead, eventBackendRecovered, eventLayersListed}

// reasonNoConfig is the reason of a refusal by a daemon that has no configuration yet.
const reasonNoConfig = "no_configuration"

// Kind is the kind of cause of a failure.
type Kind string

// The values of Kind.
const (
	KindNone              Kind = "none"           // the request was answered in time, or its end is not in the logs
	KindHopDied           Kind = "hop_died"       // a server of its path died or was partitioned
	KindAnswerLost        Kind = "answer_lost"    // the request may have run, and must not run again
	KindStoreUnavailable  Kind = "store_away"     // its daemon could not read the configuration from the store
	KindStarting          Kind = "daemon_starts"  // its daemon had no configuration, although the store was reachable
	KindNoCapacity        Kind = "no_room"        // servers refused the request
	KindNoServer          Kind = "no_server"      // no server or no complete path was available
	KindServerLimit       Kind = "server_limit"   // only servers with a rate limit were available
	KindStopping          Kind = "daemon_stops"   // its daemon was shutting down
	KindCrashes           Kind = "crashes"        // its content crashed servers
	KindAttemptsExhausted Kind = "attempts"       // the number of attempts that the route allows was reached
	KindRetryBudgetEmpty  Kind = "retry_budget"   // the retry budget was exhausted
	KindTimeout           Kind = "time_ran_out"   // its deadline expired
	KindLate              Kind = "late"           // the request was answered late
	KindOther             Kind = "other"          // see the reason
	startupWindow              = 30 * time.Second // time after a daemon's start in which the start may explain a refusal
)

// Cause is the cause of a failure as shown by the logs.
type Cause struct {
	Kind    Kind   `json:"kind"`
	Summary string `json:"summary"`
	Next    string `json:"next,omitempty"` // what to check next
}

// findCause determines the cause of the failure in a timeline.
func (l *Log) findCause(t *Timeline) Cause {
	end := t.endLine()
	switch {
	case end == nil:
		return Cause{Kind: KindNone, Summary: "its end is not in these logs", Next: "its daemon was killed, or its lines were suppressed: see lines_left_out"}
	case end.Event == eventRefused:
		return t.explainRefused(end)
	case end.Event == eventFailed:
		return l.explainFailed(t, end)
	case t.firstLine(eventStreamLate) != nil:
		return l.explainLate(t, t.firstLine(eventStreamLate))
	}
	return Cause{Kind: KindNone, Summary: fmt.Sprintf("answered after %.3f s in %d attempts", end.Seconds, end.Count)}
}

// endLine returns the line that ended the request, or nil.
func (t *Timeline) endLine() *Line {
	for i := len(t.Steps) - 1; i >= 0; i-- {
		switch x := &t.Steps[i].Line; x.Event {
		case eventRefused, eventFailed, eventAnswered:
			return x
		}
	}
	return nil
}

// firstLine returns the first line of an event, or nil.
func (t *Timeline) firstLine(event string) *Line {
	for i := range t.Steps {
		if t.Steps[i].Line.Event == event {
			return &t.Steps[i].Line
		}
	}
	return nil
}

// cachedState returns the state about a subject that the daemon had cached at the last
// step, or nil.
func (t *Timeline) cachedState(subject string) *CachedState {
	last := &t.Steps[len(t.Steps)-1]
	for i := range last.CachedState {
		if last.CachedState[i].Subject == subject {
			return &last.CachedState[i]
		}
	}
	return nil
}

func (t *Timeline) explainRefused(end *Line) Cause {
	switch end.Detail {
	case reasonNoConfig:
		return t.explainNoConfig()
	case "draining":
		return Cause{Kind: KindStopping, Summary: "its daemon was shutting down and accepted no new stream", Next: "who stopped it, and whether callers used its address for longer than it was valid"}
	case string(relay.ReasonNoServer):
		return Cause{Kind: KindNoServer, Summary: fmt.Sprintf("no server could run it for %.3f s", end.Seconds), Next: "layers_listed and order_sent of these seconds: which layers no server held"}
	case string(relay.ReasonLimited):
		return Cause{Kind: KindServerLimit, Summary: fmt.Sprintf("only servers with a rate limit could run it, and no permit was granted for %.3f s", end.Seconds), Next: "backend_limited of the seconds before: which servers are overloaded"}
	}
	if x := t.firstLine(eventPathRefused); x != nil {
		return Cause{Kind: KindNoCapacity, Summary: fmt.Sprintf("server %s refused it with status %d: it had no capacity, or was giving up its layers", x.Address, x.Count), Next: "layers_listed and backend_leaving of these seconds"}
	}
	return Cause{Kind: KindOther, Summary: "refused and not run: " + end.Detail}
}

// explainNoConfig returns the cause of a refusal by a daemon without a configuration.
func (t *Timeline) explainNoConfig() Cause {
	since := ""
	if b := t.cachedState("daemon"); b != nil && b.Line.Event == eventDaemonStarted && b.Age < startupWindow {
		since = fmt.Sprintf(", %.1f s after its start", b.Age.Seconds())
	}
	for _, feed := range []string{"store: configuration", "store: servers"} {
		if b := t.cachedState(feed); b != nil && b.Line.Event == eventStoreLost {
			return Cause{
				Kind:    KindStoreUnavailable,
				Summary: fmt.Sprintf("its daemon had no configuration%s: the store had not answered for %.1f s (%s)", since, b.Age.Seconds(), b.Line.Cause),
				Next:    "store_recovered of the same daemon, and whether other daemons lost the store too",
			}
		}
	}
	return Cause{Kind: KindStarting, Summary: "its daemon had no configuration" + since, Next: "document_applied of the same daemon"}
}

func (l *Log) explainFailed(t *Timeline, end *Line) Cause {
	switch {
	case t.firstLine(eventQuarantined) != nil:
		return Cause{Kind: KindCrashes, Summary: "its content crashed servers and is sent to none for a while", Next: "request_implicated of the same content"}
	case end.Detail == string(relay.ReasonRunOnce):
		return t.explainAnswerLost(end)
	case t.firstLine(eventHopSilent) != nil:
		return l.explainHopDied(t.firstLine(eventHopSilent), end)
	case end.Detail == string(relay.ReasonBudget):
		return Cause{Kind: KindRetryBudgetEmpty, Summary: "its last attempt failed, and the retry budget of its service was exhausted", Next: "why the other requests were retried: request_retried of these seconds"}
	case end.Detail == string(relay.ReasonDeadline):
		return Cause{Kind: KindTimeout, Summary: fmt.Sprintf("its deadline expired after %.3f s and %d attempts", end.Seconds, end.Count), Next: "the server of its last attempt"}
	}
	if end.Detail == string(relay.ReasonAttempts) {
		return t.explainAttempts(end)
	}
	return Cause{Kind: KindOther, Summary: "failed: " + end.Detail}
}

// explainAttempts returns the cause of a failure after the maximum number of attempts.
func (t *Timeline) explainAttempts(end *Line) Cause {
	results := ""
	for i := range t.Steps {
		if x := &t.Steps[i].Line; x.Event == eventRetried {
			results += ", " + x.Detail
		}
	}
	return Cause{
		Kind:    KindAttemptsExhausted,
		Summary: fmt.Sprintf("%d attempts, and no further server may run it; those before the last ended: %s", end.Count, strings.TrimPrefix(results, ", ")),
		Next:    "the servers of its request_sent lines: backend_dead, backend_leaving, or lost answers of other requests",
	}
}

// explainAnswerLost returns the cause of a failure in which the answer of a request that
// must not run twice was lost. A request is implicated if a server died while running it.
func (t *Timeline) explainAnswerLost(end *Line) Cause {
	c := Cause{
		Kind:    KindAnswerLost,
		Summary: "it was sent, no complete answer was received, and it must not run twice",
		Next:    "whether it ran: the records of the server",
	}
	if x := t.firstLine(eventSent); x != nil {
		c.Summary = fmt.Sprintf("it was sent to %s, no complete answer was received within %.3f s, and it must not run twice", x.Address, end.Seconds)
	}
	if x := t.firstLine(eventImplicated); x != nil {
		c.Summary += fmt.Sprintf("; server %s did not answer a probe at that time: it died or was partitioned", x.Backend)
	}
	return c
}

func (l *Log) explainHopDied(hop, end *Line) Cause {
	dead, gone := l.countOthers(hop)
	observers := "no other daemon saw that: this one may have been partitioned"
	if dead+gone > 0 {
		observers = fmt.Sprintf("%d other daemons found it dead and %d saw it leave the list: the server failed", dead, gone)
	}
	return Cause{
		Kind:    KindHopDied,
		Summary: fmt.Sprintf("server %s at %s on its path answered no probe; %s; then no other path could continue the answer (%s)", hop.Backend, hop.Address, observers, end.Detail),
		Next:    "backend_leaving of the server (a planned stop), and layers_listed of these seconds",
	}
}

func (l *Log) explainLate(t *Timeline, late *Line) Cause {
	c := Cause{Kind: KindLate, Summary: fmt.Sprintf("answered, but its caller waited %.3f s for one event", late.Seconds)}
	if hop := t.firstLine(eventHopSilent); hop != nil {
		dead, gone := l.countOthers(hop)
		c.Summary += fmt.Sprintf(", because server %s at %s died (seen by %d other daemons)", hop.Backend, hop.Address, max(dead, gone))
	}
	return c
}
