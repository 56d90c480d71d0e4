package gateway

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds an incomplete event: usual ones have less than 100 bytes.
const maxEventBytes = 64 << 10

// errEventTooLong means that a server has sent maxEventBytes of an event and not its end.
var errEventTooLong = errors.New("event is too long")

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// eventID is the prefix of the line with an event's id.
var eventID = []byte("id:")

// eventBuffer splits a byte stream into complete events. An incomplete event is held back,
// so that another engine can continue after the last complete one.
type eventBuffer struct {
	buf      []byte
	returned int // length of the complete events in buf that add has returned
}

// add appends bytes and returns the events that are complete now, or none. The result is
// valid until the next call.
func (e *eventBuffer) add(b []byte) []byte {
	e.buf = append(e.buf[:0], e.buf[e.returned:]...)
	e.buf, e.returned = append(e.buf, b...), 0
	if last := bytes.LastIndex(e.buf, eventEnd); last >= 0 {
		e.returned = last + len(eventEnd)
	}
	return e.buf[:e.returned]
}

// hasPartial reports whether an incomplete event is buffered.
func (e *eventBuffer) hasPartial() bool { return len(e.buf) > e.returned }

// tooLong reports whether the incomplete event is longer than any event may be.
func (e *eventBuffer) tooLong() bool { return len(e.buf)-e.returned > maxEventBytes }

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, eventID)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], eventID)
	}
	if at < 0 {
		return "", false
	}
	line := events[at+len(eventID):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line)), true
}
