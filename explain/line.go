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
	Time    time.Time `json:"time"` // by the clock of the daemon
	Daemon  string    `json:"daemon"`
	Event   string    `json:"event"`
	Message string    `json:"msg"`
	Request string    `json:"request,omitempty"`
	Service string    `json:"service,omitempty"`
	Backend string    `json:"backend,omitempty"` // id of a backend server
	Address string    `json:"address,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	Cause   string    `json:"cause,omitempty"`
	Count   int       `json:"count,omitempty"`
	Seconds float64   `json:"seconds,omitempty"`
	Version uint64    `json:"version,omitempty"`
	Layers  string    `json:"layers,omitempty"`
	Peer    string    `json:"peer,omitempty"`
}

// maxLineSize is the maximum size of a line in bytes, far above that of the longest path,
// which has 32 hops of some 30 bytes.
const maxLineSize = 1 << 20

// Log holds the lines read from the logs of one or more daemons.
type Log struct {
	Lines   []Line // ordered by time
	Skipped int    // number of lines that are not log lines of a daemon
}

// Read adds the lines of the logs of one or more daemons.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineSize)
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

// parse parses the JSON object of a line and ignores a prefix that log collectors add.
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
