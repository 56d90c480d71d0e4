package client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxLine bounds a line of a stream, in bytes.
const maxLine = 8 << 20

// errLine: a line of the stream is longer than maxLine.
var errLine = errors.New("line of the stream is too long")

// event is one server-sent event; ids are not needed, since data has the index.
type event struct {
	name string
	data []byte
}

// events reads server-sent events.
type events struct {
	lines *bufio.Scanner
	alive func() // called for each line, comments too
}

func newEvents(r io.Reader, alive func()) *events {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4<<10), maxLine)
	return &events{lines: s, alive: alive}
}

// next reads one event. The error is io.EOF at the stream's end.
func (e *events) next() (event, error) {
	var ev event
	for e.lines.Scan() {
		e.alive()
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
		return ev, errLine
	case err != nil:
		return ev, err
	default:
		return ev, io.EOF
	}
}
