package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Errors that end a peer's connection.
var (
	errSlowSender         = errors.New("peer sends too slowly")
	errSlowReader         = errors.New("peer reads too slowly")
	errTooManyConnections = errors.New("too many connections")
)

// acceptRetry is the delay after a failed accept, for example when the process is out
// of file descriptors.
const acceptRetry = 50 * time.Millisecond

// accept accepts connections until the listener closes.
func (n *Node) accept(l net.Listener) {
	defer n.wg.Done()
	for {
		conn, err := l.Accept()
		if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(acceptRetry)
			continue
		}
		n.admit(conn)
	}
}

// admit serves a connection unless there are too many.
func (n *Node) admit(conn net.Conn) {
	in := newInbound(n, conn)
	n.mu.Lock()
	full := len(n.inbound) >= n.cfg.MaxInbound
	if full || n.closed {
		n.mu.Unlock()
		if full {
			n.counters.inboundRefused.Inc(1)
			n.reportInboundError(conn, errTooManyConnections)
		}
		in.close()
		return
	}
	n.inbound[in] = struct{}{}
	n.wg.Add(2)
	n.mu.Unlock()
	go in.serve()
	go in.writeLoop()
}

// reportInboundError counts a frame error and calls OnInboundError.
func (n *Node) reportInboundError(conn net.Conn, err error) {
	n.counters.countFrameFault(err)
	if n.cfg.OnInboundError != nil {
		n.cfg.OnInboundError(conn.RemoteAddr(), err)
	}
}

// inbound is one connection that a peer made. One goroutine reads, one writes, and each
// call runs in its own.
type inbound struct {
	node      *Node
	conn      net.Conn
	ctx       context.Context // ends with the connection
	cancel    context.CancelFunc
	callSlots chan struct{} // semaphore for calls in progress

	mu         sync.Mutex
	out        []byte // frames to write
	ackPending bool   // a heartbeat is unanswered; one ack answers all
	closing    bool   // close the connection once out is written
	wake       chan struct{}
}

func newInbound(n *Node, conn net.Conn) *inbound {
	ctx, cancel := context.WithCancel(n.ctx)
	return &inbound{
		node:      n,
		conn:      countedConn{Conn: conn, counters: n.counters},
		ctx:       ctx,
		cancel:    cancel,
		callSlots: make(chan struct{}, n.cfg.MaxCalls),
		wake:      make(chan struct{}, 1),
	}
}

// close closes the connection at once.
func (in *inbound) close() {
	in.cancel()
	_ = in.conn.Close()
}

// serve handles frames until the connection ends. A frame that can't be decoded ends
// it, because the start of the next one is unknown. The reason is sent to the peer.
func (in *inbound) serve() {
	defer in.node.wg.Done()
	err := in.readFrames()
	switch {
	case errors.Is(err, io.EOF), in.ctx.Err() != nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		in.node.counters.inboundSlow.Inc(1)
		in.node.reportInboundError(in.conn, errSlowSender)
	default:
		in.node.reportInboundError(in.conn, err)
		in.sendRefusal(peer.RoleBye, 0, err.Error())
	}
	in.mu.Lock()
	in.closing = true
	in.mu.Unlock()
	in.signal()
	in.node.mu.Lock()
	delete(in.node.inbound, in)
	in.node.mu.Unlock()
}

// readFrames handles the peer's hello and then its other frames. Each read has a
// timeout, so that a peer that disappeared without closing its connection, or sends a
// frame byte by byte, keeps its connection only for a limited time.
func (in *inbound) readFrames() error {
	r := peer.NewReader(in.conn, in.node.cfg.MaxFrame)
	e, err := in.next(r, in.node.cfg.HelloTimeout)
	if err != nil {
		return err
	}
	if e.Role != peer.RoleHello {
		return peer.NewFrameError(peer.FaultRole, "the first frame is no hello")
	}
	from, err := decodeHello(e)
	if err != nil {
		return err
	}
	in.send(peer.Envelope{Role: peer.RoleHello}, peer.Hello{From: in.node.cfg.Self})
	for {
		e, err := in.next(r, in.node.cfg.InboundIdleTimeout)
		if err != nil {
			return err
		}
		if err := in.handleFrame(from, e); err != nil {
			return err
		}
	}
}

// next reads a frame that must begin within idle and arrive completely within
// FrameTimeout after that.
func (in *inbound) next(r *peer.Reader, idle time.Duration) (peer.Envelope, error) {
	if !r.Ready() {
		if err := in.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return peer.Envelope{}, err
		}
		if err := r.Wait(); err != nil {
			return peer.Envelope{}, err
		}
		if err := in.conn.SetReadDeadline(time.Now().Add(in.node.cfg.FrameTimeout)); err != nil {
			return peer.Envelope{}, err
		}
	}
	return r.Next()
}

// handleFrame handles one frame of the peer.
func (in *inbound) handleFrame(from state.Member, e peer.Envelope) error {
	switch e.Role {
	case peer.RoleHeartbeat:
		in.mu.Lock()
		in.ackPending = true
		in.mu.Unlock()
		in.signal()
		return nil
	case peer.RoleSend, peer.RoleCall:
		in.node.counters.received.Inc(1)
		msg, err := in.node.cfg.Registry.Decode(e)
		if err != nil {
			return err
		}
		if e.Role == peer.RoleCall {
			in.handleCall(from, e.Call, e.Timeout, msg)
			return nil
		}
		if in.node.cfg.Handler.HandleMessage != nil {
			in.node.cfg.Handler.HandleMessage(from, msg)
		}
		return nil
	default:
		return peer.NewFrameError(peer.FaultRole, fmt.Sprintf("role %d from the connecting side", e.Role))
	}
}

// handleCall runs a call, or refuses it if too many are in progress.
func (in *inbound) handleCall(from state.Member, number uint64, timeout uint32, msg any) {
	handle := in.node.cfg.Handler.HandleCall
	if handle == nil {
		in.sendRefusal(peer.RoleRefusal, number, "calls are not taken here")
		return
	}
	select {
	case in.callSlots <- struct{}{}:
	default:
		in.node.counters.refusedCalls.Inc(1)
		in.sendRefusal(peer.RoleRefusal, number, "too many calls in work")
		return
	}
	go func() {
		ctx, cancel := in.ctx, context.CancelFunc(func() {})
		if timeout > 0 {
			ctx, cancel = context.WithTimeout(in.ctx, time.Duration(timeout)*time.Millisecond)
		}
		defer cancel()
		answer, err := handle(ctx, from, msg)
		<-in.callSlots // before the answer, after which the caller may make its next call
		if err != nil {
			in.sendRefusal(peer.RoleFailure, number, err.Error())
			return
		}
		in.sendAnswer(number, answer)
	}()
}

// sendAnswer sends the answer to a call.
func (in *inbound) sendAnswer(number uint64, msg any) {
	k, ok := in.node.cfg.Registry.KindOf(msg)
	if !ok {
		in.sendRefusal(peer.RoleFailure, number, fmt.Sprintf("%v: %T", ErrUnregistered, msg))
		return
	}
	in.send(peer.Envelope{Role: peer.RoleAnswer, Kind: k, Call: number}, msg)
}

// sendRefusal sends a refusal, a failure or the end of the connection with its reason.
func (in *inbound) sendRefusal(role peer.Role, number uint64, detail string) {
	in.send(peer.Envelope{Role: role, Call: number}, peer.Refusal{Detail: detail})
}
