package measure

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// muter makes connections of callers that can fall silent: what comes on them is
// thrown away, what is written goes nowhere, and neither end is told.
type muter struct {
	mu    sync.Mutex
	conns []*muteConn
}

type muteConn struct {
	net.Conn
	silent atomic.Bool
}

func (m *muter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	mc := &muteConn{Conn: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, mc)
	return mc, nil
}

// client is one whose connections the muter holds.
func (m *muter) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: m.dial, DisableCompression: true}}
}

// silence mutes the connections of this moment to one address; new ones work.
func (m *muter) silence(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c.RemoteAddr().String() == address {
			c.silent.Store(true)
		}
	}
}

// Read implements net.Conn.
func (c *muteConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *muteConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
