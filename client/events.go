package client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxLineBytes limits the length of one line of a stream.
const maxLineBytes = 8 << 20

// errLineTooLong is returned for a line longer than maxLineBytes.
var errLineTooLong = errors.New("line of the stream is too long")

// event is one server-sent event. Its ID is not needed, since data has the index.
type event struct {
	name string
	data []byte
}

// eventReader reads server-sent events.
type eventReader struct {
	lines  *bufio.Scanner
	onLine func() // called for each line, including comments
}

func newEventReader(r io.Reader, onLine func()) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &eventReader{lines: s, onLine: onLine}
}

// next reads one event. The error is io.EOF at the stream's end.
func (e *eventReader) next() (event, error) {
	var ev event
	for e.lines.Scan() {
		e.onLine()
		line := e.lines.Bytes()
		if len(line) == 0 {
			if ev.name != "" {
				return ev, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			ev.name = string(value)
		case "data":
			ev.data = bytes.Clone(value)
		}
	}
	err := e.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return ev, errLineTooLong
	case err != nil:
		return ev, err
	default:
		return ev, io.EOF
	}
}
