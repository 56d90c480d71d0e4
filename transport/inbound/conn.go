package inbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
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

// listener accepts connections whose read deadlines follow limits, and only so many that no
// more than a maximum are open.
type listener struct {
	net.Listener
	ports  *Ports
	open   *semaphore.Weighted // of open connections; nil for no maximum
	ctx    context.Context     // ends when the listener is closed
	cancel context.CancelFunc
}

// newListener returns a listener on l. maxConns is 0 for no maximum.
func newListener(l net.Listener, p *Ports, maxConns int) *listener {
	out := &listener{Listener: l, ports: p}
	if maxConns > 0 {
		out.open = semaphore.NewWeighted(int64(maxConns))
	}
	out.ctx, out.cancel = context.WithCancel(context.Background())
	return out
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.awaitRoom() {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	c := &conn{Conn: raw, port: l, opened: time.Now(), limits: l.ports.limits, memory: l.ports.memory}
	c.release = sync.OnceFunc(func() {
		l.ports.conns.remove(c)
		c.closed.Store(true)
		c.releaseHeader()
		l.release()
	})
	c.awaitHeader()
	l.ports.conns.add(c)
	return c, nil
}

// roomPoll is how often a port that is full looks for a connection that may be closed.
const roomPoll = 50 * time.Millisecond

// awaitRoom waits until one more connection may be open, and closes those whose callers are behind for it, else the
// oldest ones once they have an answer. It returns false if the listener is closed meanwhile.
//
// Guard (crowd-exhausts-process): callers that stop short, or send one request after the other, would keep all others
// out for as long as they like.
func (l *listener) awaitRoom() bool {
	if l.open == nil || l.open.TryAcquire(1) {
		return true
	}
	for l.ctx.Err() == nil {
		if onPort := func(c *conn) bool { return c.port == l }; l.ports.conns.closeBehind(onPort) == nil {
			l.ports.conns.endOldest(onPort)
		}
		ctx, cancel := context.WithTimeout(l.ctx, roomPoll)
		err := l.open.Acquire(ctx, 1)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

func (l *listener) release() {
	if l.open != nil {
		l.open.Release(1)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// conn replaces the read deadlines of net/http, which are fixed when a server starts.
// The server sets one deadline when a connection becomes idle and another one for each
// header.
type conn struct {
	net.Conn
	port       *listener
	limits     func() Limits
	release    func()      // ends the connection's share of the maximum and of the memory
	becameIdle atomic.Bool // the next deadline set is that of an idle connection

	opened time.Time
	// ending is set if the connection is to be closed once the current request, or the next one, is answered.
	ending atomic.Bool
	closed atomic.Bool
	memory *BodyMemory
	header headerMemory
	// bodyBytes is how much memory the body of the current request holds.
	bodyBytes atomic.Int64
	// behindSince is since when the daemon waits for the caller, in ns since 1970; 0 while it does not.
	behindSince atomic.Int64
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.chargeHeader(b[:n]) {
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// writeTimeout is how long a caller may take to read what fits into one write.
const writeTimeout = 30 * time.Second

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	defer c.await()()
	return c.Conn.Write(b)
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

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// CallerLeft reports whether the caller of a request has closed its connection. ctx is the
// request's context, which ends for the same reason, but later if the process is busy: net/http
// learns of the end in a goroutine that starts together with the request's handler.
func CallerLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := connOf(ctx)
	return c != nil && c.closedByCaller()
}

// closedByCaller reports whether the next read would return an error or the end of the
// connection. It takes no byte from the connection and does not wait.
func (c *conn) closedByCaller() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control does not wait for the pending read of net/http, as Read would.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = rerr == nil && n == 0 || errors.Is(rerr, syscall.ECONNRESET)
	})
	return err != nil || closed
}
