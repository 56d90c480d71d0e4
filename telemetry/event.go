package telemetry

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Event is the number of one kind of log line. Numbers never change their
// meaning and are not used again. The thousands and hundreds give the area:
// 10 daemon, 11 membership, 12 documents, 13 requests, 14 store, 15 leases and
// orders, 16 backend servers, 17 transport.
type Event uint16

// EventInfo describes one Event.
type EventInfo struct {
	Event Event
	Name  string // the field "event" of the log line
	Level logrus.Level
	Doc   string // what happened, and what an operator may do
}

// Name returns the event's name, such as "daemon_started".
func (e Event) Name() string {
	return e.info().Name
}

// Level returns the level that the event is logged at.
func (e Event) Level() logrus.Level {
	return e.info().Level
}

// Doc says what happened.
func (e Event) Doc() string {
	return e.info().Doc
}

// String gives "1001 daemon_started".
func (e Event) String() string {
	return fmt.Sprintf("%d %s", uint16(e), e.Name())
}

func (e Event) info() EventInfo {
	info, ok := catalogue[e]
	if !ok {
		// Only a number made by conversion can be unknown.
		panic(fmt.Sprintf("telemetry: event %d is not in the catalogue", uint16(e)))
	}
	return info
}

// Events lists every Event in the order of docs/EVENTS.md.
func Events() []EventInfo {
	return append([]EventInfo(nil), events...)
}

var catalogue = func() map[Event]EventInfo {
	m := make(map[Event]EventInfo, len(events))
	for _, info := range events {
		if _, twice := m[info.Event]; twice {
			panic(fmt.Sprintf("telemetry: event %d stands twice in the catalogue", uint16(info.Event)))
		}
		m[info.Event] = info
	}
	return m
}()
