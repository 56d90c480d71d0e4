package inbound

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// usualBodyBytes is the size up to which a body counts as usual.
	usualBodyBytes = 64 << 10
	// largeBodyShare is the fraction of the memory that larger bodies may take together. The rest
	// is left for usual ones.
	largeBodyShare = 0.9
	// firstBodyBytes is what is taken first for a body whose length is not stated.
	firstBodyBytes = 4 << 10
)

var errNoMemory = errors.New("no memory for the body")

// BodyMemory bounds the bytes that the bodies and the large headers of all requests hold together. It is
// safe for concurrent use.
//
// Guard (bodies-exceed-memory): requests that are each within their limits would together exceed the
// memory of the process, which is then ended with all requests that it holds.
type BodyMemory struct {
	limit int64 // bytes; 0 for no limit
	mu    sync.Mutex
	used  int64
	// reclaim makes room for a number of bytes at the cost of callers that are behind, as far as there
	// are any, and reports whether it did; nil if it can't.
	reclaim func(bytes int64) bool
}

// NewBodyMemory returns a BodyMemory of a number of bytes, 0 for no limit.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

const (
	// reclaimTimeout is how long the memory of callers that gave way may take to be free.
	reclaimTimeout = 100 * time.Millisecond
	reclaimPoll    = 2 * time.Millisecond
)

// take takes more bytes for a body or header that has total bytes then, and reports whether there were so
// many. It makes room if there are not.
func (m *BodyMemory) take(more, total int64) bool {
	if m.tryTake(more, total) {
		return true
	}
	if m.reclaim == nil || !m.reclaim(more) {
		return false
	}
	for until := time.Now().Add(reclaimTimeout); time.Now().Before(until); time.Sleep(reclaimPoll) {
		if m.tryTake(more, total) {
			return true
		}
	}
	return false
}

func (m *BodyMemory) tryTake(more, total int64) bool {
	limit := m.limit
	if total > usualBodyBytes {
		limit = int64(largeBodyShare * float64(limit))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.used+more > limit {
		return false
	}
	m.used += more
	return true
}

func (m *BodyMemory) giveBack(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// bodyBuffer is the body of one request.
type bodyBuffer struct {
	memory *BodyMemory
	conn   *conn // on which it arrives, or nil
	taken  int64
	data   []byte
}

// release gives the memory back. Further calls have no effect.
func (b *bodyBuffer) release() {
	b.memory.giveBack(b.taken)
	b.conn.holds(0)
	b.taken, b.data = 0, nil
}

// readFrom reads a body of the stated length, -1 if that is not known.
func (b *bodyBuffer) readFrom(r io.Reader, length int64) error {
	if length >= 0 {
		if !b.grow(length) {
			return errNoMemory
		}
		b.data = b.data[:length]
		_, err := io.ReadFull(r, b.data)
		return err
	}
	for {
		if len(b.data) == cap(b.data) && !b.grow(max(firstBodyBytes, 2*int64(cap(b.data)))) {
			return errNoMemory
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow makes room for a number of bytes and reports whether there was memory for it.
func (b *bodyBuffer) grow(size int64) bool {
	if !b.memory.take(size-b.taken, size) {
		return false
	}
	b.taken = size
	b.conn.holds(size)
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}
