// Package freeport finds loopback addresses for tests that listen on them later.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports that the system gives to outgoing connections begin at 32768. A port that
// it picked itself may be taken by any connection before it is listened on; one
// below is only taken by whoever asks for it by number.
const (
	firstPort = 12000
	lastPort  = 32000
	tries     = 100
)

var errNoPort = errors.New("no free port found")

var (
	mu    sync.Mutex
	given = make(map[int]bool)
)

// Address returns a loopback address, host:port, that nothing listens on, and not
// the same twice in one process.
func Address() (string, error) {
	for range tries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !claim(port) {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // another process has it
		}
		return address, l.Close()
	}
	return "", errNoPort
}

// claim reports whether a port is given out for the first time.
func claim(port int) bool {
	mu.Lock()
	defer mu.Unlock()
	if given[port] {
		return false
	}
	given[port] = true
	return true
}
