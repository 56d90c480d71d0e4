package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Bounds of the backoff between two attempts to reach an address.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// errDial marks errors of connections that could not be made.
var errDial = errors.New("dial")

// remote is one address that this daemon sends to: its queue, its outstanding calls
// and the goroutine that maintains its connection.
type remote struct {
	node    *Node
	address string
	wake    chan struct{} // has a buffer of one; holds a signal while there may be work

	mu       sync.Mutex
	queue    queue
	calls    map[uint64]*call
	retired  bool
	failures int       // consecutive attempts without a connection that answers
	retryAt  time.Time // messages fail at once with lastErr until then
	lastErr  error
}

func newRemote(n *Node, address string) *remote {
	return &remote{
		node:    n,
		address: address,
		wake:    make(chan struct{}, 1),
		queue:   queue{maxFrames: n.cfg.MaxQueuedMessages, maxBytes: n.cfg.MaxQueuedBytes},
		calls:   make(map[uint64]*call),
	}
}

// enqueue queues f. It returns false without an error if the remote has retired. Its
// error is marked as not sent.
func (r *remote) enqueue(f frame) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retired {
		return false, nil
	}
	// While the address is unreachable a queued message would only become stale. Its
	// sender can choose an alternative if it fails at once.
	if !r.retryAt.IsZero() && time.Now().Before(r.retryAt) {
		r.node.counters.dropped.Inc(1)
		return false, markNotSent(r.lastErr)
	}
	if f.call != nil {
		f.call.remote = r
		r.calls[f.call.number] = f.call
	}
	r.dropFrames(r.queue.push(f), ErrDropped)
	r.signal()
	return true, nil
}

// signal wakes the remote's goroutine.
func (r *remote) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dropFrames fails frames that were never sent. The caller holds r.mu.
func (r *remote) dropFrames(frames []frame, err error) {
	for _, f := range frames {
		r.node.counters.dropped.Inc(1)
		if f.call != nil {
			r.finish(f.call, result{err: markNotSent(err)})
		}
	}
}

// finish delivers the result of c, unless it has one already. The caller holds r.mu.
func (r *remote) finish(c *call, res result) {
	if r.calls[c.number] != c {
		return
	}
	delete(r.calls, c.number)
	c.done <- res
}

// completeCall delivers the result of the call with the given number. An unknown
// number belongs to a call whose caller no longer waits.
func (r *remote) completeCall(number uint64, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.calls[number]; ok {
		r.finish(c, res)
	}
}

// abandon ends a call whose caller no longer waits and marks it as not sent if that is
// certain.
func (r *remote) abandon(c *call, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.written {
		r.queue.remove(c)
		err = markNotSent(err)
	}
	r.finish(c, result{err: err})
}

// takeFrames appends queued frames to buf until it holds limit bytes or more, and marks
// their calls as written: from here on it is unknown which bytes were sent.
func (r *remote) takeFrames(buf []byte, limit int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.queue.len() > 0 && len(buf) < limit {
		f := r.queue.pop()
		if f.call != nil {
			f.call.written = true
		}
		buf = append(buf, f.bytes...)
		r.node.counters.sent.Inc(1)
	}
	if r.queue.len() > 0 {
		r.signal()
	}
	return buf
}

// hasOutstandingCalls reports whether calls wait for their answers.
func (r *remote) hasOutstandingCalls() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls) > 0
}

// run maintains the connection until the remote has been unused for IdleTimeout or the
// Node closes.
func (r *remote) run() {
	defer r.node.wg.Done()
	defer r.node.removeRemote(r)
	for r.waitForWork() {
		conn, err := r.dial()
		if err != nil {
			r.connectionEnded(false, fmt.Errorf("%w: %w: %w", ErrUnreachable, errDial, err))
			continue
		}
		s := newSession(r, conn)
		err = s.run()
		_ = conn.Close()
		<-s.readDone
		r.connectionEnded(s.receivedAny.Load(), err)
	}
}

// waitForWork waits until a message is queued. It returns false once the remote has
// retired.
func (r *remote) waitForWork() bool {
	idle := time.NewTimer(r.node.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		r.mu.Lock()
		queued := r.queue.len() > 0
		r.mu.Unlock()
		if queued && r.node.ctx.Err() == nil {
			return true
		}
		select {
		case <-r.wake:
		case <-idle.C:
			if r.retire(nil) {
				return false
			}
			idle.Reset(r.node.cfg.IdleTimeout)
		case <-r.node.ctx.Done():
			r.retire(ErrNodeClosed)
			return false
		}
	}
}

// retire marks the remote as unusable and drops its queue. Without an error it does
// nothing and returns false if messages are queued.
func (r *remote) retire(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.queue.len() > 0 {
		return false
	}
	r.retired = true
	r.dropFrames(r.queue.drain(), err)
	return true
}

// dial makes a connection that counts its bytes.
func (r *remote) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(r.node.ctx, r.node.cfg.DialTimeout)
	defer cancel()
	conn, err := r.node.cfg.Dial(ctx, r.address)
	if err != nil {
		return nil, err
	}
	r.node.counters.opened.Inc(1)
	return countedConn{Conn: conn, counters: r.node.counters}, nil
}

// connectionEnded handles the end of a connection, or of an attempt to make one: it
// fails the calls that were written. If the peer sent a frame on it (answered), the
// address works and queued messages are sent on the next connection at once; else they
// are dropped and the remote backs off.
func (r *remote) connectionEnded(answered bool, err error) {
	if errors.Is(err, errUnused) {
		return
	}
	if !answered && !errors.Is(err, ErrUnreachable) {
		err = fmt.Errorf("%w: no frame received: %w", ErrUnreachable, err)
	}
	r.reportConnectionEnd(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if c.written {
			r.finish(c, result{err: err})
		}
	}
	if answered {
		r.failures, r.retryAt = 0, time.Time{}
		return
	}
	r.failures++
	r.lastErr = err
	r.retryAt = time.Now().Add(backoff(r.failures))
	r.dropFrames(r.queue.drain(), err)
}

// reportConnectionEnd counts the end of a connection and calls OnConnectionLost.
func (r *remote) reportConnectionEnd(err error) {
	if errors.Is(err, ErrNodeClosed) {
		return
	}
	r.node.counters.countFrameFault(err)
	switch {
	case errors.Is(err, errDial):
		r.node.counters.dialFailures.Inc(1)
	case errors.Is(err, ErrUnresponsive):
		r.node.counters.unresponsive.Inc(1)
	default:
		r.node.counters.lost.Inc(1)
	}
	if r.node.cfg.OnConnectionLost != nil {
		r.node.cfg.OnConnectionLost(r.address, err)
	}
}

// backoff returns the delay after a number of consecutive failures, with jitter so that
// daemons that lost the same peer do not reconnect to it at the same time.
func backoff(failures int) time.Duration {
	d := maxBackoff
	if shift := failures - 1; shift < 5 {
		d = min(d, firstBackoff<<shift)
	}
	return d/2 + rand.N(d/2)
}
