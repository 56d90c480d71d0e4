package peer

import (
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// send queues a frame for the peer. A peer that does not read its answers is
// disconnected when the queue is full, so that they do not take up memory.
func (in *inbound) send(e peer.Envelope, body any) {
	in.mu.Lock()
	out, err := peer.AppendFrame(in.out, e, body, in.node.cfg.MaxFrame)
	if err == nil {
		in.out = out
	}
	full := len(in.out) > in.node.cfg.MaxQueuedBytes && !in.closing
	in.closing = in.closing || full
	in.mu.Unlock()
	switch {
	case err != nil:
		in.sendRefusal(peer.RoleFailure, e.Call, err.Error())
	case full:
		in.closeSlowReader()
	default:
		in.node.counters.sent.Inc(1)
		in.signal()
	}
}

// closeSlowReader closes the connection to a peer that reads too slowly.
func (in *inbound) closeSlowReader() {
	in.close()
	in.node.counters.inboundSlow.Inc(1)
	in.node.reportInboundError(in.conn, errSlowReader)
}

// signal wakes writeLoop.
func (in *inbound) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued frames until the connection ends.
func (in *inbound) writeLoop() {
	defer in.node.wg.Done()
	defer in.close()
	var buf []byte
	for {
		var last bool
		buf, last = in.swapOutput(buf[:0])
		if err := writeAll(in.conn, buf, in.node.cfg.ProgressTimeout); err != nil {
			return
		}
		if last {
			return
		}
		if len(buf) > 0 {
			continue
		}
		select {
		case <-in.wake:
		case <-in.ctx.Done():
			return
		}
	}
}

// swapOutput returns the frames to write and replaces them by an empty buffer. last
// reports that no further frames will be queued.
func (in *inbound) swapOutput(empty []byte) (buf []byte, last bool) {
	if cap(empty) > batchBytes {
		empty = nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	buf, in.out = in.out, empty
	if in.ackPending {
		in.ackPending = false
		buf = append(buf, heartbeatAck...)
	}
	return buf, in.closing
}
