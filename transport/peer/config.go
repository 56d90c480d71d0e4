package peer

import (
	"context"
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Defaults of Config.
const (
	DefaultProbeAfter         = 250 * time.Millisecond
	DefaultProgressTimeout    = time.Second
	DefaultIdleProbeAfter     = 2 * time.Second
	DefaultIdleTimeout        = time.Minute
	DefaultInboundIdleTimeout = 10 * time.Second
	DefaultFrameTimeout       = 5 * time.Second
	DefaultHelloTimeout       = 2 * time.Second
	DefaultDialTimeout        = 1500 * time.Millisecond
	DefaultMaxQueuedMessages  = 4096
	DefaultMaxQueuedBytes     = 4 << 20
	DefaultMaxCalls           = 1024
	DefaultMaxInbound         = 2048
)

// Handler gets what peers send. Its functions may be called by many goroutines
// at once.
type Handler struct {
	// Received takes a message, in the order of its connection. While it runs
	// the connection is not read, so it must not block.
	HandleMessage func(from state.Member, msg any)

	// Called answers a call in a goroutine of its own. ctx ends when the caller
	// no longer waits as far as is known here. An error becomes the caller's
	// *FailedError.
	HandleCall func(ctx context.Context, from state.Member, msg any) (any, error)
}

// Config is what a Node needs. Zero fields below Handler take the defaults.
type Config struct {
	Self     state.Member
	Registry *peer.Registry
	Handler  Handler

	ProbeAfter         time.Duration // quiet time after which a connection that owes something is probed
	ProgressTimeout    time.Duration // time that a probe, or a write, may go without any progress
	IdleProbeAfter     time.Duration // quiet time after which an idle connection is probed
	IdleTimeout        time.Duration // an unused connection is closed after it
	InboundIdleTimeout time.Duration // a peer's connection without a byte for it is closed
	FrameTimeout       time.Duration // a frame has to arrive whole within it
	HelloTimeout       time.Duration // a peer's first frame has to come within it
	DialTimeout        time.Duration

	MaxQueuedMessages int // messages waiting for one address; beyond it the oldest is dropped
	MaxQueuedBytes    int // the same in bytes
	MaxFrame          int // longest frame in bytes
	MaxCalls          int // calls of one connection handled at one time; others are refused
	MaxInbound        int // peers' connections at one time; others are closed

	// Dial makes a connection to an IP address and port; nil is plain TCP.
	// Encryption goes here and into the listener given to Serve.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// Lost, if set, is told of each connection to address that ended with an
	// error: messages sent on it without an answer may not have arrived. It must
	// not block.
	OnConnectionLost func(address string, err error)

	// Rejected, if set, is told of each connection from a peer that ended with
	// an error, such as a *peer.FrameError. It must not block.
	OnInboundError func(remote net.Addr, err error)

	Scope tally.Scope // nil drops the counters
}

// withDefaults fills in what c leaves open.
func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ProbeAfter, DefaultProbeAfter},
		{&c.ProgressTimeout, DefaultProgressTimeout},
		{&c.IdleProbeAfter, DefaultIdleProbeAfter},
		{&c.IdleTimeout, DefaultIdleTimeout},
		{&c.InboundIdleTimeout, DefaultInboundIdleTimeout},
		{&c.FrameTimeout, DefaultFrameTimeout},
		{&c.HelloTimeout, DefaultHelloTimeout},
		{&c.DialTimeout, DefaultDialTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *int
		value int
	}{
		{&c.MaxQueuedMessages, DefaultMaxQueuedMessages},
		{&c.MaxQueuedBytes, DefaultMaxQueuedBytes},
		{&c.MaxFrame, peer.MaxFrame},
		{&c.MaxCalls, DefaultMaxCalls},
		{&c.MaxInbound, DefaultMaxInbound},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}
