package peer

import (
	"net"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// counters are the transport's own.
type counters struct {
	sent, received           tally.Counter // messages, calls and answers
	sentBytes, receivedBytes tally.Counter
	heartbeats               tally.Counter
	dropped                  tally.Counter // messages that were never sent
	opened                   tally.Counter // connections made
	dialFailures             tally.Counter
	silent                   tally.Counter // connections given up as silent
	lost                     tally.Counter // connections that ended with another error
	unanswered               tally.Counter // calls of which it is not known whether they were handled
	refusedCalls             tally.Counter // calls refused here, over MaxCalls
	inboundRefused           tally.Counter // connections over MaxInbound
	inboundSlow              tally.Counter // connections whose peer sent or read too slowly
	faults                   map[peer.Fault]tally.Counter
}

func newCounters(s tally.Scope) *counters {
	s = s.SubScope("peer")
	c := &counters{
		sent:           s.Counter("sent"),
		received:       s.Counter("received"),
		sentBytes:      s.Counter("sent_bytes"),
		receivedBytes:  s.Counter("received_bytes"),
		heartbeats:     s.Counter("heartbeats"),
		dropped:        s.Counter("dropped"),
		opened:         s.Counter("connections_opened"),
		dialFailures:   s.Counter("dial_failures"),
		silent:         s.Counter("silent_connections"),
		lost:           s.Counter("lost_connections"),
		unanswered:     s.Counter("unanswered_calls"),
		refusedCalls:   s.Counter("refused_calls"),
		inboundRefused: s.Counter("inbound_refused"),
		inboundSlow:    s.Counter("inbound_slow"),
		faults:         make(map[peer.Fault]tally.Counter),
	}
	for _, f := range peer.Faults() {
		c.faults[f] = s.Tagged(map[string]string{"fault": string(f)}).Counter("bad_frames")
	}
	return c
}

// fault counts err if it is a *peer.FrameError.
func (c *counters) fault(err error) {
	if f, ok := peer.FaultOf(err); ok {
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
