package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond is how many lines of one event are written in a second. A daemon
	// serves some ten requests a second; what goes beyond is a storm of one kind,
	// which its first lines and the count of the rest explain.
	linesPerSecond = 40
	// queuedLines is how many lines may wait for a reader of the output that is slow.
	queuedLines = 2048
)

// bounds keeps the volume of a log bounded under load: of each event only so many
// lines a second are written, and how many were left out is told afterwards.
type bounds struct {
	mu     sync.Mutex
	second int64
	counts map[Event]int
	left   map[Event]int
}

func newBounds() *bounds {
	return &bounds{counts: make(map[Event]int), left: make(map[Event]int)}
}

// allow reports whether a line of e may be written now. In a new second it also
// returns what was left out in the one before.
func (b *bounds) allow(now time.Time, e Event) (bool, map[Event]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left map[Event]int
	if s := now.Unix(); s != b.second {
		b.second = s
		clear(b.counts)
		if len(b.left) > 0 {
			left, b.left = b.left, make(map[Event]int)
		}
	}
	b.counts[e]++
	if b.counts[e] > linesPerSecond {
		b.left[e]++
		return false, left
	}
	return true, left
}

// asyncWriter hands lines to an output that may block. Lines beyond its queue are
// dropped and counted: a daemon must not wait for whoever reads its log.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range w.lines {
			// There is nobody to tell that a line of the log can't be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
