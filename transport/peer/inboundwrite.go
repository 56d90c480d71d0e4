package peer

import (
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// send queues a frame to the peer. A peer that does not read what it asked for
// loses its connection rather than take memory.
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
		in.refuse(peer.RoleFailure, e.Call, err.Error())
	case full:
		in.slowReader()
	default:
		in.node.counters.sent.Inc(1)
		in.signal()
	}
}

// slowReader ends the connection.
func (in *inbound) slowReader() {
	in.close()
	in.node.counters.inboundSlow.Inc(1)
	in.node.rejected(in.conn, errSlowReader)
}

// signal wakes the writing goroutine.
func (in *inbound) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// writeOut writes frames until the connection ends.
func (in *inbound) writeOut() {
	defer in.node.wg.Done()
	defer in.close()
	var buf []byte
	for {
		var last bool
		buf, last = in.takeOut(buf[:0])
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

// takeOut swaps the frames to write for an empty buffer. last says that no more
// will come.
func (in *inbound) takeOut(empty []byte) (buf []byte, last bool) {
	if cap(empty) > batchBytes {
		empty = nil
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	buf, in.out = in.out, empty
	if in.ackDue {
		in.ackDue = false
		buf = append(buf, heartbeatAck...)
	}
	return buf, in.closing
}
