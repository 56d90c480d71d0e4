package peer

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
)

// heartbeat and heartbeatAck are the frames without content.
var (
	heartbeat    = plainFrame(peer.RoleHeartbeat)
	heartbeatAck = plainFrame(peer.RoleHeartbeatAck)
)

// plainFrame builds a frame of a role alone.
func plainFrame(role peer.Role) []byte {
	b, err := peer.AppendFrame(nil, peer.Envelope{Role: role}, nil, peer.MaxFrame)
	if err != nil {
		panic("peer: a frame without content can't be built: " + err.Error())
	}
	return b
}

// writeAll writes b and gives up with ErrSilent when no byte moves for patience.
func writeAll(conn net.Conn, b []byte, patience time.Duration) error {
	for len(b) > 0 {
		if err := conn.SetWriteDeadline(time.Now().Add(patience)); err != nil {
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
