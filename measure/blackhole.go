package measure

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// blackholeDialer dials connections that can be turned into black holes: data received
// or written is discarded, and neither end gets an error.
type blackholeDialer struct {
	mu    sync.Mutex
	conns []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	discarding atomic.Bool
}

func (bd *blackholeDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	mc := &blackholeConn{Conn: c}
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.conns = append(bd.conns, mc)
	return mc, nil
}

// client returns an HTTP client that uses the dialer.
func (bd *blackholeDialer) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: bd.dial, DisableCompression: true}}
}

// blackhole makes all current connections to one address discard data. New connections
// are not affected.
func (bd *blackholeDialer) blackhole(address string) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	for _, c := range bd.conns {
		if c.RemoteAddr().String() == address {
			c.discarding.Store(true)
		}
	}
}

// Read implements net.Conn.
func (c *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.discarding.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.discarding.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
