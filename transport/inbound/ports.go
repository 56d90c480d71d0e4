package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
)

const (
	// MaxHeader bounds a header, in bytes. A configuration may allow less, which is
	// the handler's to refuse. 4,100 connections that each fill it hold 262 MB.
	MaxHeaderBytes = 64 << 10
	// closeWait is how long answers under way have when the ports are closed.
	closeWait = 50 * time.Millisecond
	// callersShare is the part of a process's descriptors that callers may take. The
	// rest is for backend servers, of which 998 took 995 connections, other daemons and
	// the store: without it a flood of callers leaves none to answer them by.
	callersShare = 0.6
)

// Ports are a daemon's HTTP ports.
type Ports struct {
	limits  func() Limits
	most    int // connections at one port; 0 for no bound
	servers []*http.Server
	ports   []net.Listener
}

// New returns no ports yet. limits is asked whenever a connection begins to wait.
// descriptors is how many the process may have open, 0 for no bound: connections
// beyond a port's part wait until one of it ends.
func New(limits func() Limits, descriptors int) *Ports {
	return &Ports{limits: limits, most: int(callersShare * float64(descriptors))}
}

// Open listens on address, host:port. Requests are served from Serve on.
func (p *Ports) Open(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if p.most > 0 {
		l = netutil.LimitListener(l, p.most)
	}
	p.ports = append(p.ports, &listener{Listener: l, limits: p.limits})
	p.servers = append(p.servers, &http.Server{
		Handler:           h,
		ReadHeaderTimeout: DefaultLimits.HeaderTimeout, // see conn
		IdleTimeout:       DefaultLimits.IdleTimeout,   // see conn
		MaxHeaderBytes:    MaxHeaderBytes,
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*conn); ok && s == http.StateIdle {
				c.idle.Store(true)
			}
		},
	})
	return nil
}

// Serve serves all ports until Close. Its error is that of a port that failed.
func (p *Ports) Serve() error {
	var all errgroup.Group
	for i, s := range p.servers {
		all.Go(func() error {
			if err := s.Serve(p.ports[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return all.Wait()
}

// Close closes the ports, and what is under way after a moment.
func (p *Ports) Close() {
	for _, s := range p.servers {
		ctx, cancel := context.WithTimeout(context.Background(), closeWait)
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // its connections end here, answered or not
		}
		cancel()
	}
}
