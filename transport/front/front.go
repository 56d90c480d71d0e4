// Package front serves callers and operators over HTTP: addresses, requests and
// their answers as server-sent events, service documents, the daemon's own
// state. It decides nothing; it maps a caller.Daemon onto HTTP and bounds what
// one connection can cost.
//
// A caller that goes away, or that reads too slowly, ends its own view of an
// answer and never the request behind it: another connection, at any daemon,
// takes the answer up from the last index that the caller has. Only DELETE ends
// a request.
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

// Options bounds what callers can cost. The zero value takes the defaults.
type Options struct {
	MaxBody       int64         // longest request body in bytes
	MaxStreams    int           // requests and views at one time
	HeaderTimeout time.Duration // a header has to arrive within it
	BodyTimeout   time.Duration // a body has to arrive within it
	IdleTimeout   time.Duration // a connection between two requests is closed after it
	WriteTimeout  time.Duration // a caller has to take each event within it
	KeepAlive     time.Duration // longest silence of an open stream

	Metrics http.Handler // serves GET /metrics; nil leaves it out
	Scope   tally.Scope  // the front's own counters; nil drops them
}

// withDefaults fills in what o leaves open.
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
	slots   chan struct{} // one for each open stream
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
	return f.bound(mux)
}

// NewServer returns a server of h with the bounds of opts on connections: one on
// which nothing comes, or half a header, does not stay.
func NewServer(h http.Handler, opts Options) *http.Server {
	opts = opts.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// apiConfig describes the interface without huma's schema links, which would
// add a field to each answer, and without its documentation page, which loads
// scripts of third parties.
func apiConfig() huma.Config {
	c := huma.DefaultConfig("hibiscuswick", "1")
	c.CreateHooks = nil
	c.DocsPath = ""
	c.SchemasPath = ""
	c.RejectUnknownQueryParameters = true
	return c
}

// exchange is one request and its answer, for handlers that need more of it than
// huma shows them.
type exchange struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	refused tally.Counter
}

// exchangeKey is the context key of an *exchange.
type exchangeKey struct{}

// bound gives each exchange a write deadline from its start, and hands it to the
// handlers that need longer.
func (f *front) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ex := &exchange{w: w, rc: http.NewResponseController(w), refused: f.metrics.refused}
		f.extend(ex)
		ctx := context.WithValue(r.Context(), exchangeKey{}, ex)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// extend moves the write deadline of a connection. A writer without deadlines,
// as in a test without sockets, is left as it is.
func (f *front) extend(ex *exchange) {
	_ = ex.rc.SetWriteDeadline(time.Now().Add(f.opts.WriteTimeout))
}

// exchangeOf returns the exchange that bound put into ctx.
func exchangeOf(ctx context.Context) *exchange {
	return ctx.Value(exchangeKey{}).(*exchange)
}
