package httpcall

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

var errSealed = errors.New("call was given up before its first byte")

// conn notes what was written for the call that has the connection. HTTP/1.1
// gives a connection to one call at a time, from httptrace's GotConn until the
// answer's body is read.
type conn struct {
	net.Conn
	progress atomic.Pointer[progress]

	mu      sync.Mutex
	pending int  // Write calls that have not returned
	written bool // a byte of the current call was taken by the kernel
	sealed  bool // no byte may be written any more
}

// begin hands the connection to a call.
func (c *conn) begin(p *progress) {
	c.progress.Store(p)
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// seal reports whether not one byte of the current call was written, and if so
// bars every later write. A write loop that comes too late could otherwise send
// the call after its caller was told that it never left: the call would run
// although it was reported as not run. net/http of Go 1.26 waits for its write
// loop before it reports a failure, but does not promise to.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written || c.pending > 0 {
		return false
	}
	c.sealed = true
	return true
}

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
	c.note(n)
	return n, err
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.note(n)
	return n, err
}

func (c *conn) note(n int) {
	if p := c.progress.Load(); p != nil && n > 0 {
		p.last.Store(int64(time.Since(p.start)))
	}
}

// progress is the time of a call's last byte, counted from its start.
type progress struct {
	start time.Time
	last  atomic.Int64
}

// idle is how long no byte moved.
func (p *progress) idle() time.Duration {
	return time.Since(p.start) - time.Duration(p.last.Load())
}
