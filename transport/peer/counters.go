package peer

import (
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// counters are the transport's metrics.
type counters struct {
	sent, received           tally.Counter // messages, calls and answers
	sentBytes, receivedBytes tally.Counter
	heartbeats               tally.Counter
	dropped                  tally.Counter // messages that were never sent
	opened                   tally.Counter // connections made
	dialFailures             tally.Counter
	unresponsive             tally.Counter // connections closed as unresponsive
	lost                     tally.Counter // connections that ended with another error
	unanswered               tally.Counter // calls of which it is not known whether they were handled
	refusedCalls             tally.Counter // calls refused here, over MaxCalls
	inboundRefused           tally.Counter // connections over MaxInbound
	inboundSlow              tally.Counter // connections whose peer sent or read too slowly
	broken                   tally.Counter // frames that could not be decoded; faults counts them by cause
	faults                   map[peer.Fault]tally.Counter
}

func newCounters(s tally.Scope) *counters {
	c := &counters{
		sent:           s.Counter("peer_sent_total"),
		received:       s.Counter("peer_received_total"),
		sentBytes:      s.Counter("peer_sent_bytes_total"),
		receivedBytes:  s.Counter("peer_received_bytes_total"),
		heartbeats:     s.Counter("peer_heartbeats_total"),
		dropped:        s.Counter("peer_dropped_total"),
		opened:         s.Counter("peer_connections_opened_total"),
		dialFailures:   s.Counter("peer_dial_failures_total"),
		unresponsive:   s.Counter("peer_silent_connections_total"),
		lost:           s.Counter("peer_lost_connections_total"),
		unanswered:     s.Counter("peer_unanswered_calls_total"),
		refusedCalls:   s.Counter("peer_refused_calls_total"),
		inboundRefused: s.Counter("peer_inbound_refused_total"),
		inboundSlow:    s.Counter("peer_inbound_slow_total"),
		broken:         s.Counter("broken_frames_total"),
		faults:         make(map[peer.Fault]tally.Counter),
	}
	for _, f := range peer.Faults() {
		c.faults[f] = s.Tagged(map[string]string{"fault": string(f)}).Counter("peer_frame_faults_total")
	}
	return c
}

// countFrameFault counts err if it is a *peer.FrameError.
func (c *counters) countFrameFault(err error) {
	if f, ok := peer.FaultOf(err); ok {
		c.broken.Inc(1)
		c.faults[f].Inc(1)
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.receivedBytes.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sentBytes.Inc(int64(n))
	return n, err
}
