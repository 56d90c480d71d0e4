package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	wire "github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/peer"
)

var (
	errStaleRead = errors.New("store answer is older than the known revision")

	errNeedsRestart = errors.New("name, placement and addresses can only be changed by a restart")
)

// Site holds the site's services that a gateway uses.
type Site struct {
	Configs site.Feed[*fleet.Config]
	Servers site.Feed[fleet.Server]
	Members site.Table // where gateways discover each other
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

	messages *wire.Registry // message types exchanged between gateways

	shared *sharedState
	prober *prober
	reach  *reachChecker
	shares *sharesState
	// endedRuns, endedParts and clearedContents are to be told to the other daemons.
	endedRuns       *batch[endedRun]
	endedParts      *batch[endedPartRun]
	clearedContents *batch[crashes.Fingerprint]
	// loggedHeaders are the header fields of servers that were logged as unknown or unreadable.
	loggedHeaders headerLog
	running       runClock
	waits         *waitQueues
	control       *control
	currentView   atomic.Pointer[view]
	node          *peer.Node
	peers         net.Listener

	// storeUnanswered is set while a read of a feed has failed and no data of that feed is
	// known yet.
	storeUnanswered atomic.Bool

	activeRequests  atomic.Int64                // requests in flight
	lastTurn        atomic.Uint64               // number of the last request that asked for a turn
	recordRequested atomic.Bool                 // the control goroutine has been asked for a record of retries
	waitingRequests atomic.Int64                // requests in flight that wait for a server or a path
	startedAt       time.Time                   // reference point of sinceStart
	stop            atomic.Pointer[plannedStop] // nil if none has begun
	stopFeeds       context.CancelFunc
	closeOnce       sync.Once
	done            chan struct{}
}

// New creates a gateway and opens its listener for peers. The gateway does nothing else
// before Run.
func New(set Settings, s Site, backends backend.Client, log *telemetry.Log, metrics *telemetry.Metrics) (*Gateway, error) {
	g := &Gateway{
		self:      state.Member{ID: set.ID, Incarnation: state.Incarnation(time.Now().UnixNano())},
		site:      s,
		backends:  backends,
		log:       log.With(telemetry.Daemon(set.ID)),
		metrics:   metrics,
		messages:  newRegistry(),
		shared:    newSharedState(set),
		waits:     newWaitQueues(),
		startedAt: time.Now(),
		done:      make(chan struct{}),
	}
	g.settings.Store(&set)
	g.prober = newProber(g)
	g.reach = newReachChecker(g)
	g.shares = newSharesState(g)
	g.endedRuns = &batch[endedRun]{delay: endNoticeDelay, flush: g.broadcastEnds}
	g.endedParts = &batch[endedPartRun]{delay: endNoticeDelay, flush: g.broadcastParts}
	g.clearedContents = &batch[crashes.Fingerprint]{delay: clearNoticeDelay, flush: g.broadcastCleared}
	listener, err := net.Listen("tcp", set.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", set.PeerAddress, err)
	}
	g.peers = listener
	g.node = peer.New(g.peerConfig())
	g.control = newControl(g)
	g.currentView.Store(&view{members: g.control.view.members, live: 1, liveInDomain: 1})
	return g, nil
}

// peerIdleTimeout is how long a connection to another gateway is kept without use: about
// a round of probes of all neighbours, and less than the time after which the other side
// closes an unused connection.
const peerIdleTimeout = 8 * time.Second

// peerConfig returns the configuration of the transport between gateways.
//
// Guard (idle-connections-probed): gateways that start together connect to dozens of others
// before their views agree, and hundreds of gateways would spend most of their messages on
// heartbeats of connections that nobody uses any more. A connection that has become
// unresponsive is detected by the first message on it.
func (g *Gateway) peerConfig() peer.Config {
	return peer.Config{
		Self:             g.self,
		Registry:         g.messages,
		Handler:          peer.Handler{HandleMessage: g.handleMessage, HandleCall: g.handleCall},
		OnConnectionLost: g.connectionLost,
		IdleTimeout:      peerIdleTimeout,
		IdleProbeAfter:   peerIdleTimeout,
	}
}

// currentSettings returns the active settings.
func (g *Gateway) currentSettings() *Settings { return g.settings.Load() }

// Reload activates changed settings. The daemon's name, placement and addresses can't
// change while it runs: Reload then returns an error and keeps the old settings.
func (g *Gateway) Reload(set Settings) error {
	old := *g.currentSettings()
	if set == old {
		return nil
	}
	fixedFields := func(s Settings) [9]string {
		return [9]string{string(s.ID), string(s.Domain), string(s.Region), s.CallerAddress, s.ReadinessAddress, s.DirectoryAddress, s.PeerAddress, s.StoreAddress, s.MetricsAddress}
	}
	if fixedFields(set) != fixedFields(old) {
		return errNeedsRestart
	}
	g.settings.Store(&set)
	g.shared.setBudget(set)
	g.log.Emit(telemetry.EventSettingsReloaded)
	return nil
}

// Run starts following the site's feeds and joins the other gateways.
func (g *Gateway) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stopFeeds = cancel
	g.node.Serve(g.peers)
	go g.control.run()
	go g.reach.checkAtStart()
	go (&loadExchange{g: g}).run()
	go g.control.configFeed.run(ctx)
	go g.control.serverFeed.run(ctx)
	g.log.Emit(telemetry.EventDaemonStarted, telemetry.Address(g.currentSettings().CallerAddress))
}

// sinceStart returns the time since this gateway started, by the monotonic clock: an
// instance's wall clock may jump by seconds.
func (g *Gateway) sinceStart(now time.Time) time.Duration { return now.Sub(g.startedAt) }

// Close announces to the other gateways that this one leaves, and stops it.
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
	g.closeOnce.Do(func() {
		g.log.Emit(telemetry.EventDaemonStopped)
		g.stopFeeds()
		close(g.done)
		g.node.Close()
	})
}

// Ready reports whether this gateway can serve requests, and callers should use it.
//
// Guard (cut-off-gateway-ready): platforms send requests to each gateway that is ready, whatever
// the addresses are that callers are given. A gateway that is cut off from servers which others
// reach would refuse them.
func (g *Gateway) Ready() bool {
	v := g.currentView.Load()
	return v.ready() && g.reach.startChecked.Load() && (!g.CutOff() || lo.ContainsBy(g.namedDaemons(v), func(i membership.Info) bool { return i.Member.ID == g.self.ID }))
}

// Limits returns the limits on callers' requests in the active configuration.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.currentView.Load().config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// connectionLost triggers a membership probe of the daemon whose connection was lost. A
// connection that could not be made does not: it was for a message that is itself repeated
// or part of a probe, and the daemons that help with a probe would start probes of their own.
func (g *Gateway) connectionLost(address string, err error) {
	if errors.Is(err, peer.ErrUnreachable) {
		return
	}
	g.control.post(func() {
		for _, i := range g.control.view.members.Members {
			if i.Meta.PeerAddress == address && i.Member.ID != g.self.ID {
				g.control.members.step(membership.ConnectionLost{ID: i.Member.ID})
			}
		}
	})
}
