package httpcall

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errSealed = errors.New("call was abandoned before its first byte was written")

// conn records what was written for the call that uses the connection. With HTTP/1.1
// one call at a time uses a connection, from httptrace's GotConn until the answer's
// body is read.
type conn struct {
	net.Conn
	progress atomic.Pointer[progress]

	mu      sync.Mutex
	pending int  // Write calls that have not returned
	written bool // the kernel accepted a byte of the current call
	sealed  bool // writes fail with errSealed
}

// assign gives the connection to a call.
func (c *conn) assign(p *progress) {
	c.progress.Store(p)
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// seal reports whether no byte of the current call was written, and if so makes all
// later writes fail. Otherwise a delayed write loop could send the call after it was
// reported as not sent, and the call would run although its caller relies on it not
// having run. net/http of Go 1.26 waits for its write loop before it reports a
// failure, but does not guarantee to.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written || c.pending > 0 {
		return false
	}
	c.sealed = true
	return true
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pending++
	c.mu.Unlock()

	n, err := c.Conn.Write(b)

	c.mu.Lock()
	c.pending--
	c.written = c.written || n > 0
	c.mu.Unlock()
	c.recordProgress(n)
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordProgress(n)
	return n, err
}

// recordProgress records that n bytes moved for the current call.
func (c *conn) recordProgress(n int) {
	if p := c.progress.Load(); p != nil && n > 0 {
		p.last.Store(int64(time.Since(p.start)))
	}
}

// progress records when a call's last byte moved.
type progress struct {
	start time.Time
	last  atomic.Int64 // nanoseconds after start
}

// idle returns the time since the last byte moved.
func (p *progress) idle() time.Duration {
	return time.Since(p.start) - time.Duration(p.last.Load())
}
