package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const proxyBufferBytes = 32 << 10

// Direction is a direction of data through a Proxy.
type Direction int

// The values of Direction.
const (
	ToServer Direction = iota
	ToClient
)

// Proxy forwards TCP connections to one address and can inject the faults of a network
// between two daemons.
type Proxy struct {
	target   string
	listener net.Listener

	mu        sync.Mutex
	conns     map[*proxyConn]struct{}
	refuse    bool
	delay     time.Duration
	drop      [2]bool          // applies to new connections too
	hold      [2]chan struct{} // closed on release of the direction; nil when not held
	heldConns int
	closed    chan struct{}

	bytes [2]atomic.Int64
}

// proxyConn is one forwarded connection.
type proxyConn struct {
	client, server net.Conn
	blackholed     [2]atomic.Bool
}

// StartProxy starts a proxy from a loopback port to target, given as host:port.
func StartProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, conns: make(map[*proxyConn]struct{}), closed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the proxy's address as host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	if p.listener.Close() != nil {
		return // closed before
	}
	close(p.closed)
	p.CloseConnections()
}

// CloseConnections closes every open connection at both ends.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}

// Refuse makes the proxy close new connections at once while on.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Delay delays every chunk of data by d, in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Drop makes all connections, including new ones, drop the data of one direction until
// it is called with false. Dropped data is not delivered later.
func (p *Proxy) Drop(dir Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop[dir] = on
}

// Hold holds back the data of one direction until it is called with false, and then
// delivers it.
func (p *Proxy) Hold(dir Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.hold[dir] == nil:
		p.hold[dir] = make(chan struct{})
	case !on && p.hold[dir] != nil:
		close(p.hold[dir])
		p.hold[dir] = nil
	}
}

// HeldConnections returns the number of connection directions with data held back.
func (p *Proxy) HeldConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldConns
}

// BlackholeConnections makes the open connections drop all further data in both
// directions without closing them. New connections work.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.blackholed[ToServer].Store(true)
		conn.blackholed[ToClient].Store(true)
	}
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Bytes returns the number of bytes forwarded in one direction.
func (p *Proxy) Bytes(dir Direction) int64 {
	return p.bytes[dir].Load()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()

	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(conn, server, client, ToServer) })
	wg.Go(func() { p.copyDirection(conn, client, server, ToClient) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

// copyDirection copies the data of one direction until one end closes, then closes both.
func (p *Proxy) copyDirection(conn *proxyConn, to io.Writer, from io.Reader, dir Direction) {
	defer func() {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		delay, swallow := p.chunkFault(dir)
		time.Sleep(delay)
		p.awaitRelease(dir)
		if swallow || conn.blackholed[dir].Load() {
			continue
		}
		p.bytes[dir].Add(int64(n))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// chunkFault returns the faults to apply to a chunk of one direction.
func (p *Proxy) chunkFault(dir Direction) (delay time.Duration, swallow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, p.drop[dir]
}

// awaitRelease waits while a direction is held.
func (p *Proxy) awaitRelease(dir Direction) {
	p.mu.Lock()
	hold := p.hold[dir]
	if hold == nil {
		p.mu.Unlock()
		return
	}
	p.heldConns++
	p.mu.Unlock()
	select {
	case <-hold:
	case <-p.closed:
	}
	p.mu.Lock()
	p.heldConns--
	p.mu.Unlock()
}
