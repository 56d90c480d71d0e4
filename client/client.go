package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Defaults of Config.
const (
	DefaultProgressTimeout = 8 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultRetryDelay      = 50 * time.Millisecond
	DefaultMaxAttempts     = 12
	DefaultMaxRefusals     = 5
	dialTimeout            = 1500 * time.Millisecond
	idleConnections        = 30 * time.Second
	connectionsPerHost     = 64
)

// Config is what a Client needs. Zero fields below Domain take the defaults.
type Config struct {
	Seeds    []string // base URLs of daemons to ask first, such as http://10.0.0.7:8080
	Service  state.ServiceID
	Customer state.CustomerID
	Domain   state.FailureDomain // the caller's own, if known

	// Progress is the longest time without a sign of life before a connection
	// counts as silent. Daemons give one at least every few seconds.
	ProgressTimeout time.Duration

	CallTimeout time.Duration // for each question that is not a request
	RetryDelay  time.Duration // before the second try; doubles with each that brings nothing
	MaxAttempts int           // connections in a row without progress before Do gives up
	MaxRefusals int           // refusals as not run, for reasons that pass, before Do returns one

	HTTP *http.Client // nil makes one
}

// Client talks to one service for one customer. Its methods may be called by many
// goroutines at once.
type Client struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	until     time.Time // addresses hold until then
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.ProgressTimeout == 0 {
		cfg.ProgressTimeout = DefaultProgressTimeout
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.MaxRefusals == 0 {
		cfg.MaxRefusals = DefaultMaxRefusals
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: connectionsPerHost,
			IdleConnTimeout:     idleConnections,
			DisableCompression:  true,
		}}
	}
	return &Client{cfg: cfg}
}

// ErrNoAddress says that no daemon told which addresses to use.
var ErrNoAddress = errors.New("no daemon answers")

// Addresses returns the base URLs to use, best first. It asks a daemon when the
// last answer no longer holds, and falls back on that answer when none replies.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, until := c.addresses, c.until
	c.mu.Unlock()
	if time.Now().Before(until) {
		return known, nil
	}
	var errs []error
	for _, base := range append(append([]string{}, known...), c.cfg.Seeds...) {
		body, err := c.askAddresses(ctx, base)
		if err == nil && len(body.Addresses) > 0 {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.addresses = body.Addresses
			c.until = time.Now().Add(body.ValidFor.Std())
			return c.addresses, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if len(known) > 0 {
		return known, nil
	}
	return nil, errors.Join(append([]error{ErrNoAddress}, errs...)...)
}

// askAddresses asks one daemon.
func (c *Client) askAddresses(ctx context.Context, base string) (caller.AddressesBody, error) {
	q := url.Values{}
	q.Set("service", string(c.cfg.Service))
	q.Set("customer", string(c.cfg.Customer))
	q.Set("domain", string(c.cfg.Domain))
	var body caller.AddressesBody
	err := c.ask(ctx, http.MethodGet, base+caller.PathAddresses+"?"+q.Encode(), &body)
	return body, err
}

// stale makes the next Addresses ask again: a daemon that it named does not
// answer.
func (c *Client) stale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// Status asks where a request stands. An error that is a *caller.Problem with
// state.ReasonUnknownRequest says that the daemons asked do not know it.
func (c *Client) Status(ctx context.Context, id state.RequestID) (caller.StatusBody, error) {
	return c.request(ctx, http.MethodGet, id)
}

// Cancel ends a request and returns where it stands.
func (c *Client) Cancel(ctx context.Context, id state.RequestID) (caller.StatusBody, error) {
	return c.request(ctx, http.MethodDelete, id)
}

// request asks daemons about a request until one answers.
func (c *Client) request(ctx context.Context, method string, id state.RequestID) (caller.StatusBody, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return caller.StatusBody{}, err
	}
	for _, base := range addresses {
		var body caller.StatusBody
		err = c.ask(ctx, method, base+requestPath(id), &body)
		var p *caller.Problem
		if err == nil || errors.As(err, &p) && p.Reason != state.ReasonUnknownRequest {
			return body, err
		}
	}
	return caller.StatusBody{}, err
}

// requestPath is the path of a request.
func requestPath(id state.RequestID) string {
	return caller.PathRequests + "/" + url.PathEscape(string(id))
}

// ask makes a call whose answer is JSON. An answer that is no success is a
// *caller.Problem.
func (c *Client) ask(ctx context.Context, method, target string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return err
	}
	resp, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into)
}

// maxAnswer bounds an answer that is no stream, in bytes.
const maxAnswer = 1 << 20

// readProblem reads a problem document; what is none becomes one without a
// reason, from which nothing may be concluded.
func readProblem(resp *http.Response) *caller.Problem {
	var p caller.Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&p)
	if err != nil || p.Status != resp.StatusCode {
		return &caller.Problem{
			Status: resp.StatusCode, Title: http.StatusText(resp.StatusCode),
			Detail: fmt.Sprintf("answer %d without a problem document", resp.StatusCode),
		}
	}
	return &p
}
