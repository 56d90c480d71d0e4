// Package front serves callers and operators over HTTP: addresses, requests and
// their answers as server-sent events, service documents and the daemon's own
// state. It makes no decisions of its own; it maps a caller.Daemon to HTTP and bounds
// the resources that one connection can use.
//
// A caller that disconnects or reads too slowly ends its own view of an answer, but
// not the request: another connection, to any daemon, can resume the answer after the
// last token index that the caller has. Only DELETE ends a request.
package front

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// Defaults of Options.
const (
	DefaultMaxBody       = 1 << 20
	DefaultMaxStreams    = 20_000
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultIdleTimeout   = time.Minute
	DefaultWriteTimeout  = 10 * time.Second
	DefaultKeepAlive     = 3 * time.Second

	maxHeader = 32 << 10 // bytes
)

// Options bounds the resources that callers can use. Zero fields take the defaults.
type Options struct {
	MaxBody       int64         // longest request body in bytes
	MaxStreams    int           // concurrent streams of requests and of attached views
	HeaderTimeout time.Duration // a header must arrive within it
	BodyTimeout   time.Duration // a body must arrive within it
	IdleTimeout   time.Duration // a connection between two requests is closed after it
	WriteTimeout  time.Duration // a caller must accept each event within it
	KeepAlive     time.Duration // an open stream without events carries a comment at this interval

	Metrics http.Handler // serves GET /metrics; nil disables the path
	Scope   tally.Scope  // of the front's own counters; nil disables them
}

// withDefaults replaces zero fields by their defaults.
func (o Options) withDefaults() Options {
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = DefaultMaxStreams
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = DefaultHeaderTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.KeepAlive == 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// front is the state behind the handlers.
type front struct {
	daemon  caller.Daemon
	opts    Options
	metrics counters
	slots   chan struct{} // semaphore for open streams
}

// New returns the handler of one daemon's HTTP address.
func New(d caller.Daemon, opts Options) http.Handler {
	opts = opts.withDefaults()
	f := &front{
		daemon:  d,
		opts:    opts,
		metrics: newCounters(opts.Scope),
		slots:   make(chan struct{}, opts.MaxStreams),
	}
	mux := http.NewServeMux()
	api := humago.New(mux, apiConfig())
	f.registerRequests(api)
	f.registerDocuments(api)
	f.registerOperators(api)
	if opts.Metrics != nil {
		mux.Handle("GET /metrics", opts.Metrics)
	}
	return f.withWriteDeadline(mux)
}

// NewServer returns a server of h with the timeouts of opts, which close connections
// that are idle or send an incomplete header.
func NewServer(h http.Handler, opts Options) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// apiConfig returns huma's configuration without its schema links, which would add a
// field to each answer, and without its documentation page, which loads third-party
// scripts.
func apiConfig() huma.Config {
	c := huma.DefaultConfig("hibiscuswick", "1")
	c.CreateHooks = nil
	c.DocsPath = ""
	c.SchemasPath = ""
	c.RejectUnknownQueryParameters = true
	return c
}

// exchange is one HTTP request and its response, for handlers that need more than
// huma's context offers.
type exchange struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	refused tally.Counter
}

// exchangeKey is the context key of an *exchange.
type exchangeKey struct{}

// withWriteDeadline sets a write deadline at the start of each exchange, and passes the
// exchange in the context to handlers that extend it.
func (f *front) withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ex := &exchange{w: w, rc: http.NewResponseController(w), refused: f.metrics.refused}
		f.extendWriteDeadline(ex)
		ctx := context.WithValue(r.Context(), exchangeKey{}, ex)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// extendWriteDeadline moves the write deadline of a connection to WriteTimeout from
// now. A writer that does not support deadlines, as in a test without sockets, is left
// as it is.
func (f *front) extendWriteDeadline(ex *exchange) {
	_ = ex.rc.SetWriteDeadline(time.Now().Add(f.opts.WriteTimeout))
}

// exchangeOf returns the exchange that withWriteDeadline put into ctx.
func exchangeOf(ctx context.Context) *exchange {
	return ctx.Value(exchangeKey{}).(*exchange)
}
