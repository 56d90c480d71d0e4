package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// MaxHeaderBytes bounds a request header. A configuration may set a lower limit,
	// which the handler enforces. 4,100 connections that each fill it hold 262 MB.
	MaxHeaderBytes = 64 << 10
	// minShutdownTimeout is how long in-flight requests may take at least to finish when the ports
	// are closed.
	minShutdownTimeout = 50 * time.Millisecond
	// callerDescriptorShare is the fraction of the process's file descriptors that
	// callers' connections may use. The rest is for backend servers (998 of them took
	// 995 connections), other daemons and the store: without that reserve a flood of
	// callers leaves no descriptors for the connections that serve their requests.
	callerDescriptorShare = 0.6
	// otherDescriptorShare is the same for each port that few connect to, such as that of the readiness check.
	otherDescriptorShare = 0.05
)

// Ports are a daemon's HTTP ports.
type Ports struct {
	limits    func() Limits
	memory    *BodyMemory
	conns     connections
	files     int // descriptors of the process; 0 for no bound
	servers   []*http.Server
	listeners []net.Listener
}

// New returns Ports without any open port. limits is called whenever a connection
// starts to wait for a header or becomes idle. descriptors is the process's file
// descriptor limit, 0 for none: connections beyond a port's share of it wait until
// another one of that port closes. Large headers take their memory from memory, and
// callers that are behind with a request or in reading its answer lose their
// connections where there is none left.
func New(limits func() Limits, descriptors int, memory *BodyMemory) *Ports {
	p := &Ports{limits: limits, memory: memory, files: descriptors, conns: connections{open: make(map[*conn]struct{})}}
	memory.reclaim = p.conns.reclaim
	return p
}

// Open listens on address, given as host:port, for callers' requests. Requests are served
// once Serve is called.
func (p *Ports) Open(address string, h http.Handler) error {
	return p.open(address, h, callerDescriptorShare)
}

// OpenOther is Open for a port that few connect to.
func (p *Ports) OpenOther(address string, h http.Handler) error {
	return p.open(address, h, otherDescriptorShare)
}

// open opens a port whose connections may use a share of the descriptors.
func (p *Ports) open(address string, h http.Handler, share float64) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listeners = append(p.listeners, newListener(l, p, int(share*float64(p.files))))
	p.servers = append(p.servers, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			connOf(r.Context()).serve(h, w, r)
		}),
		ReadHeaderTimeout: DefaultLimits.HeaderTimeout, // replaced by conn.SetReadDeadline
		IdleTimeout:       DefaultLimits.IdleTimeout,   // replaced by conn.SetReadDeadline
		MaxHeaderBytes:    MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*conn); ok && s == http.StateIdle {
				c.becameIdle.Store(true)
				c.awaitHeader()
			}
		},
	})
	return nil
}

// Serve serves all ports until Close. It returns the first error of a port.
func (p *Ports) Serve() error {
	var group errgroup.Group
	for i, s := range p.servers {
		group.Go(func() error {
			if err := s.Serve(p.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return group.Wait()
}

// Close closes the ports. In-flight requests get until deadline to finish, or minShutdownTimeout if
// that is later.
func (p *Ports) Close(deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), max(minShutdownTimeout, time.Until(deadline)))
	defer cancel()
	var closing sync.WaitGroup
	for _, s := range p.servers {
		closing.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // closes the remaining connections, answered or not
			}
		})
	}
	closing.Wait()
}
