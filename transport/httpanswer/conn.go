package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection on which a request is written while its answer is read. Read returns
// io.EOF only if the other side has ended its direction, and otherwise the failure of the connection,
// also if that was reported to a Write.
//
// Guard (reset-during-upload): the kernel reports a reset to one call only. After a Write has received
// it, a Read ends without an error, and a part of an answer without a length looks complete.
type Conn struct {
	net.Conn

	writing sync.Mutex
	failure error // of the connection, which the kernel has reported to a Write
}

// NewConn returns a Conn for a TCP connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialer returns a function that establishes connections as d does, for http.Transport.
func Dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	// EPIPE shows no new failure: it was reported before, or the other side had ended its direction.
	if errno := syscall.Errno(0); errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. Once it has returned io.EOF, Writes fail.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	return n, err
}

// endError returns the failure that was reported to a Write, or io.EOF. A Write that waits for the other
// side is ended, so that a complete answer is not delayed by a server that no longer reads.
func (c *Conn) endError() error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}
