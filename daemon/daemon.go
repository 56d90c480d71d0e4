package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

// Daemon is one router process.
type Daemon struct {
	set     settings.Settings
	self    state.Member
	owner   uint32 // tells this life of this daemon from all others
	log     *telemetry.Log
	metrics *telemetry.Metrics

	recorder *trace.Recorder // nil where nothing is recorded

	table     platform.Table
	instances platform.Instances
	clients   *clients

	askTimeout time.Duration // of one question to a backend server

	requests *requests
	control  *control
	current  atomic.Pointer[view]

	peers  net.Listener
	caller net.Listener
	node   *peer.Node
	server *http.Server

	drainOnce sync.Once
	killOnce  sync.Once
	kill      chan struct{} // closed when the daemon ends
	done      chan struct{} // closed when everything has ended
}

// New provisions a daemon from checked settings and opens its ports. It serves
// nothing before Run.
func New(set settings.Settings, log *telemetry.Log) (*Daemon, error) {
	return newFrom(provide(set, log))
}

// newFrom builds a daemon from what the injector provides.
func newFrom(i do.Injector) (*Daemon, error) {
	set := do.MustInvoke[settings.Settings](i)
	life := newLife()
	d := &Daemon{
		set:        set,
		self:       state.Member{ID: set.ID, Incarnation: state.Incarnation(time.Now().UnixNano())},
		owner:      uint32(xxhash.Sum64String(string(set.ID) + "/" + life)),
		log:        do.MustInvoke[*telemetry.Log](i).With(telemetry.Daemon(set.ID)),
		metrics:    do.MustInvoke[*telemetry.Metrics](i),
		table:      do.MustInvoke[platform.Table](i),
		instances:  do.MustInvoke[platform.Instances](i),
		clients:    do.MustInvoke[*clients](i),
		askTimeout: set.Backends.ProgressTimeout.Std(),
		requests:   newRequests(),
		kill:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	d.current.Store(&view{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.record(life); err != nil {
		return nil, err
	}
	d.node = peer.New(peer.Config{
		Self:             d.self,
		Registry:         newRegistry(),
		Handler:          peer.Handler{HandleMessage: d.received, HandleCall: d.called},
		OnConnectionLost: d.connectionLost,
		OnInboundError:   d.peerRejected,
		Scope:            d.metrics.Scope(),
	})
	d.control = newControl(d)
	options := front.Options{Metrics: d.metrics.Handler(), Scope: d.metrics.Scope()}
	d.server = front.NewServer(front.New(d, options), options)
	return d, nil
}

// newLife names this life of a daemon, unlike any other's.
func newLife() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}

// listen opens the ports for callers and peers.
func (d *Daemon) listen() error {
	caller, err := net.Listen("tcp", d.set.CallerAddress)
	if err != nil {
		return fmt.Errorf("caller_address %s: %w", d.set.CallerAddress, err)
	}
	peers, err := net.Listen("tcp", d.set.PeerAddress)
	if err != nil {
		_ = caller.Close()
		return fmt.Errorf("peer_address %s: %w", d.set.PeerAddress, err)
	}
	d.caller, d.peers = caller, peers
	return nil
}

// Run begins to serve and returns at once; Done tells the end.
func (d *Daemon) Run() {
	d.node.Serve(d.peers)
	go func() { _ = d.server.Serve(d.caller) }()
	go func() {
		d.control.run()
		d.node.Close()
		d.recorder.Close()
		_ = d.metrics.Close()
		close(d.done)
	}()
	d.log.Emit(telemetry.EventDaemonStarted, telemetry.Address(d.callerAdvertise()))
}

// CallerAddress is where callers connect, host:port.
func (d *Daemon) CallerAddress() string { return d.caller.Addr().String() }

// PeerAddress is where other daemons connect, host:port.
func (d *Daemon) PeerAddress() string { return d.peers.Addr().String() }

// advertised returns what is told to others: the setting, unless the system chose
// the port.
func advertised(setting, listen string, l net.Listener) string {
	if setting == listen {
		return l.Addr().String()
	}
	return setting
}

func (d *Daemon) callerAdvertise() string {
	return advertised(d.set.CallerAdvertise, d.set.CallerAddress, d.caller)
}

func (d *Daemon) peerAdvertise() string {
	return advertised(d.set.PeerAdvertise, d.set.PeerAddress, d.peers)
}

// Kill ends the daemon at once, as the loss of its instance would: connections
// are cut and nothing is handed on.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		close(d.kill)
		_ = d.server.Close()
		d.requests.abandon()
	})
}

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} {
	return d.done
}

// connectionLost has a daemon probed that no connection reaches. One silent
// connection says nothing of the daemon behind it; one that never answered does.
func (d *Daemon) connectionLost(address string, err error) {
	if errors.Is(err, peer.ErrUnresponsive) {
		d.metrics.Add(telemetry.SilentConnectionsTotal, 1)
		d.log.Emit(telemetry.EventConnectionSilent, telemetry.Address(address))
	}
	unreachable := errors.Is(err, peer.ErrUnreachable)
	d.control.post(func() { d.control.connectionLost(address, unreachable) })
}

// peerRejected notes a connection from a peer that ended with an error.
func (d *Daemon) peerRejected(remote net.Addr, err error) {
	d.log.Emit(telemetry.EventFrameRefused, telemetry.Address(remote.String()), telemetry.Cause(err))
}

// connectionLost tells the parts that messages to a daemon may be lost.
func (c *control) connectionLost(address string, unreachable bool) {
	for _, i := range c.members.view.Members {
		if i.Meta.PeerAddress != address || i.Member.ID == c.d.self.ID {
			continue
		}
		c.slots.route(route.Reconnected{Peer: i.Member.ID})
		if unreachable {
			c.members.step(membership.ConnectionLost{ID: i.Member.ID})
		}
	}
}

// logEnd writes a line for each request without a whole answer.
func (d *Daemon) logEnd(spec request.Spec, o state.Outcome) {
	fields := []telemetry.Field{telemetry.Request(spec.ID), telemetry.Service(spec.Service)}
	switch o := o.(type) {
	case state.Refused:
		d.log.Emit(telemetry.EventRequestRefused, append(fields, telemetry.Reason(o.Reason))...)
	case state.Failed:
		d.log.Emit(telemetry.EventRequestFailed, append(fields, telemetry.Reason(o.Reason))...)
	case state.Unknown:
		d.log.Emit(telemetry.EventRequestUnknown, append(fields, telemetry.Reason(o.Reason))...)
	}
}
