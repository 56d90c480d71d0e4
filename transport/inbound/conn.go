package inbound

import (
	"net"
	"sync/atomic"
	"time"
)

// Limits are the bounds of callers' connections. A zero field is Default's.
type Limits struct {
	HeaderTimeout time.Duration // for a whole header to arrive
	IdleTimeout   time.Duration // of a kept connection between two requests
}

// Default holds until a configuration names other bounds: those of the site that the
// first users run.
var DefaultLimits = Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// or replaces zero fields by those of d.
func (l Limits) or(d Limits) Limits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = d.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	return l
}

// listener gives out connections whose deadlines follow limits.
type listener struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// conn replaces the read deadlines of net/http, which are fixed when a server starts.
// The server sets one when a connection becomes idle, and another one for a header.
type conn struct {
	net.Conn
	limits func() Limits
	idle   atomic.Bool // it became idle: the next deadline is that of the wait
}

// SetReadDeadline implements net.Conn. None, or one in the past, which aborts a read,
// is left as it is.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits().or(DefaultLimits)
	if c.idle.Swap(false) {
		return c.Conn.SetReadDeadline(now.Add(limits.IdleTimeout))
	}
	return c.Conn.SetReadDeadline(now.Add(limits.HeaderTimeout))
}
