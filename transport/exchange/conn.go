package exchange

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferSize holds a usual head and a few events: heads are under 1 KB, events
// under 100 bytes.
const bufferSize = 2048

// conn is one connection to a server.
type conn struct {
	net.Conn
	address   string
	in        *bufio.Reader
	keepUntil time.Time
	reused    bool
	wrote     atomic.Bool // a byte of the present request was taken by the kernel
}

func newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, address: address}
	c.in = bufio.NewReaderSize(raw, bufferSize)
	return c
}

// Write notes that bytes left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote.Store(true)
	}
	return n, err
}

// quiet reports whether an idle connection is open and carries no byte. Any byte
// would belong to no request of ours.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
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
