package standin

import (
	"net"
	"sync/atomic"
)

// RawServer serves TCP connections with bytes that an HTTP server would not send.
type RawServer struct {
	listener net.Listener
	accepted atomic.Int32
}

// StartRawServer starts a server on a loopback port. serve is called for each connection, which is closed when it
// returns.
func StartRawServer(serve func(c *net.TCPConn)) (*RawServer, error) {
	ln, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return s, nil
}

// Address returns the server's address as host:port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Accepted returns how many connections the server has accepted.
func (s *RawServer) Accepted() int { return int(s.accepted.Load()) }

// Close stops accepting connections.
func (s *RawServer) Close() { _ = s.listener.Close() }
