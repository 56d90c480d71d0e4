package exchange

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

const (
	// DialTimeout bounds connection establishment: links to backend servers answer
	// within milliseconds, and a lost SYN is retransmitted after 1 s.
	DialTimeout = 1200 * time.Millisecond
	// userTimeout closes a connection whose sent bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 32
	// defaultIdleTimeout is how long an idle connection is kept if the server sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is how much sooner than the server an idle connection is
	// closed, so that no request is sent while the server closes it.
	idleTimeoutMargin = 500 * time.Millisecond
	// sweepInterval is how often idle connections are checked that no request takes.
	sweepInterval = 2 * time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// Pool keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	open    atomic.Int64 // connections, idle or not
	maxOpen int64        // 0 for no limit

	mu   sync.Mutex
	idle map[string][]*conn // by address; most recently used last
	// sweeping is set while a sweep is due: as long as there are idle connections.
	sweeping bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if ctl := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		}); ctl != nil {
			return ctl
		}
		return err
	}}
	return p
}

// LimitOpen makes the pool close idle connections, to any server, where it would have more than a number of
// connections open with a new one. It is called before the pool is used.
func (p *Pool) LimitOpen(limit int) { p.maxOpen = int64(limit) }

// connFor returns the connection for a request. Its error wraps backend.ErrNotSent.
func (p *Pool) connFor(ctx context.Context, req *Request) (*conn, error) {
	if req.NewConn {
		return p.dial(ctx, req.Address)
	}
	return p.getConn(ctx, req)
}

// getConn returns a healthy idle connection for a request, or dials a new one. Its error wraps
// backend.ErrNotSent.
func (p *Pool) getConn(ctx context.Context, req *Request) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(req)
		if c == nil {
			break
		}
		if now.Before(c.expiresAt) && c.healthy() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, req.Address)
}

// dial establishes a new connection. Its error wraps backend.ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if p.maxOpen > 0 && p.open.Load() >= p.maxOpen {
		p.closeIdle()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Join(backend.ErrNotSent, backend.ErrRefused, err)
	}
	if err != nil {
		return nil, errors.Join(backend.ErrNotSent, err)
	}
	return newConn(p, httpanswer.NewConn(raw), address), nil
}

// closeIdle closes one idle connection, if there is one.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if len(list) > 0 {
			_ = list[0].Close() // the one that was used longest ago
			p.idle[address] = slices.Delete(list, 0, 1)
			return
		}
	}
}

// Connect establishes a new connection to a server and closes it.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// popIdle removes and returns the most recently used idle connection that may carry the request, or
// nil.
func (p *Pool) popIdle(req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[req.Address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; c.mayCarry(req) {
			p.idle[req.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle returns a connection to the pool, which keeps at most limit of them to
// one server; 0 means maxIdlePerServer.
func (p *Pool) putIdle(c *conn, keepAlive string, limit int) {
	c.expiresAt = time.Now().Add(idleTimeout(keepAlive))
	p.add(c, limit)
}

// putUnused returns a connection on which no request was sent. Only the answers on an
// earlier request say how long the server keeps it: a new one is closed.
func (p *Pool) putUnused(c *conn, limit int) {
	if !c.reused {
		_ = c.Close()
		return
	}
	p.add(c, limit)
}

// add adds an idle connection, or closes it if the pool has limit of them to its server.
func (p *Pool) add(c *conn, limit int) {
	if limit <= 0 || limit > maxIdlePerServer {
		limit = maxIdlePerServer
	}
	p.mu.Lock()
	full := len(p.idle[c.address]) >= limit
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	if !full && !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// idleTimeout returns the timeout of a Keep-Alive header less idleTimeoutMargin, at
// most defaultIdleTimeout.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil {
				return min(time.Duration(s)*time.Second-idleTimeoutMargin, defaultIdleTimeout)
			}
		}
	}
	return defaultIdleTimeout
}

// sweep closes the idle connections that have expired, and those to servers that have closed theirs.
//
// Guard (connections-of-ended-servers): connections to a server that no request is sent to any more
// would be kept for ever, and their descriptors with them.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		open := closeIf(list, func(c *conn) bool { return !now.Before(c.expiresAt) })
		if len(open) > 0 && !open[0].healthy() { // the server has ended, or closes those used longest ago
			open = closeIf(open, func(c *conn) bool { return !c.healthy() })
		}
		p.idle[address] = open
		if len(open) == 0 {
			delete(p.idle, address)
		}
	}
	p.sweeping = len(p.idle) > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// closeIf closes the connections of a list for which done is true, and returns the others.
func closeIf(list []*conn, done func(*conn) bool) []*conn {
	return slices.DeleteFunc(list, func(c *conn) bool {
		if !done(c) {
			return false
		}
		_ = c.Close()
		return true
	})
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
