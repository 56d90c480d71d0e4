package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferSize fits a typical head and a few events: heads are under 1 KB, events
// under 100 bytes.
const bufferSize = 2048

// maxHeadBytes bounds what is read of a connection until the head of a call's answer is complete,
// without the bodies of skipped answers: usual heads have less than 1 KB.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that a server has sent maxHeadBytes and no complete head.
var errHeadTooLong = errors.New("head of the answer is too long")

// conn is one pooled connection to a server.
type conn struct {
	net.Conn
	pool        *Pool
	closed      atomic.Bool
	address     string
	reader      *bufio.Reader
	expiresAt   time.Time
	reused      bool
	wrote       atomic.Bool // the kernel accepted a byte of the current request
	last        sentRequest // the last request on the connection
	copyHasNoID bool        // a late copy of the response to the request before that bears no ID
	inHead      bool        // headLeft applies
	headLeft    int         // bytes that may still be read before the head is complete
}

func newConn(p *Pool, raw net.Conn, address string) *conn {
	p.open.Add(1)
	c := &conn{Conn: raw, pool: p, address: address}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// sentRequest is what is remembered of a request, to tell a late copy of its response from the
// response to the next one.
type sentRequest struct {
	hasID bool
	read  string // the target of a GET
}

func sentRequestOf(req *Request) sentRequest {
	out := sentRequest{hasID: req.ID != ""}
	if req.Method == http.MethodGet {
		out.read = req.Target
	}
	return out
}

// begin prepares the connection for its next request.
func (c *conn) begin(req *Request) {
	c.copyHasNoID = c.reused && !c.last.hasID
	c.last = sentRequestOf(req)
}

// mayCarry reports whether a request may go on the connection.
//
// Guard (late-copy-without-id): a request without an ID goes only on a connection whose last request
// had one, so that a late copy of the response to that can be told apart; or where it asks for the
// same as the last one did, so that the copy is an older answer to the same question.
func (c *conn) mayCarry(req *Request) bool {
	next := sentRequestOf(req)
	return next.hasID || c.last.hasID || next.read != "" && next.read == c.last.read
}

// Read implements net.Conn and ends a head that is too long.
func (c *conn) Read(b []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(b)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// Write implements net.Conn and records that bytes were sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote.Store(true)
	}
	return n, err
}

// healthy reports whether an idle connection is open and has no unread byte. Such a
// byte could not belong to any outstanding request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, rerr := syscall.Read(int(fd), one[:])
		open = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
