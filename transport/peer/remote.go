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

// Bounds of the wait between two attempts to reach an address.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// errDial marks a connection that was not made.
var errDial = errors.New("dial")

// remote is one address that this daemon sends to: its queue, its outstanding
// calls and the goroutine that keeps its connection.
type remote struct {
	node    *Node
	address string
	wake    chan struct{} // holds one token while there may be work

	mu       sync.Mutex
	queue    queue
	calls    map[uint64]*call
	retired  bool
	failures int       // attempts in a row without an answering connection
	retryAt  time.Time // until then messages fail at once with lastErr
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

// enqueue takes f. It is false when the remote retired; the error is NotSent.
func (r *remote) enqueue(f frame) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retired {
		return false, nil
	}
	// While the address can't be reached a message would only grow old here:
	// whoever sends it knows better what to do instead.
	if !r.retryAt.IsZero() && time.Now().Before(r.retryAt) {
		r.node.counters.dropped.Inc(1)
		return false, markNotSent(r.lastErr)
	}
	if f.call != nil {
		f.call.remote = r
		r.calls[f.call.number] = f.call
	}
	r.drop(r.queue.push(f), ErrDropped)
	r.signal()
	return true, nil
}

// signal gives the remote's goroutine another turn.
func (r *remote) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// drop ends frames that never left. r.mu is held.
func (r *remote) drop(frames []frame, err error) {
	for _, f := range frames {
		r.node.counters.dropped.Inc(1)
		if f.call != nil {
			r.finish(f.call, result{err: markNotSent(err)})
		}
	}
}

// finish gives c its result, unless it has one. r.mu is held.
func (r *remote) finish(c *call, res result) {
	if r.calls[c.number] != c {
		return
	}
	delete(r.calls, c.number)
	c.done <- res
}

// answered gives the call of a number its result. A number that is not known is
// that of a call whose caller no longer waits.
func (r *remote) answered(number uint64, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.calls[number]; ok {
		r.finish(c, res)
	}
}

// abandon ends a call whose caller no longer waits.
func (r *remote) abandon(c *call, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.written {
		r.queue.remove(c)
		err = markNotSent(err)
	}
	r.finish(c, result{err: err})
}

// take appends queued frames to buf, up to about limit bytes, and counts them as
// written: from here on it can't be told what of them left.
func (r *remote) take(buf []byte, limit int) []byte {
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

// owed reports whether calls wait for their answers.
func (r *remote) owed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls) > 0
}

// run keeps the connection until the remote is unused for long or the Node
// closes.
func (r *remote) run() {
	defer r.node.wg.Done()
	defer r.node.forget(r)
	for r.awaitWork() {
		conn, err := r.dial()
		if err != nil {
			r.ended(false, fmt.Errorf("%w: %w: %w", ErrUnreachable, errDial, err))
			continue
		}
		s := newSession(r, conn)
		err = s.run()
		_ = conn.Close()
		<-s.readDone
		r.ended(s.answered.Load(), err)
	}
}

// awaitWork waits for a message. It is false when the remote is to end.
func (r *remote) awaitWork() bool {
	idle := time.NewTimer(r.node.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		r.mu.Lock()
		waiting := r.queue.len() > 0
		r.mu.Unlock()
		if waiting && r.node.ctx.Err() == nil {
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

// retire ends the remote for good. Without an error it is false while there is
// work.
func (r *remote) retire(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.queue.len() > 0 {
		return false
	}
	r.retired = true
	r.drop(r.queue.drain(), err)
	return true
}

// dial makes a connection.
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

// ended settles what a connection, or the attempt to make one, leaves behind.
// answered says that the peer sent something on it: the address works, and what
// is queued goes out on the next connection at once.
func (r *remote) ended(answered bool, err error) {
	if errors.Is(err, errIdle) {
		return
	}
	if !answered && !errors.Is(err, ErrUnreachable) {
		err = fmt.Errorf("%w that answers: %w", ErrUnreachable, err)
	}
	r.report(err)
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
	r.drop(r.queue.drain(), err)
}

// report tells the daemon and the counters how a connection ended.
func (r *remote) report(err error) {
	if errors.Is(err, ErrNodeClosed) {
		return
	}
	r.node.counters.fault(err)
	switch {
	case errors.Is(err, errDial):
		r.node.counters.dialFailures.Inc(1)
	case errors.Is(err, ErrUnresponsive):
		r.node.counters.silent.Inc(1)
	default:
		r.node.counters.lost.Inc(1)
	}
	if r.node.cfg.OnConnectionLost != nil {
		r.node.cfg.OnConnectionLost(r.address, err)
	}
}

// backoff is the wait after so many failures, with jitter so that daemons that
// lost one peer do not come back to it together.
func backoff(failures int) time.Duration {
	d := maxBackoff
	if shift := failures - 1; shift < 5 {
		d = min(d, firstBackoff<<shift)
	}
	return d/2 + rand.N(d/2)
}
