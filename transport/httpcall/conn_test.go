package httpcall

import (
	"errors"
	"net"
	"testing"
	"time"
)

// A call was given up before its first byte and reported as not sent; a write
// that comes late must not reach the server.
func TestSealedConnWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: near}
	c.begin(&progress{})
	if !c.seal() {
		t.Fatal("nothing was written, but the connection says so")
	}
	if err := near.SetWriteDeadline(time.Now()); err != nil { // for a write that is let through
		t.Fatal(err)
	}
	if n, err := c.Write([]byte("late")); n != 0 || !errors.Is(err, errSealed) {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
}
