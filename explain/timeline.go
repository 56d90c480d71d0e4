package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Timeline is the history of one request and its cause of failure.
type Timeline struct {
	Request string `json:"request"`
	Daemon  string `json:"daemon"` // the daemon that served the request
	Steps   []Step `json:"steps"`
	Cause   Cause  `json:"cause"`
}

// Step is one line about the request, with the state that its daemon had cached.
type Step struct {
	Line        Line          `json:"line"`
	CachedState []CachedState `json:"beliefs,omitempty"`
}

// CachedState is what the daemon of a Step knew about a subject at the time of the step.
// Line is the log line that last reported it, and Age the time from Line to the step.
type CachedState struct {
	Subject string        `json:"about"`
	Line    Line          `json:"line"`
	Age     time.Duration `json:"age_ns"`
}

// correlationWindow is the time before and after a step in which lines of other daemons
// about the same server are taken into account: the entry of a dead server is removed
// from the list within four heartbeats.
const correlationWindow = 6 * time.Second

// Find returns the timeline of a request, or an error if no line names the request.
func (l *Log) Find(request string) (Timeline, error) {
	t := Timeline{Request: request}
	for i, line := range l.Lines {
		if line.Request != request {
			continue
		}
		t.Daemon = line.Daemon
		t.Steps = append(t.Steps, Step{Line: line, CachedState: l.cachedStates(i)})
	}
	if len(t.Steps) == 0 {
		return Timeline{}, fmt.Errorf("none of %d lines names request %s", len(l.Lines), request)
	}
	t.Cause = l.findCause(&t)
	return t, nil
}

// cachedStates returns the state that the daemon of line i had cached at that time, as
// far as the event of the line depends on it.
func (l *Log) cachedStates(i int) []CachedState {
	line := l.Lines[i]
	var out []CachedState
	add := func(subject string, source *Line) {
		if source != nil {
			out = append(out, CachedState{Subject: subject, Line: *source, Age: line.Time.Sub(source.Time)})
		}
	}
	switch line.Event {
	case eventSent, eventRefused, eventFailed:
		add("configuration", l.lastBefore(i, func(x *Line) bool { return x.Event == eventConfigApplied }))
		for _, feed := range []string{"configuration", "servers"} {
			add("store: "+feed, l.lastBefore(i, func(x *Line) bool {
				return (x.Event == eventStoreLost || x.Event == eventStoreRecovered) && x.Detail == feed
			}))
			add("source: "+feed, l.lastBefore(i, func(x *Line) bool {
				return x.Event == eventFeedSource && strings.HasPrefix(x.Detail, feed+" ")
			}))
		}
		add("daemon", l.lastBefore(i, func(x *Line) bool { return x.Event == eventDaemonStarted || x.Event == eventDrainStarted }))
	}
	for _, address := range line.addresses() {
		id := l.backendIDAt(i, address)
		add("server "+address, l.lastBefore(i, func(x *Line) bool { return x.aboutServer(address, id) }))
	}
	return out
}

// lastBefore returns the last line of the same daemon before line i that matches, or nil.
func (l *Log) lastBefore(i int, match func(*Line) bool) *Line {
	for k := i - 1; k >= 0; k-- {
		if x := &l.Lines[k]; x.Daemon == l.Lines[i].Daemon && match(x) {
			return x
		}
	}
	return nil
}

// backendIDAt returns the id of the server that the daemon of line i knew at an address
// before that line, or "".
func (l *Log) backendIDAt(i int, address string) string {
	if x := l.lastBefore(i, func(x *Line) bool { return x.Event == eventBackendJoined && x.Address == address }); x != nil {
		return x.Backend
	}
	return ""
}

// aboutServer reports whether a line is about the state of a server and not about a
// request.
func (x *Line) aboutServer(address, id string) bool {
	if x.Request != "" || !slices.Contains(serverEvents, x.Event) {
		return false
	}
	return x.Address == address || id != "" && x.Backend == id
}

// addresses returns the addresses of the servers that a line is about: the hops of a
// path, or a single server. A request_sent line lists the hops in Detail, as fields of
// the form ADDRESS=FROM-TO, where FROM-TO are layers.
func (x *Line) addresses() []string {
	if x.Event != eventSent {
		if x.Address == "" {
			return nil
		}
		return []string{x.Address}
	}
	var out []string
	for hop := range strings.FieldsSeq(x.Detail) {
		if address, _, ok := strings.Cut(hop, "="); ok {
			out = append(out, address)
		}
	}
	if len(out) == 0 && x.Address != "" {
		out = append(out, x.Address)
	}
	return out
}

// countOthers returns the number of other daemons that found the server of line x dead
// within correlationWindow, and of those that saw it leave or its entry expire.
func (l *Log) countOthers(x *Line) (dead, gone int) {
	daemons := make(map[string]bool)
	for i := range l.Lines {
		o := &l.Lines[i]
		near := o.Time.Sub(x.Time).Abs() <= correlationWindow
		if !near || o.Daemon == x.Daemon || daemons[o.Event+o.Daemon] || !o.aboutServer(x.Address, x.Backend) {
			continue
		}
		daemons[o.Event+o.Daemon] = true
		switch o.Event {
		case eventBackendDead:
			dead++
		case eventBackendLeaving, eventBackendDied:
			gone++
		}
	}
	return dead, gone
}
