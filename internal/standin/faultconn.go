package standin

import (
	"net"
	"sync/atomic"
)

// faultListener hands out connections that can go silent.
type faultListener struct {
	net.Listener
	owner *endpoint
}

func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	fc := &faultConn{Conn: c, owner: l.owner}
	l.owner.mu.Lock()
	l.owner.conns[fc] = struct{}{}
	l.owner.mu.Unlock()
	return fc, nil
}

// faultConn is a connection that can go silent: what comes is read and thrown
// away, what is written goes nowhere, and neither end is told.
type faultConn struct {
	net.Conn
	owner  *endpoint
	silent atomic.Bool
}

func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *faultConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
