package exchange

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

const (
	// DialTimeout bounds the making of a connection: links to backend servers
	// answer within milliseconds, and a lost first packet is sent again after 1 s.
	DialTimeout = 1200 * time.Millisecond
	// userTimeout ends a connection whose bytes nobody confirms.
	userTimeout = 2 * time.Second
	// maxIdle bounds the kept connections to one server.
	maxIdle = 32
	// keepFor is how long an idle connection is kept where the server names no
	// time of its own.
	keepFor = 20 * time.Second
	// keepMargin is how much sooner than the server we give up an idle connection,
	// so that no request crosses its close.
	keepMargin = 500 * time.Millisecond
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// Pool keeps connections to servers. Its methods may be called by many goroutines.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // the last one used at the end
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

// take returns a kept connection that is still good, or makes a new one. The error
// is backend.ErrNotSent.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.keepUntil) && c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(backend.ErrNotSent, err)
	}
	return newConn(raw, address), nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request, up to a number of them; 0 for maxIdle.
func (p *Pool) put(c *conn, keepAlive string, most int) {
	if most <= 0 || most > maxIdle {
		most = maxIdle
	}
	c.keepUntil = time.Now().Add(keptFor(keepAlive))
	p.mu.Lock()
	full := len(p.idle[c.address]) >= most
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// keptFor reads the time of a Keep-Alive header, less a margin.
func keptFor(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil {
				return min(time.Duration(s)*time.Second-keepMargin, keepFor)
			}
		}
	}
	return keepFor
}

// Forget closes the kept connections to a server, as when it has ended.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all kept connections.
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
