package peer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// batchBytes bounds what is taken from the queue for one write, up to the end of its
// last frame, and what is passed to one Write call.
const batchBytes = 64 << 10

// session is one connection to a remote. Its fields are owned by the remote's
// goroutine, except for those that readLoop sets.
type session struct {
	remote  *remote
	node    *Node
	conn    net.Conn
	buf     []byte
	monitor livenessMonitor

	lastReceived atomic.Int64 // when a frame was last received, in nanoseconds after startTime
	receivedAny  atomic.Bool  // at least one frame was received
	startTime    time.Time
	readErr      chan error
	readDone     chan struct{}
}

func newSession(r *remote, conn net.Conn) *session {
	now := time.Now()
	return &session{
		remote: r, node: r.node, conn: conn,
		monitor: newLivenessMonitor(&r.node.cfg, now), startTime: now,
		readErr:  make(chan error, 1),
		readDone: make(chan struct{}),
	}
}

// run writes queued frames until the connection fails, is unresponsive or has been
// unused for IdleTimeout.
func (s *session) run() error {
	go s.readLoop()
	hello, err := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleHello},
		peer.Hello{From: s.node.cfg.Self}, s.node.cfg.MaxFrame)
	if err != nil {
		return err
	}
	if err := s.write(hello); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := s.flush(); err != nil {
			return err
		}
		wait, err := s.checkLiveness()
		if err != nil {
			return err
		}
		timer.Reset(wait)
		select {
		case <-s.remote.wake:
		case <-timer.C:
		case err := <-s.readErr:
			return err
		case <-s.node.ctx.Done():
			return ErrNodeClosed
		}
	}
}

// flush writes one batch of queued frames. If more are queued, takeFrames has signaled
// the remote, so that run checks liveness before the next batch.
func (s *session) flush() error {
	if cap(s.buf) > 2*batchBytes {
		s.buf = nil
	}
	s.buf = s.remote.takeFrames(s.buf[:0], batchBytes)
	if len(s.buf) == 0 {
		return nil
	}
	s.monitor.recordWrite(time.Now(), s.lastReceivedAt())
	return s.write(s.buf)
}

// write sends b. A degraded link may take long as long as bytes move; if none is
// written within ProgressTimeout, the connection is unresponsive and its buffer full.
func (s *session) write(b []byte) error {
	err := writeAll(s.conn, b, s.node.cfg.ProgressTimeout)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrClosed, err)
}

// lastReceivedAt returns when a frame was last received, or else the session's start.
func (s *session) lastReceivedAt() time.Time {
	return s.startTime.Add(time.Duration(s.lastReceived.Load()))
}

// checkLiveness sends a heartbeat if one is due. It returns the time until the next
// check, or the error that ends the connection.
func (s *session) checkLiveness() (time.Duration, error) {
	probe, wait, err := s.monitor.check(time.Now(), s.lastReceivedAt(), s.remote.hasOutstandingCalls())
	if err != nil || !probe {
		return wait, err
	}
	s.node.counters.heartbeats.Inc(1)
	return wait, s.write(heartbeat)
}

// readLoop handles frames until the connection ends and reports its error.
func (s *session) readLoop() {
	defer close(s.readDone)
	s.readErr <- s.readFrames()
}

// readFrames handles frames until one fails.
func (s *session) readFrames() error {
	r := peer.NewReader(s.conn, s.node.cfg.MaxFrame)
	var from state.Member
	for {
		e, err := r.Next()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
		if e.Role == peer.RoleHello {
			if from, err = decodeHello(e); err != nil {
				return fmt.Errorf("%w: %w", ErrClosed, err)
			}
		}
		s.lastReceived.Store(int64(time.Since(s.startTime)))
		s.receivedAny.Store(true)
		if err := s.handleFrame(from, e); err != nil {
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
	}
}

// handleFrame handles one frame of the peer.
func (s *session) handleFrame(from state.Member, e peer.Envelope) error {
	switch e.Role {
	case peer.RoleHello, peer.RoleHeartbeatAck:
		return nil
	case peer.RoleAnswer:
		s.node.counters.received.Inc(1)
		msg, err := s.node.cfg.Registry.Decode(e)
		if err != nil {
			return err
		}
		s.remote.completeCall(e.Call, result{answer: Answer{From: from, Msg: msg}})
		return nil
	case peer.RoleRefusal, peer.RoleFailure, peer.RoleBye:
		return s.handleRefusal(e)
	default:
		return peer.NewFrameError(peer.FaultRole, fmt.Sprintf("role %d from the accepting side", e.Role))
	}
}

// handleRefusal handles a refusal, a failure or the end of the connection, each of
// which has a reason.
func (s *session) handleRefusal(e peer.Envelope) error {
	var r peer.Refusal
	if err := peer.DecodeBody(e.Body, &r); err != nil {
		return err
	}
	switch e.Role {
	case peer.RoleRefusal:
		s.remote.completeCall(e.Call, result{err: &RefusedError{Detail: r.Detail}})
	case peer.RoleFailure:
		s.remote.completeCall(e.Call, result{err: &FailedError{Detail: r.Detail}})
	default:
		return fmt.Errorf("peer closed the connection: %s", r.Detail)
	}
	return nil
}

// decodeHello decodes a hello frame and returns its sender.
func decodeHello(e peer.Envelope) (state.Member, error) {
	var h peer.Hello
	if err := peer.DecodeBody(e.Body, &h); err != nil {
		return state.Member{}, err
	}
	if h.From.ID == "" {
		return state.Member{}, peer.NewFrameError(peer.FaultMsgpack, "a hello names no daemon")
	}
	return h.From, nil
}
