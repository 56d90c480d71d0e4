package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time `json:"time"` // by the daemon's own clock
	Daemon  string    `json:"daemon"`
	Event   string    `json:"event"`
	Message string    `json:"msg"`
	Request string    `json:"request,omitempty"`
	Service string    `json:"service,omitempty"`
	Backend string    `json:"backend,omitempty"` // id of a server's life
	Address string    `json:"address,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	Cause   string    `json:"cause,omitempty"`
	Count   int       `json:"count,omitempty"`
	Seconds float64   `json:"seconds,omitempty"`
	Version uint64    `json:"version,omitempty"`
	Layers  string    `json:"layers,omitempty"`
	Peer    string    `json:"peer,omitempty"`
}

// maxLine bounds one line, in bytes: the longest path has 32 hops of some 30 bytes.
const maxLine = 1 << 20

// Log is what was read.
type Log struct {
	Lines   []Line // in the order of their times
	Skipped int    // lines that are none of a daemon's log
}

// Read adds the lines of one daemon's or several daemons' logs.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

// parse reads the JSON object of a line, after any prefix that collectors add.
func parse(b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(b[at:], &line); err != nil {
		return Line{}, false
	}
	return line, line.Event != "" && !line.Time.IsZero()
}
