package freeport_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
)

// A daemon under test can't open its port. Cause: the port was picked by the system
// from those of outgoing connections, and one took it before the daemon started.
func TestAddressIsNotOneOfOutgoingConnections(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		address, err := freeport.Address()
		if err != nil {
			t.Fatal(err)
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n >= 32768 {
			t.Fatalf("port %s is one of outgoing connections", port)
		}
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}
