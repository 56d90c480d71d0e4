package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Node is one daemon's end of the transport. Its methods may be called by many
// goroutines at once.
type Node struct {
	cfg      Config
	counters *counters

	ctx  context.Context // ends with Close
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	remotes   map[string]*remote
	inbound   map[*inbound]struct{}
	listeners []net.Listener
}

// New returns a Node that sends, and receives once Listen or Serve is called.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		cfg:      cfg,
		counters: newCounters(cfg.Scope),
		ctx:      ctx,
		stop:     stop,
		remotes:  make(map[string]*remote),
		inbound:  make(map[*inbound]struct{}),
	}
}

// Listen starts to take peers' connections at an IP address and port, and
// returns the address with the port that it got.
func (n *Node) Listen(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer transport can't listen: %w", err)
	}
	n.Serve(l)
	return l.Addr(), nil
}

// Serve starts to take peers' connections from l, which the Node closes.
func (n *Node) Serve(l net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = l.Close()
		return
	}
	n.listeners = append(n.listeners, l)
	n.wg.Add(1)
	go n.accept(l)
}

// Close ends all connections and waits for the Node's goroutines but those of
// Called; it must not be called by Received. Messages that still wait are
// dropped.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for in := range n.inbound {
		in.close()
	}
	n.mu.Unlock()
	n.stop()
	n.wg.Wait()
}

// Send queues msg, a struct of the Registry, for the daemon at an IP address and
// port. It never blocks. A nil error says that it was queued and no more; an
// error is NotSent.
func (n *Node) Send(to string, msg any) error {
	b, err := n.encode(peer.Envelope{Role: peer.RoleSend}, msg)
	if err != nil {
		return markNotSent(err)
	}
	return n.enqueue(to, frame{bytes: b})
}

// Answer is a peer's answer to a call.
type Answer struct {
	From state.Member
	Msg  any
}

// Call sends msg and waits for the answer. See the package for what an error
// proves.
func (n *Node) Call(ctx context.Context, to string, msg any) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, markNotSent(err)
	}
	c := newCall(ctx)
	b, err := n.encode(peer.Envelope{Role: peer.RoleCall, Call: c.number, Timeout: c.timeout}, msg)
	if err != nil {
		return Answer{}, markNotSent(err)
	}
	if err := n.enqueue(to, frame{bytes: b, call: c}); err != nil {
		return Answer{}, err
	}
	select {
	case r := <-c.done:
		return r.answer, n.counted(r.err)
	case <-ctx.Done():
	}
	c.remote.abandon(c, ctx.Err())
	r := <-c.done
	return r.answer, n.counted(r.err)
}

// counted counts a call's error when it leaves the outcome open.
func (n *Node) counted(err error) error {
	var failed *FailedError
	if err != nil && !Unhandled(err) && !errors.As(err, &failed) {
		n.counters.unanswered.Inc(1)
	}
	return err
}

// encode builds msg's frame.
func (n *Node) encode(e peer.Envelope, msg any) ([]byte, error) {
	k, ok := n.cfg.Registry.KindOf(msg)
	if !ok {
		return nil, fmt.Errorf("%w: %T", ErrUnregistered, msg)
	}
	e.Kind = k
	return peer.AppendFrame(nil, e, msg, n.cfg.MaxFrame)
}

// enqueue hands f to the remote of an address.
func (n *Node) enqueue(to string, f frame) error {
	for {
		r, err := n.remote(to)
		if err != nil {
			return markNotSent(err)
		}
		// A remote that retired just now has left the table.
		if ok, err := r.enqueue(f); ok || err != nil {
			return err
		}
	}
}

// remote returns the remote of an address and makes it where there is none.
func (n *Node) remote(to string) (*remote, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrNodeClosed
	}
	r, ok := n.remotes[to]
	if !ok {
		r = newRemote(n, to)
		n.remotes[to] = r
		n.wg.Add(1)
		go r.run()
	}
	return r, nil
}

// forget takes a retired remote out of the table.
func (n *Node) forget(r *remote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remotes[r.address] == r {
		delete(n.remotes, r.address)
	}
}
