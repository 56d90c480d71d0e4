package telemetry

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Event is the number of a log event. A number never changes its meaning and is
// never reused. The thousands and hundreds identify the area: 10 daemon,
// 11 membership, 12 documents, 13 requests, 14 store, 15 leases and orders,
// 16 backend servers, 17 transport.
type Event uint16

// EventInfo describes an Event.
type EventInfo struct {
	Event Event
	Name  string // the field "event" of the log line
	Level logrus.Level
	Doc   string // the description, which is also the message of the log line
}

// Name returns the event's name, such as "daemon_started".
func (e Event) Name() string {
	return e.info().Name
}

// Level returns the log level of the event.
func (e Event) Level() logrus.Level {
	return e.info().Level
}

// Doc returns the description of the event.
func (e Event) Doc() string {
	return e.info().Doc
}

// String returns the number and the name, such as "1001 daemon_started".
func (e Event) String() string {
	return fmt.Sprintf("%d %s", uint16(e), e.Name())
}

func (e Event) info() EventInfo {
	info, ok := eventInfos[e]
	if !ok {
		// Only a number that was converted to Event can be unknown.
		panic(fmt.Sprintf("telemetry: event %d is not in the catalogue", uint16(e)))
	}
	return info
}

// Events returns every Event in the order of docs/EVENTS.md.
func Events() []EventInfo {
	return append([]EventInfo(nil), events...)
}

var eventInfos = func() map[Event]EventInfo {
	m := make(map[Event]EventInfo, len(events))
	for _, info := range events {
		if _, twice := m[info.Event]; twice {
			panic(fmt.Sprintf("telemetry: event %d is duplicated in the catalogue", uint16(info.Event)))
		}
		m[info.Event] = info
	}
	return m
}()
