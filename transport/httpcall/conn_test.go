package httpcall

import (
	"errors"
	"net"
	"testing"
	"time"
)

// A call is abandoned before its first byte and reported as not sent. A delayed write
// of it must not reach the server.
func TestSealedConnWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: near}
	c.assign(&progress{})
	if !c.seal() {
		t.Fatal("seal reports that a byte was written, but none was")
	}
	if err := near.SetWriteDeadline(time.Now()); err != nil { // so that a write that is not blocked fails too
		t.Fatal(err)
	}
	if n, err := c.Write([]byte("late")); n != 0 || !errors.Is(err, errSealed) {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
}
