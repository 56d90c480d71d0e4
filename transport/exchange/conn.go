package exchange

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferSize fits a typical head and a few events: heads are under 1 KB, events
// under 100 bytes.
const bufferSize = 2048

// conn is one pooled connection to a server.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	expiresAt time.Time
	reused    bool
	wrote     atomic.Bool // the kernel accepted a byte of the current request
}

func newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, address: address}
	c.reader = bufio.NewReaderSize(raw, bufferSize)
	return c
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
