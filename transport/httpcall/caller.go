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

	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = time.Second
	DefaultProgressTimeout = 2 * time.Second
	DefaultMaxResponse     = 8 << 20
	DefaultMaxIdle         = 64
	DefaultMaxConns        = 0
)

// maxHeadBytes bounds the head of an answer, with the informational answers before it. Usual heads
// have less than 1 KB.
const maxHeadBytes = 64 << 10

// Options configure a Caller's connections. Zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the establishment of one connection.
	DialTimeout time.Duration

	// ProgressTimeout is how long a call may go without a byte in either direction
	// before its connection counts as unresponsive.
	ProgressTimeout time.Duration

	// MaxResponse bounds the body of an answer, in bytes. A call whose answer is
	// longer fails with ErrTooLong.
	MaxResponse int64

	MaxIdle  int // idle connections kept
	MaxConns int // concurrent connections; 0 means no limit

	// OnUnresponsive, if set, is called after a call ended because its connection
	// was unresponsive.
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

// Errors of a call, for use with errors.Is. If the context ended the call, its error
// is returned instead.
var (
	// ErrNotSent: not one byte of the call left this process.
	ErrNotSent = errors.New("not sent")
	// ErrUnresponsive: the connection carried no byte for ProgressTimeout.
	ErrUnresponsive = errors.New("connection is unresponsive")
	// ErrTooLong: the answer is longer than MaxResponse.
	ErrTooLong = errors.New("answer is too long")
)

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller makes calls to servers. It is safe for concurrent use.
type Caller struct {
	opts      Options
	transport *httpanswer.Transport
}

// New returns a Caller with its own connection pool.
func New(opts Options) *Caller {
	opts = opts.withDefaults()
	dial := httpanswer.Dialer(&net.Dialer{Timeout: opts.DialTimeout})
	t := &http.Transport{
		MaxIdleConns:        opts.MaxIdle,
		MaxIdleConnsPerHost: opts.MaxIdle,
		MaxConnsPerHost:     opts.MaxConns,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Caller{opts: opts, transport: &httpanswer.Transport{Base: t}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

// Do makes one POST, PUT or GET call and reads its complete answer.
//
// An error that wraps ErrNotSent proves that no byte was sent. This also covers
// http.Transport's own retries: it retries a POST or PUT only if nothing was written
// to a reused connection, and every connection that it tried is checked. It may
// retry a GET after bytes were sent; a GET has no side effects.
//
// If the network drops the state of a connection, no byte moves on it any more. After
// ProgressTimeout the call ends with ErrUnresponsive and its connection is closed, so
// that later calls use new ones. Idle connections are closed too: whatever dropped
// the state of one has probably dropped those of the same age.
func (c *Caller) Do(ctx context.Context, method, url string, body []byte) (Answer, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &connTracker{progress: progress{start: time.Now()}}
	w := c.startWatchdog(&t.progress, cancel)
	defer w.stop()

	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: t.gotConn})
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
	return Answer{}, c.classifyError(ctx, callCtx, t, err)
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
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// classifyError replaces the transport's error by one that says why the call failed
// and marks it as not sent if that is certain.
func (c *Caller) classifyError(ctx, callCtx context.Context, t *connTracker, err error) error {
	unresponsive := errors.Is(context.Cause(callCtx), ErrUnresponsive)
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case unresponsive:
		err = fmt.Errorf("%w for %v", ErrUnresponsive, c.opts.ProgressTimeout)
	}
	if t.notSent() {
		return errors.Join(ErrNotSent, err)
	}
	if unresponsive {
		c.transport.CloseIdleConnections()
		if c.opts.OnUnresponsive != nil {
			c.opts.OnUnresponsive()
		}
	}
	return err
}

// connTracker records the connections that one call was given.
type connTracker struct {
	progress progress

	mu    sync.Mutex
	conns []*conn
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("httpcall: connection was not made by this package's dialer")
	}
	c.assign(&t.progress)
	t.mu.Lock()
	t.conns = append(t.conns, c)
	t.mu.Unlock()
}

// notSent reports, for a failed call, whether no byte of it was sent on any of its
// connections, and seals them; see conn.seal.
func (t *connTracker) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if !c.seal() {
			return false
		}
	}
	return true
}

// watchdog cancels a call whose connection makes no progress.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// startWatchdog cancels a call with ErrUnresponsive after ProgressTimeout without
// progress.
func (c *Caller) startWatchdog(p *progress, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.opts.ProgressTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.done {
			return
		}
		if remaining := c.opts.ProgressTimeout - p.idle(); remaining > 0 {
			w.timer.Reset(remaining)
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
