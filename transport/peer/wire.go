package peer

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// Frames without a body.
var (
	heartbeat    = emptyFrame(peer.RoleHeartbeat)
	heartbeatAck = emptyFrame(peer.RoleHeartbeatAck)
)

// emptyFrame encodes a frame without a body.
func emptyFrame(role peer.Role) []byte {
	b, err := peer.AppendFrame(nil, peer.Envelope{Role: role}, nil, peer.MaxFrame)
	if err != nil {
		panic("peer: can't encode a frame without a body: " + err.Error())
	}
	return b
}

// writeAll writes b. It fails with ErrUnresponsive if no byte is written for timeout.
func writeAll(conn net.Conn, b []byte, timeout time.Duration) error {
	for len(b) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		n, err := conn.Write(b[:min(len(b), batchBytes)])
		b = b[n:]
		if err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return ErrUnresponsive
		}
		return err
	}
	return nil
}
