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
	config      settings.Settings
	self        state.Member
	ownerNumber uint32 // identifies this incarnation of the daemon
	log         *telemetry.Log
	metrics     *telemetry.Metrics

	recorder *trace.Recorder // nil if recording is off

	table     platform.Table
	instances platform.Instances
	clients   *clients

	queryTimeout   time.Duration // of one query to a backend server
	connectTimeout time.Duration // of one connection to a backend server

	requests *requests
	control  *control
	current  atomic.Pointer[view]

	peers  net.Listener
	caller net.Listener
	node   *peer.Node
	server *http.Server

	drainOnce sync.Once
	killOnce  sync.Once
	kill      chan struct{} // closed to end the daemon
	done      chan struct{} // closed when the daemon has stopped
}

// New creates a daemon from checked settings and opens its ports. It serves no
// request before Run.
func New(set settings.Settings, log *telemetry.Log) (*Daemon, error) {
	return newFromInjector(provide(set, log))
}

// newFromInjector builds a daemon from the services of the injector.
func newFromInjector(i do.Injector) (*Daemon, error) {
	set := do.MustInvoke[settings.Settings](i)
	runID := randomID()
	d := &Daemon{
		config:         set,
		self:           state.Member{ID: set.ID, Incarnation: state.Incarnation(time.Now().UnixNano())},
		ownerNumber:    uint32(xxhash.Sum64String(string(set.ID) + "/" + runID)),
		log:            do.MustInvoke[*telemetry.Log](i).With(telemetry.Daemon(set.ID)),
		metrics:        do.MustInvoke[*telemetry.Metrics](i),
		table:          do.MustInvoke[platform.Table](i),
		instances:      do.MustInvoke[platform.Instances](i),
		clients:        do.MustInvoke[*clients](i),
		queryTimeout:   set.Backends.ProgressTimeout.Std(),
		connectTimeout: set.Backends.ConnectTimeout.Std(),
		requests:       newRequests(),
		kill:           make(chan struct{}),
		done:           make(chan struct{}),
	}
	d.current.Store(&view{})
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.startRecording(runID); err != nil {
		return nil, err
	}
	d.node = peer.New(peer.Config{
		Self:             d.self,
		Registry:         newRegistry(),
		Handler:          peer.Handler{HandleMessage: d.handleMessage, HandleCall: d.handleCall},
		OnConnectionLost: d.connectionLost,
		OnInboundError:   d.inboundError,
		Scope:            d.metrics.Scope(),
	})
	d.control = newControl(d)
	options := front.Options{Metrics: d.metrics.Handler(), Scope: d.metrics.Scope()}
	d.server = front.NewServer(front.New(d, options), options)
	return d, nil
}

// randomID returns a random 64-bit ID in hexadecimal.
func randomID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}

// listen opens the ports for callers and peers.
func (d *Daemon) listen() error {
	caller, err := net.Listen("tcp", d.config.CallerAddress)
	if err != nil {
		return fmt.Errorf("caller_address %s: %w", d.config.CallerAddress, err)
	}
	peers, err := net.Listen("tcp", d.config.PeerAddress)
	if err != nil {
		_ = caller.Close()
		return fmt.Errorf("peer_address %s: %w", d.config.PeerAddress, err)
	}
	d.caller, d.peers = caller, peers
	return nil
}

// Run starts serving and returns immediately; Done is closed when the daemon
// has stopped.
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

// CallerAddress returns the host:port on which callers connect.
func (d *Daemon) CallerAddress() string { return d.caller.Addr().String() }

// PeerAddress returns the host:port on which other daemons connect.
func (d *Daemon) PeerAddress() string { return d.peers.Addr().String() }

// advertised returns the address that is published to others: the setting, or
// the listener's address if the setting equals the listen address, whose port
// the system may have chosen.
func advertised(setting, listen string, l net.Listener) string {
	if setting == listen {
		return l.Addr().String()
	}
	return setting
}

func (d *Daemon) callerAdvertise() string {
	return advertised(d.config.CallerAdvertise, d.config.CallerAddress, d.caller)
}

func (d *Daemon) peerAdvertise() string {
	return advertised(d.config.PeerAdvertise, d.config.PeerAddress, d.peers)
}

// Kill stops the daemon immediately, as the loss of its instance would:
// connections are closed and no lease is handed off.
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

// connectionLost handles a lost connection to another daemon. A daemon that
// could not be reached at all is probed. A connection that became unresponsive
// says nothing about the daemon behind it.
func (d *Daemon) connectionLost(address string, err error) {
	if errors.Is(err, peer.ErrUnresponsive) {
		d.metrics.Add(telemetry.SilentConnectionsTotal, 1)
		d.log.Emit(telemetry.EventConnectionSilent, telemetry.Address(address))
	}
	unreachable := errors.Is(err, peer.ErrUnreachable)
	d.control.post(func() { d.control.connectionLost(address, unreachable) })
}

// inboundError logs a connection of a peer that ended with an error.
func (d *Daemon) inboundError(remote net.Addr, err error) {
	d.log.Emit(telemetry.EventFrameRefused, telemetry.Address(remote.String()), telemetry.Cause(err))
}

// connectionLost notifies the components that messages to a daemon may be lost.
func (c *control) connectionLost(address string, unreachable bool) {
	for _, i := range c.members.view.Members {
		if i.Meta.PeerAddress != address || i.Member.ID == c.d.self.ID {
			continue
		}
		c.slots.stepRouter(route.Reconnected{Peer: i.Member.ID})
		if unreachable {
			c.members.step(membership.ConnectionLost{ID: i.Member.ID})
		}
	}
}

// logOutcome logs each request that did not complete.
func (d *Daemon) logOutcome(spec request.Spec, o state.Outcome) {
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
