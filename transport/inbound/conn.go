package inbound

import (
	"net"
	"sync/atomic"
	"time"
)

// Limits are the timeouts of callers' connections. A zero field takes the value of
// DefaultLimits.
type Limits struct {
	HeaderTimeout time.Duration // for a complete header to arrive
	IdleTimeout   time.Duration // of a keep-alive connection between two requests
}

// DefaultLimits apply until a configuration sets others. They are those of the first
// users' site.
var DefaultLimits = Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// withDefaults replaces zero fields by those of d.
func (l Limits) withDefaults(d Limits) Limits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = d.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	return l
}

// listener accepts connections whose read deadlines follow limits.
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
// The server sets one deadline when a connection becomes idle and another one for each
// header.
type conn struct {
	net.Conn
	limits     func() Limits
	becameIdle atomic.Bool // the next deadline set is that of an idle connection
}

// SetReadDeadline implements net.Conn. A zero deadline, or one in the past, which
// aborts a read, is set as given.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits().withDefaults(DefaultLimits)
	if c.becameIdle.Swap(false) {
		return c.Conn.SetReadDeadline(now.Add(limits.IdleTimeout))
	}
	return c.Conn.SetReadDeadline(now.Add(limits.HeaderTimeout))
}
