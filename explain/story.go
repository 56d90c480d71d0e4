package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Story is what became of one request.
type Timeline struct {
	Request string `json:"request"`
	Daemon  string `json:"daemon"` // that served it
	Steps   []Step `json:"steps"`
	Cause   Cause  `json:"cause"`
}

// Step is one line about the request, with what its daemon went by.
type Step struct {
	Line        Line          `json:"line"`
	CachedState []CachedState `json:"beliefs,omitempty"`
}

// Belief is something that a daemon held for true, since Line.
type CachedState struct {
	Subject string        `json:"about"`
	Line    Line          `json:"line"`
	Age     time.Duration `json:"age_ns"`
}

// seenWithin is how long before and after a step other daemons' lines about the same
// server belong to its story: a dead one leaves the list within four heartbeats.
const seenWithin = 6 * time.Second

// Find tells the story of a request. Its error says that no line names it.
func (l *Log) Find(request string) (Timeline, error) {
	s := Timeline{Request: request}
	for i, line := range l.Lines {
		if line.Request != request {
			continue
		}
		s.Daemon = line.Daemon
		s.Steps = append(s.Steps, Step{Line: line, CachedState: l.beliefs(i)})
	}
	if len(s.Steps) == 0 {
		return Timeline{}, fmt.Errorf("no line of %d names request %s", len(l.Lines), request)
	}
	s.Cause = l.conclude(&s)
	return s, nil
}

// beliefs lists what the daemon of line i went by then, where the line is of a
// decision that depends on it.
func (l *Log) beliefs(i int) []CachedState {
	line := l.Lines[i]
	var out []CachedState
	add := func(about string, known *Line) {
		if known != nil {
			out = append(out, CachedState{Subject: about, Line: *known, Age: line.Time.Sub(known.Time)})
		}
	}
	switch line.Event {
	case eventSent, eventRefused, eventFailed:
		add("configuration", l.last(i, func(x *Line) bool { return x.Event == eventConfig }))
		for _, feed := range []string{"configuration", "servers"} {
			add("store: "+feed, l.last(i, func(x *Line) bool {
				return (x.Event == eventStoreLost || x.Event == eventStoreBack) && x.Detail == feed
			}))
			add("source: "+feed, l.last(i, func(x *Line) bool {
				return x.Event == eventSource && strings.HasPrefix(x.Detail, feed+" ")
			}))
		}
		add("daemon", l.last(i, func(x *Line) bool { return x.Event == eventStarted || x.Event == eventDrain }))
	}
	for _, address := range line.addresses() {
		id := l.life(i, address)
		add("server "+address, l.last(i, func(x *Line) bool { return x.aboutServer(address, id) }))
	}
	return out
}

// last is the last line before i of the same daemon that fits, or nil.
func (l *Log) last(i int, fits func(*Line) bool) *Line {
	for k := i - 1; k >= 0; k-- {
		if x := &l.Lines[k]; x.Daemon == l.Lines[i].Daemon && fits(x) {
			return x
		}
	}
	return nil
}

// life is the id of the server that a daemon knew at an address before line i.
func (l *Log) life(i int, address string) string {
	if x := l.last(i, func(x *Line) bool { return x.Event == eventJoined && x.Address == address }); x != nil {
		return x.Backend
	}
	return ""
}

// aboutServer reports whether a line tells of a server's state, not of a request.
func (x *Line) aboutServer(address, id string) bool {
	if x.Request != "" || !slices.Contains(serverEvents, x.Event) {
		return false
	}
	return x.Address == address || id != "" && x.Backend == id
}

// addresses lists the servers that a line is about: the hops of a path, or one.
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

// others counts the daemons, this one left out, that found a server dead at about a
// time, and those that saw it leave or lapse.
func (l *Log) others(x *Line) (dead, gone int) {
	daemons := make(map[string]bool)
	for i := range l.Lines {
		o := &l.Lines[i]
		near := o.Time.Sub(x.Time).Abs() <= seenWithin
		if !near || o.Daemon == x.Daemon || daemons[o.Event+o.Daemon] || !o.aboutServer(x.Address, x.Backend) {
			continue
		}
		daemons[o.Event+o.Daemon] = true
		switch o.Event {
		case eventDead:
			dead++
		case eventLeaving, eventGone:
			gone++
		}
	}
	return dead, gone
}
