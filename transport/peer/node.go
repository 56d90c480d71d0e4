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

// Node is one daemon's endpoint of the transport. It is safe for concurrent use.
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

// New returns a Node that can send, and receives once Listen or Serve is called.
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

// Listen starts to accept peers' connections at an IP address and port, and returns
// the address with the actual port.
func (n *Node) Listen(address string) (net.Addr, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer transport can't listen: %w", err)
	}
	n.Serve(l)
	return l.Addr(), nil
}

// Serve starts to accept peers' connections from l, which the Node closes.
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

// Close closes all connections and waits for the Node's goroutines except those of
// HandleCall. It must not be called by HandleMessage. Queued messages are dropped.
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

// Send queues msg, whose type must be in the Registry, for the daemon at an IP address
// and port. It never blocks. A nil error means only that the message was queued. For a
// non-nil error NotSent reports true.
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

// Call sends msg and waits for the answer. The package documentation says what an
// error proves.
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
		return r.answer, n.countUnanswered(r.err)
	case <-ctx.Done():
	}
	c.remote.abandon(c, ctx.Err())
	r := <-c.done
	return r.answer, n.countUnanswered(r.err)
}

// countUnanswered counts err if it leaves unknown whether a call was handled, and
// returns it.
func (n *Node) countUnanswered(err error) error {
	var failed *FailedError
	if err != nil && !Unhandled(err) && !errors.As(err, &failed) {
		n.counters.unanswered.Inc(1)
	}
	return err
}

// encode encodes a frame with msg as its body.
func (n *Node) encode(e peer.Envelope, msg any) ([]byte, error) {
	k, ok := n.cfg.Registry.KindOf(msg)
	if !ok {
		return nil, fmt.Errorf("%w: %T", ErrUnregistered, msg)
	}
	e.Kind = k
	return peer.AppendFrame(nil, e, msg, n.cfg.MaxFrame)
}

// enqueue queues f at the remote of an address.
func (n *Node) enqueue(to string, f frame) error {
	for {
		r, err := n.remote(to)
		if err != nil {
			return markNotSent(err)
		}
		// A remote that has just retired is no longer in the table.
		if ok, err := r.enqueue(f); ok || err != nil {
			return err
		}
	}
}

// remote returns the remote of an address and creates it if there is none.
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

// removeRemote removes a retired remote from the table.
func (n *Node) removeRemote(r *remote) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remotes[r.address] == r {
		delete(n.remotes, r.address)
	}
}
