package standin

import (
	"net"
	"sync/atomic"
)

// faultListener accepts connections that can be blackholed.
type faultListener struct {
	net.Listener
	parent *endpoint
}

func (l *faultListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.parent.awaitLink()
	fc := &faultConn{Conn: c, parent: l.parent}
	l.parent.mu.Lock()
	l.parent.conns[fc] = struct{}{}
	l.parent.mu.Unlock()
	return fc, nil
}

// faultConn is a connection that can be blackholed: received and written data is
// dropped without an error at either end.
type faultConn struct {
	net.Conn
	parent     *endpoint
	blackholed atomic.Bool
}

func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

func (c *faultConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultConn) Close() error {
	c.parent.mu.Lock()
	delete(c.parent.conns, c)
	c.parent.mu.Unlock()
	return c.Conn.Close()
}
