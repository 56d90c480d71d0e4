package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	wire "github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

// Errors of this package.
var (
	errStaleRead = errors.New("the answer is older than what is known")

	errNeedsRestart = errors.New("name, place and addresses change only with a restart")
)

// Site is what a gateway reaches of its site.
type Site struct {
	Configs site.Feed[*fleet.Config]
	Servers site.Feed[fleet.Server]
	Members site.Table // where gateways find each other
	Leases  site.Table
}

// Gateway is one router process.
type Gateway struct {
	settings atomic.Pointer[Settings]
	self     state.Member
	site     Site
	backends backend.Client
	log      *telemetry.Log
	metrics  *telemetry.Metrics

	messages *wire.Registry // between gateways

	book    *book
	prober  *prober
	control *control
	current atomic.Pointer[view]
	node    *peer.Node
	peers   net.Listener

	// unanswered is whether a feed was asked for in vain, of which nothing is known yet.
	unanswered atomic.Bool

	active    atomic.Int64 // requests under way
	waiting   atomic.Int64 // of those, for a server or a path
	born      time.Time    // zero of steady
	draining  atomic.Int64 // when a planned stop began, in steady ns; 0 for none
	stopFeeds context.CancelFunc
	endOnce   sync.Once
	done      chan struct{}
}

// New provisions a gateway and opens its port for peers. It does nothing before
// Run.
func New(set Settings, s Site, backends backend.Client, log *telemetry.Log, metrics *telemetry.Metrics) (*Gateway, error) {
	g := &Gateway{
		self:     state.Member{ID: set.ID, Incarnation: state.Incarnation(time.Now().UnixNano())},
		site:     s,
		backends: backends,
		log:      log.With(telemetry.Daemon(set.ID)),
		metrics:  metrics,
		messages: newRegistry(),
		book:     newBook(set),
		born:     time.Now(),
		done:     make(chan struct{}),
	}
	g.settings.Store(&set)
	g.prober = newProber(g)
	listener, err := net.Listen("tcp", set.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("peers' address %s: %w", set.PeerAddress, err)
	}
	g.peers = listener
	g.node = peer.New(peer.Config{
		Self:     g.self,
		Registry: g.messages,
		Handler:  peer.Handler{Received: g.received, Called: g.called},
		Lost:     g.connectionLost,
	})
	g.control = newControl(g)
	g.current.Store(&view{members: g.control.view.members, live: 1, near: 1})
	return g, nil
}

// set returns the settings in force.
func (g *Gateway) set() *Settings { return g.settings.Load() }

// Reload puts changed settings into force. The daemon's name, place and addresses
// can't change while it runs; its error says so, and all stays as it was.
func (g *Gateway) Reload(set Settings) error {
	old := *g.set()
	if set == old {
		return nil
	}
	fixed := func(s Settings) [9]string {
		return [9]string{string(s.ID), string(s.Domain), string(s.Region), s.CallerAddress, s.ReadinessAddress, s.DirectoryAddress, s.PeerAddress, s.StoreAddress, s.MetricsAddress}
	}
	if fixed(set) != fixed(old) {
		return errNeedsRestart
	}
	g.settings.Store(&set)
	g.book.rebudget(set)
	g.log.Emit(telemetry.EventSettingsReloaded)
	return nil
}

// Run begins to follow the site and to take part among the gateways.
func (g *Gateway) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stopFeeds = cancel
	g.node.Serve(g.peers)
	go g.control.run()
	go g.control.configs.run(ctx)
	go g.control.entries.run(ctx)
	g.log.Emit(telemetry.EventDaemonStarted, telemetry.Address(g.set().CallerAddress))
}

// steady is the time since this gateway began, by the clock that the time of day does
// not move: an instance's time of day may jump by seconds.
func (g *Gateway) steady(now time.Time) time.Duration { return now.Sub(g.born) }

// Drain begins a planned stop: the gateway leaves the answers to callers at once
// and serves on. Close ends it.
func (g *Gateway) Drain() {
	if !g.draining.CompareAndSwap(0, int64(max(g.steady(time.Now()), 1))) {
		return
	}
	g.log.Emit(telemetry.EventDrainStarted)
	g.control.post(func() {
		g.control.view.draining = true
		g.control.changed = true
		g.control.members.step(membership.Drain{})
	})
}

// Close tells the other gateways that this one leaves, and stops.
func (g *Gateway) Close() {
	left := make(chan struct{})
	g.control.post(func() {
		g.control.members.step(membership.Leave{})
		close(left)
	})
	select {
	case <-left:
	case <-time.After(tickInterval):
	}
	g.endOnce.Do(func() {
		g.log.Emit(telemetry.EventDaemonStopped)
		g.stopFeeds()
		close(g.done)
		g.node.Close()
	})
}

// Ready reports whether requests can be served here.
func (g *Gateway) Ready() bool {
	return g.current.Load().ready()
}

// Limits returns what the configuration in force lets callers send.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.current.Load().config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// connectionLost has a daemon probed that no connection reaches.
func (g *Gateway) connectionLost(address string, _ error) {
	g.control.post(func() {
		for _, i := range g.control.view.members.Members {
			if i.Meta.PeerAddress == address && i.Member.ID != g.self.ID {
				g.control.members.step(membership.ConnectionLost{ID: i.Member.ID})
			}
		}
	})
}

// Shares of the time that a planned stop has.
const (
	// idleShare is when the stop ends at the earliest: where no request is left by
	// then, callers have gone elsewhere, and a successor can start.
	idleShare = 0.4
	// graceShare is when the stop ends at the latest; the rest is for the process's
	// own end.
	graceShare = 0.93
)

// takesStreams reports whether a new stream is to be taken, and if not, why its caller is
// turned away.
func (g *Gateway) takesStreams(now time.Time) (bool, admission.Refusal) {
	began := g.draining.Load()
	if began == 0 {
		return true, 0
	}
	elsewhere := slices.ContainsFunc(g.current.Load().members.Members, func(i membership.Info) bool {
		return i.Member.ID != g.self.ID && i.State == membership.Alive && !i.Draining
	})
	stop := admission.Shutdown{Elapsed: g.steady(now) - time.Duration(began), Grace: g.set().DrainTimeout, OthersAccept: elsewhere}
	return stop.AcceptsStream()
}

// Closing reports whether callers are to use another connection next time.
func (g *Gateway) Draining() bool { return g.draining.Load() != 0 }

// AwaitDrained returns when a planned stop is over.
func (g *Gateway) WaitDrained() {
	began, grace := time.Duration(g.draining.Load()), float64(g.set().DrainTimeout)
	for {
		stopping := g.steady(time.Now()) - began
		since := float64(stopping)
		idle := g.active.Load() == 0
		if since >= graceShare*grace || idle && since >= idleShare*grace {
			g.log.Emit(telemetry.EventDrainCompleted, telemetry.Count(int(g.active.Load())), telemetry.Took(stopping))
			return
		}
		time.Sleep(drainLook)
	}
}

// drainLook is how often a planned stop looks whether requests are left.
const drainLook = 20 * time.Millisecond
