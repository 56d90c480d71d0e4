package trace

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxQueuedLines is the number of lines that may be queued for the file. When a slow
// disk lets the queue fill up, recording stops: a trace with missing lines could not
// be replayed, and a request must not wait for a disk.
const maxQueuedLines = 1 << 14

// writeInterval is the time for which lines are collected into one write.
const writeInterval = 20 * time.Millisecond

const fileMode = 0o600

// Recorder writes the trace of one incarnation of a daemon. Its methods are safe for
// concurrent use; those of a nil Recorder do nothing.
type Recorder struct {
	source    string
	startTime time.Time
	mask      masker
	fail      func(error) // at most once
	out       io.WriteCloser
	done      chan struct{} // closed after the last write

	mu      sync.Mutex
	queue   [][]byte
	lastRun uint64
	wake    chan struct{}
	closed  bool // further lines are discarded
}

// Open returns a Recorder that appends to the file at path, where by names the
// incarnation of the daemon. Several daemons may append to one file, which has to be
// on a local file system. fail is called at most once, when recording stops early. If
// path is empty, Open returns nil, which is a Recorder that records nothing.
func Open(path, by string, fail func(error)) (*Recorder, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("record_file: %w", err)
	}
	return NewRecorder(f, by, fail), nil
}

// NewRecorder returns a Recorder that writes complete lines to out and closes it at
// the end.
func NewRecorder(out io.WriteCloser, by string, fail func(error)) *Recorder {
	r := &Recorder{
		source:    by,
		startTime: time.Now(),
		mask:      masker{enabled: true},
		out:       out,
		done:      make(chan struct{}),
		wake:      make(chan struct{}, 1),
	}
	var once sync.Once
	r.fail = func(err error) { once.Do(func() { fail(err) }) }
	_, _ = rand.Read(r.mask.salt[:]) // crypto/rand.Read never fails
	r.enqueue(Line{Header: &Header{Format: Format, Version: Version, StartedAt: r.startTime.UTC().Format(time.RFC3339)}})
	go r.writeLoop()
	return r
}

// Document records that a document version was applied.
func (r *Recorder) Document(id state.ServiceID, version state.DocumentVersion) {
	if r == nil {
		return
	}
	r.enqueue(Line{At: r.elapsed(time.Now()), Document: &Document{Service: id, Version: version}})
}

// Fault records a fault that is injected into the site, as the cause of the lines
// that follow.
func (r *Recorder) Fault(kind, subject string) {
	if r == nil {
		return
	}
	r.enqueue(Line{At: r.elapsed(time.Now()), Fault: &Fault{Kind: kind, Subject: subject}})
}

// Expect records a stated outcome.
func (r *Recorder) Expect(e Expectation) {
	if r == nil {
		return
	}
	r.enqueue(Line{Expect: &e})
}

// Run is the recording of one request. Only the request's goroutine may use it. A
// nil Run records nothing.
type Run struct {
	r      *Recorder
	number uint64
}

// Begin records the arrival of a request.
func (r *Recorder) Begin(spec request.Spec) *Run {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	r.lastRun++
	run := &Run{r: r, number: r.lastRun}
	r.mu.Unlock()
	r.enqueue(Line{At: r.elapsed(time.Now()), Run: run.number, Request: newRequest(r.mask, spec, r.startTime)})
	return run
}

// Step records one step of the request's state machine. It must be called before
// executing the actions whose results are fed back as events.
func (run *Run) Step(now time.Time, ev request.Event, actions []request.Action) {
	if run == nil {
		return
	}
	r := run.r
	r.enqueue(Line{At: r.elapsed(now), Run: run.number, Event: r.mask.event(ev, r.startTime), Actions: r.mask.actions(actions)})
}

// Close writes the queued lines and closes the output.
func (r *Recorder) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
	<-r.done
}

func (r *Recorder) elapsed(now time.Time) int64 {
	return int64(now.Sub(r.startTime))
}

func (r *Recorder) enqueue(l Line) {
	l.Source = r.source
	text, err := json.Marshal(l)
	if err != nil {
		panic("trace: encoding a line: " + err.Error())
	}
	r.mu.Lock()
	if !r.closed {
		r.queue = append(r.queue, append(text, '\n'))
	}
	full := !r.closed && len(r.queue) >= maxQueuedLines
	r.closed = r.closed || full
	r.mu.Unlock()
	if full {
		r.fail(fmt.Errorf("%d lines are queued for the file", maxQueuedLines))
	}
	r.signal()
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takeLines returns the queued lines and whether more may follow.
func (r *Recorder) takeLines() ([][]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := r.queue
	r.queue = nil
	return lines, !r.closed
}

// writeLoop runs in the recorder's goroutine. Each write contains complete lines only,
// so that lines of several daemons are not interleaved.
func (r *Recorder) writeLoop() {
	defer close(r.done)
	defer func() { _ = r.out.Close() }()
	for more := true; more; {
		<-r.wake
		var lines [][]byte
		if lines, more = r.takeLines(); len(lines) == 0 {
			continue
		}
		if _, err := r.out.Write(bytes.Join(lines, nil)); err != nil {
			r.stopWithError(err)
			return
		}
		if more {
			time.Sleep(writeInterval)
		}
	}
}

// stopWithError stops recording after a failed write.
func (r *Recorder) stopWithError(err error) {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.fail(err)
}
