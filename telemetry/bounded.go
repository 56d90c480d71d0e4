package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLinesPerSecond is the maximum number of lines per event and second. A daemon
	// serves some ten requests per second; more lines than this come from a burst of
	// the same event, which its first lines and the number of the others describe.
	maxLinesPerSecond = 40
	// maxQueuedLines is the maximum number of lines that wait for a slow output.
	maxQueuedLines = 2048
)

// lineLimiter limits the volume of a log under load: at most maxLinesPerSecond lines
// of each event are written, and the number of suppressed lines is reported afterwards.
type lineLimiter struct {
	mu         sync.Mutex
	second     int64
	counts     map[Event]int
	suppressed map[Event]int
}

func newLineLimiter() *lineLimiter {
	return &lineLimiter{counts: make(map[Event]int), suppressed: make(map[Event]int)}
}

// allow reports whether a line of e may be written now. On the first call in a new
// second it also returns the number of lines suppressed before, by event.
func (l *lineLimiter) allow(now time.Time, e Event) (bool, map[Event]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suppressed map[Event]int
	if s := now.Unix(); s != l.second {
		l.second = s
		clear(l.counts)
		if len(l.suppressed) > 0 {
			suppressed, l.suppressed = l.suppressed, make(map[Event]int)
		}
	}
	l.counts[e]++
	if l.counts[e] > maxLinesPerSecond {
		l.suppressed[e]++
		return false, suppressed
	}
	return true, suppressed
}

// asyncWriter writes lines to an output that may block. Lines that do not fit into
// its queue are dropped and counted, since a daemon must not block on its log.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			// A failed write to the log can't be reported anywhere.
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
