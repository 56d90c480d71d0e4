// Package freeport finds free loopback addresses for tests that listen on them later.
package freeport

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// The system assigns ports from 32768 up to outgoing connections, so that any
// connection may take such a port before a test listens on it. A lower port is taken
// only by a process that requests it by number.
const (
	firstPort   = 12000
	lastPort    = 32000
	maxAttempts = 100
)

var errNoPort = errors.New("no free port found")

var (
	mu   sync.Mutex
	used = make(map[int]bool)
)

// Address returns a loopback address, host:port, on which no process listens. It does
// not return the same address twice within a process.
func Address() (string, error) {
	for range maxAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !claim(port) {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another process
		}
		return address, l.Close()
	}
	return "", errNoPort
}

// claim marks a port as used and reports whether it was unused before.
func claim(port int) bool {
	mu.Lock()
	defer mu.Unlock()
	if used[port] {
		return false
	}
	used[port] = true
	return true
}
