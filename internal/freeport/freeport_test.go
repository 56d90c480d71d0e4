package freeport_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
)

// A daemon under test fails to listen on its port when the port comes from the
// system's range for outgoing connections and such a connection takes it first.
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
			t.Fatalf("port %s is in the range for outgoing connections", port)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
