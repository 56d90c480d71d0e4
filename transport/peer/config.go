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

// Handler handles what peers send. Its functions may be called concurrently.
type Handler struct {
	// HandleMessage handles a message. Messages of one connection are handled in
	// order, and the connection is not read meanwhile, so it must not block.
	HandleMessage func(from state.Member, msg any)

	// HandleCall answers a call in its own goroutine. ctx ends at the caller's
	// deadline or with the connection. An error becomes the caller's *FailedError.
	HandleCall func(ctx context.Context, from state.Member, msg any) (any, error)
}

// Config is what a Node needs. Zero fields below Handler take the defaults.
type Config struct {
	Self     state.Member
	Registry *peer.Registry
	Handler  Handler

	ProbeAfter         time.Duration // time without a frame after which a connection that expects one is probed
	ProgressTimeout    time.Duration // how long a probe or a write may go without progress
	IdleProbeAfter     time.Duration // time without a frame after which an unused connection is probed
	IdleTimeout        time.Duration // an outgoing connection is closed after this time without use
	InboundIdleTimeout time.Duration // a peer's connection is closed after this time without a byte
	FrameTimeout       time.Duration // a frame must arrive completely within it
	HelloTimeout       time.Duration // a peer's first frame must begin within it
	DialTimeout        time.Duration

	MaxQueuedMessages int // messages queued for one address; the oldest are dropped beyond it
	MaxQueuedBytes    int // bytes queued for one address, or for the writer of a peer's connection
	MaxFrame          int // longest frame in bytes
	MaxCalls          int // concurrent calls of one connection; others are refused
	MaxInbound        int // concurrent connections of peers; others are closed

	// Dial makes a connection to an IP address and port; nil means plain TCP.
	// Encryption is added here and in the listener given to Serve.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// OnConnectionLost, if set, is called for each connection to address that ended
	// with an error: messages sent on it without an answer may not have arrived. It
	// must not block.
	OnConnectionLost func(address string, err error)

	// OnInboundError, if set, is called for each connection from a peer that ended
	// with an error, such as a *peer.FrameError. It must not block.
	OnInboundError func(remote net.Addr, err error)

	Scope tally.Scope // nil disables the counters
}

// withDefaults replaces zero fields by their defaults.
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
