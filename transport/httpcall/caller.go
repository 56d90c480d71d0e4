package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultProgressTimeout = 2 * time.Second
	DefaultMaxResponse     = 8 << 20
	DefaultMaxIdle         = 64
	DefaultMaxConns        = 0
)

// Options set how a Caller treats its connections. Zero fields take the
// defaults.
type Options struct {
	// DialTimeout bounds the making of one connection.
	DialTimeout time.Duration

	// ProgressTimeout is how long a call may see no byte move, in either
	// direction, before its connection counts as silent.
	ProgressTimeout time.Duration

	// MaxResponse is the longest answer in bytes; a longer one is unanswered.
	MaxResponse int64

	MaxIdle  int // idle connections kept
	MaxConns int // connections at one time; 0 is no bound

	// OnSilent, if set, is called after a connection went silent.
	OnUnresponsive func()
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = DefaultProgressTimeout
	}
	if o.MaxResponse <= 0 {
		o.MaxResponse = DefaultMaxResponse
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	return o
}

// Errors of a call, to be told apart with errors.Is. The context's own error is
// returned when the context ended the call.
var (
	// ErrNotSent: not one byte of the call left this process.
	ErrNotSent = errors.New("not sent")
	// ErrSilent: the connection carried no byte for ProgressTimeout.
	ErrUnresponsive = errors.New("connection is silent")
	// ErrTooLong: the answer is longer than MaxResponse.
	ErrTooLong = errors.New("answer is too long")
)

// Answer is a whole answer.
type Answer struct {
	Status int
	Body   []byte
}

// Caller makes calls to servers. Its methods may be called by many goroutines.
type Caller struct {
	opts      Options
	transport *http.Transport
}

// New returns a Caller with its own connections.
func New(opts Options) *Caller {
	opts = opts.withDefaults()
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	t := &http.Transport{
		MaxIdleConns:        opts.MaxIdle,
		MaxIdleConnsPerHost: opts.MaxIdle,
		MaxConnsPerHost:     opts.MaxConns,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Caller{opts: opts, transport: t}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

// Do makes one call with a POST, PUT or GET body and reads its answer whole.
//
// An error that is ErrNotSent proves that no byte left. The proof holds through
// http.Transport's own repeats: it repeats a POST or PUT only when nothing was
// written to a reused connection, and every connection that it tried is looked
// at. It would repeat a GET after bytes left; a GET changes nothing.
//
// A connection that the network forgot shows as a call on which no byte moves.
// After ProgressTimeout the call ends with ErrSilent and its connection is
// closed, so that later calls use new ones. Idle connections are closed too:
// what forgot one has probably forgotten those of the same age.
func (c *Caller) Do(ctx context.Context, method, url string, body []byte) (Answer, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &track{progress: progress{start: time.Now()}}
	watch := c.watch(&t.progress, cancel)
	defer watch.stop()

	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: t.got})
	req, err := http.NewRequestWithContext(callCtx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Join(ErrNotSent, err)
	}
	if method != http.MethodGet {
		req.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.roundTrip(req)
	if err == nil {
		return answer, nil
	}
	return Answer{}, c.explain(ctx, callCtx, t, err)
}

func (c *Caller) roundTrip(req *http.Request) (Answer, error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxResponse+1))
	if err != nil {
		return Answer{}, err
	}
	if int64(len(body)) > c.opts.MaxResponse {
		return Answer{}, ErrTooLong
	}
	return Answer{Status: resp.StatusCode, Body: body}, nil
}

// explain gives err its meaning.
func (c *Caller) explain(ctx, callCtx context.Context, t *track, err error) error {
	silent := errors.Is(context.Cause(callCtx), ErrUnresponsive)
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case silent:
		err = fmt.Errorf("%w for %v", ErrUnresponsive, c.opts.ProgressTimeout)
	}
	if t.notSent() {
		return errors.Join(ErrNotSent, err)
	}
	if silent {
		c.transport.CloseIdleConnections()
		if c.opts.OnUnresponsive != nil {
			c.opts.OnUnresponsive()
		}
	}
	return err
}

// track notes the connections that one call was given.
type track struct {
	progress progress

	mu    sync.Mutex
	conns []*conn
}

func (t *track) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("httpcall: connection of another dialer")
	}
	c.begin(&t.progress)
	t.mu.Lock()
	t.conns = append(t.conns, c)
	t.mu.Unlock()
}

// notSent reports, once the call has failed, whether no byte of it left on any
// of its connections; see conn.seal.
func (t *track) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if !c.seal() {
			return false
		}
	}
	return true
}

// watchdog ends a call on whose connection no byte moves.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

func (c *Caller) watch(p *progress, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.opts.ProgressTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.done {
			return
		}
		if rest := c.opts.ProgressTimeout - p.idle(); rest > 0 {
			w.timer.Reset(rest)
			return
		}
		cancel(ErrUnresponsive)
	})
	return w
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}
