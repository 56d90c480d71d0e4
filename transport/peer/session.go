package peer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// batchBytes is how much is taken from the queue for one write.
const batchBytes = 64 << 10

// session is one connection to a remote. Its fields belong to the remote's
// goroutine but for those that the reading goroutine sets.
type session struct {
	remote *remote
	node   *Node
	conn   net.Conn
	buf    []byte
	watch  watch

	heard    atomic.Int64 // when a frame last came, in nanoseconds after began
	answered atomic.Bool  // a frame came at all
	began    time.Time
	readErr  chan error
	readDone chan struct{}
}

func newSession(r *remote, conn net.Conn) *session {
	now := time.Now()
	return &session{
		remote: r, node: r.node, conn: conn,
		watch: newWatch(&r.node.cfg, now), began: now,
		readErr:  make(chan error, 1),
		readDone: make(chan struct{}),
	}
}

// run writes what is queued, until the connection fails, falls silent or is
// unused.
func (s *session) run() error {
	go s.read()
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
		wait, err := s.look()
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

// flush writes a part of what is queued, and asks for another turn where it was
// not all: the watch has its look in between.
func (s *session) flush() error {
	if cap(s.buf) > 2*batchBytes {
		s.buf = nil
	}
	s.buf = s.remote.take(s.buf[:0], batchBytes)
	if len(s.buf) == 0 {
		return nil
	}
	s.watch.wrote(time.Now(), s.heardAt())
	return s.write(s.buf)
}

// write sends b. A degraded link may take long over it as long as bytes move;
// none within SilentAfter is a silent connection whose buffer is full.
func (s *session) write(b []byte) error {
	err := writeAll(s.conn, b, s.node.cfg.ProgressTimeout)
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrClosed, err)
}

// heardAt is when a frame last came, or the session began.
func (s *session) heardAt() time.Time {
	return s.began.Add(time.Duration(s.heard.Load()))
}

// look sends a heartbeat when one is due and returns how long to wait before the
// next look, or the error that ends the connection.
func (s *session) look() (time.Duration, error) {
	probe, wait, err := s.watch.look(time.Now(), s.heardAt(), s.remote.owed())
	if err != nil || !probe {
		return wait, err
	}
	s.node.counters.heartbeats.Inc(1)
	return wait, s.write(heartbeat)
}

// read takes frames until the connection ends.
func (s *session) read() {
	defer close(s.readDone)
	s.readErr <- s.readAll()
}

func (s *session) readAll() error {
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
		s.heard.Store(int64(time.Since(s.began)))
		s.answered.Store(true)
		if err := s.frame(from, e); err != nil {
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
	}
}

// frame takes one frame of the peer.
func (s *session) frame(from state.Member, e peer.Envelope) error {
	switch e.Role {
	case peer.RoleHello, peer.RoleHeartbeatAck:
		return nil
	case peer.RoleAnswer:
		s.node.counters.received.Inc(1)
		msg, err := s.node.cfg.Registry.Decode(e)
		if err != nil {
			return err
		}
		s.remote.answered(e.Call, result{answer: Answer{From: from, Msg: msg}})
		return nil
	case peer.RoleRefusal, peer.RoleFailure, peer.RoleBye:
		return s.refusal(e)
	default:
		return peer.NewFrameError(peer.FaultRole, fmt.Sprintf("role %d from the accepting side", e.Role))
	}
}

// refusal takes a frame that says why something was not done.
func (s *session) refusal(e peer.Envelope) error {
	var r peer.Refusal
	if err := peer.DecodeBody(e.Body, &r); err != nil {
		return err
	}
	switch e.Role {
	case peer.RoleRefusal:
		s.remote.answered(e.Call, result{err: &RefusedError{Detail: r.Detail}})
	case peer.RoleFailure:
		s.remote.answered(e.Call, result{err: &FailedError{Detail: r.Detail}})
	default:
		return fmt.Errorf("peer said: %s", r.Detail)
	}
	return nil
}

// decodeHello reads a hello's body.
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
