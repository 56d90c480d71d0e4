package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const proxyBuffer = 32 << 10

// Direction is one way through a Proxy.
type Direction int

// The values of Direction.
const (
	ToServer Direction = iota
	ToClient
)

// Proxy forwards TCP connections to one address and can spoil them as a
// network between two daemons would.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	pairs   map[*proxyPair]struct{}
	refuse  bool
	delay   time.Duration
	swallow [2]bool          // of new connections too
	hold    [2]chan struct{} // closed when the direction is let go; nil when free
	held    int
	closed  chan struct{}

	bytes [2]atomic.Int64
}

// proxyPair is one forwarded connection.
type proxyPair struct {
	client, server net.Conn
	silent         [2]atomic.Bool
}

// StartProxy forwards a loopback port to target, given as host:port.
func StartProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, pairs: make(map[*proxyPair]struct{}), closed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens, as host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	if p.listener.Close() != nil {
		return // closed before
	}
	close(p.closed)
	p.CloseConnections()
}

// Cut closes every connection of this moment at both ends.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		_ = pair.client.Close()
		_ = pair.server.Close()
	}
}

// Refuse closes new connections at once.
func (p *Proxy) Refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = on
}

// Delay holds every chunk of bytes back for d, in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Swallow makes all connections, also new ones, lose what goes in one
// direction, until it is called with false. What was lost stays lost.
func (p *Proxy) Drop(dir Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.swallow[dir] = on
}

// Hold keeps what goes in one direction back until it is called with false; it
// is delivered then.
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

// Held counts the connections with bytes that are kept back.
func (p *Proxy) HeldConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// SilenceConnections makes the connections of this moment carry nothing any
// more in either direction, without closing them; new ones work.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.silent[ToServer].Store(true)
		pair.silent[ToClient].Store(true)
	}
}

// Connections counts the open connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pairs)
}

// Bytes counts what was forwarded in one direction.
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
	pair := &proxyPair{client: client, server: server}
	p.mu.Lock()
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()

	var ways sync.WaitGroup
	ways.Go(func() { p.pump(pair, server, client, ToServer) })
	ways.Go(func() { p.pump(pair, client, server, ToClient) })
	ways.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// pump copies one direction until an end closes, then closes both.
func (p *Proxy) pump(pair *proxyPair, to io.Writer, from io.Reader, dir Direction) {
	defer func() {
		_ = pair.client.Close()
		_ = pair.server.Close()
	}()
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		delay, swallow := p.spoil(dir)
		time.Sleep(delay)
		p.awaitRelease(dir)
		if swallow || pair.silent[dir].Load() {
			continue
		}
		p.bytes[dir].Add(int64(n))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// spoil says what happens to a chunk that goes in one direction.
func (p *Proxy) spoil(dir Direction) (delay time.Duration, swallow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, p.swallow[dir]
}

// awaitRelease waits while a direction is held.
func (p *Proxy) awaitRelease(dir Direction) {
	p.mu.Lock()
	hold := p.hold[dir]
	if hold == nil {
		p.mu.Unlock()
		return
	}
	p.held++
	p.mu.Unlock()
	select {
	case <-hold:
	case <-p.closed:
	}
	p.mu.Lock()
	p.held--
	p.mu.Unlock()
}
