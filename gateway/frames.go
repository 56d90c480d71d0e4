package gateway

import "bytes"

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// eventID begins the line with an event's id.
var eventID = []byte("id:")

// frames cuts a stream of bytes into whole events. An event is held until its end
// has come, so that another engine's events can follow the last whole one.
type frames struct {
	held []byte
	done int // of held, whole events that take has returned
}

// take adds bytes and returns the events that are whole now, or none. What it
// returns stands until the next call.
func (f *frames) take(b []byte) []byte {
	f.held = append(f.held[:0], f.held[f.done:]...)
	f.held, f.done = append(f.held, b...), 0
	if end := bytes.LastIndex(f.held, eventEnd); end >= 0 {
		f.done = end + len(eventEnd)
	}
	return f.held[:f.done]
}

// open reports whether an event has begun that is not whole.
func (f *frames) open() bool { return len(f.held) > f.done }

// lastID finds the id of the last event that has one.
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
