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

// backlog is how many lines may wait for the file. When a slow disk lets it
// fill, recording stops: a trace without some of its lines could not be
// replayed, and a request must not wait for a disk.
const backlog = 1 << 14

// writeEvery is how long lines are gathered before they are written.
const writeEvery = 20 * time.Millisecond

const fileMode = 0o600

// Recorder writes the trace of one life of a daemon. Its methods may be called
// by many goroutines at once; those of a nil Recorder do nothing.
type Recorder struct {
	by    string
	began time.Time
	mask  mask
	fail  func(error) // at most once
	out   io.WriteCloser
	done  chan struct{} // closed when everything is written

	mu      sync.Mutex
	lines   [][]byte
	runs    uint64
	wake    chan struct{}
	closing bool // nothing more is taken
}

// Open appends to the file at path what the life of a daemon called by does;
// several daemons may append to one file, which has to be on a local file
// system. fail is called at most once, when recording stops early. Without a
// path it returns nil, a Recorder that records nothing.
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

// NewRecorder writes to out, whole lines at a time, and closes it in the end.
func NewRecorder(out io.WriteCloser, by string, fail func(error)) *Recorder {
	r := &Recorder{
		by:    by,
		began: time.Now(),
		mask:  mask{on: true},
		out:   out,
		done:  make(chan struct{}),
		wake:  make(chan struct{}, 1),
	}
	var once sync.Once
	r.fail = func(err error) { once.Do(func() { fail(err) }) }
	_, _ = rand.Read(r.mask.salt[:]) // crypto/rand.Read never fails
	r.add(Line{Header: &Header{Format: Format, Version: Version, StartedAt: r.began.UTC().Format(time.RFC3339)}})
	go r.write()
	return r
}

// Document records that a document was put into force.
func (r *Recorder) Document(id state.ServiceID, version state.DocumentVersion) {
	if r == nil {
		return
	}
	r.add(Line{At: r.at(time.Now()), Document: &Document{Service: id, Version: version}})
}

// Fault records what is done to the site, so that a reader of the trace finds
// the cause of what follows.
func (r *Recorder) Fault(kind, subject string) {
	if r == nil {
		return
	}
	r.add(Line{At: r.at(time.Now()), Fault: &Fault{Kind: kind, Subject: subject}})
}

// Expect records a stated outcome.
func (r *Recorder) Expect(e Expectation) {
	if r == nil {
		return
	}
	r.add(Line{Expect: &e})
}

// Run is the recording of one request. It belongs to the request's goroutine; a
// nil Run records nothing.
type Run struct {
	r      *Recorder
	number uint64
}

// Begin records a request's arrival.
func (r *Recorder) Begin(spec request.Spec) *Run {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	r.runs++
	run := &Run{r: r, number: r.runs}
	r.mu.Unlock()
	r.add(Line{At: r.at(time.Now()), Run: run.number, Request: requestLine(r.mask, spec, r.began)})
	return run
}

// Step records one step of the request's machine. It must be called before
// those actions are carried out whose results come back as events.
func (run *Run) Step(now time.Time, ev request.Event, actions []request.Action) {
	if run == nil {
		return
	}
	r := run.r
	r.add(Line{At: r.at(now), Run: run.number, Event: r.mask.event(ev, r.began), Actions: r.mask.actions(actions)})
}

// Close writes what is left.
func (r *Recorder) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.signal()
	<-r.done
}

func (r *Recorder) at(now time.Time) int64 {
	return int64(now.Sub(r.began))
}

func (r *Recorder) add(l Line) {
	l.Source = r.by
	text, err := json.Marshal(l)
	if err != nil {
		panic("trace: a line always encodes: " + err.Error())
	}
	r.mu.Lock()
	if !r.closing {
		r.lines = append(r.lines, append(text, '\n'))
	}
	full := !r.closing && len(r.lines) >= backlog
	r.closing = r.closing || full
	r.mu.Unlock()
	if full {
		r.fail(fmt.Errorf("%d lines wait for the file", backlog))
	}
	r.signal()
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns the lines that wait, and whether more may come.
func (r *Recorder) take() ([][]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := r.lines
	r.lines = nil
	return lines, !r.closing
}

// write is the recorder's goroutine. Each write call holds whole lines, so that
// the lines of several daemons don't mix.
func (r *Recorder) write() {
	defer close(r.done)
	defer func() { _ = r.out.Close() }()
	for more := true; more; {
		<-r.wake
		var lines [][]byte
		if lines, more = r.take(); len(lines) == 0 {
			continue
		}
		if _, err := r.out.Write(bytes.Join(lines, nil)); err != nil {
			r.stop(err)
			return
		}
		if more {
			time.Sleep(writeEvery)
		}
	}
}

// stop ends recording after the file failed.
func (r *Recorder) stop(err error) {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.fail(err)
}
