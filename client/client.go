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
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

// Defaults of Config.
const (
	DefaultProgressTimeout = 8 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultRetryDelay      = 50 * time.Millisecond
	DefaultMaxAttempts     = 12
	DefaultMaxRefusals     = 5
	dialTimeout            = 1500 * time.Millisecond
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerHost    = 64
)

// Config configures a Client. Zero fields below Domain take the defaults.
type Config struct {
	Seeds    []string // base URLs of daemons to query first, such as http://10.0.0.7:8080
	Service  state.ServiceID
	Customer state.CustomerID
	Domain   state.FailureDomain // the caller's own, if known

	// ProgressTimeout is the longest time without received data before a connection
	// counts as unresponsive. Daemons send at least a keep-alive every few seconds.
	ProgressTimeout time.Duration

	CallTimeout time.Duration // for each call other than the request itself
	RetryDelay  time.Duration // before the second attempt; doubles with each attempt without progress
	MaxAttempts int           // consecutive connections without progress before Do gives up
	MaxRefusals int           // refusals as not run, for transient reasons, before Do returns one

	HTTP *http.Client // nil uses a default client
}

// Client sends requests to one service for one customer. Its methods are safe for
// concurrent use.
type Client struct {
	cfg Config

	mu        sync.Mutex
	addresses []string
	expires   time.Time // of addresses
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
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}}
	}
	checked := *cfg.HTTP
	checked.Transport = &httpanswer.Transport{Base: checked.Transport}
	cfg.HTTP = &checked
	return &Client{cfg: cfg}
}

// ErrNoAddress is returned when no daemon provided a list of addresses.
var ErrNoAddress = errors.New("no daemon returned an address list")

// Addresses returns the base URLs to use, best first. It queries a daemon once the
// cached list has expired, and falls back to the expired list when none replies.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, expires := c.addresses, c.expires
	c.mu.Unlock()
	if time.Now().Before(expires) {
		return known, nil
	}
	var errs []error
	for _, base := range append(append([]string{}, known...), c.cfg.Seeds...) {
		body, err := c.fetchAddresses(ctx, base)
		if err == nil && len(body.Addresses) > 0 {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.addresses = body.Addresses
			c.expires = time.Now().Add(body.ValidFor.Std())
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

// fetchAddresses queries one daemon for the address list.
func (c *Client) fetchAddresses(ctx context.Context, base string) (caller.AddressesBody, error) {
	q := url.Values{}
	q.Set("service", string(c.cfg.Service))
	q.Set("customer", string(c.cfg.Customer))
	q.Set("domain", string(c.cfg.Domain))
	var body caller.AddressesBody
	err := c.doJSON(ctx, http.MethodGet, base+caller.PathAddresses+"?"+q.Encode(), &body)
	return body, err
}

// expireAddresses makes the next call of Addresses query a daemon again, after a
// listed daemon did not respond.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// Status returns the status of a request. An error that is a *caller.Problem with
// state.ReasonUnknownRequest means that the daemons queried do not know the request.
func (c *Client) Status(ctx context.Context, id state.RequestID) (caller.StatusBody, error) {
	return c.callRequest(ctx, http.MethodGet, id)
}

// Cancel cancels a request and returns its status.
func (c *Client) Cancel(ctx context.Context, id state.RequestID) (caller.StatusBody, error) {
	return c.callRequest(ctx, http.MethodDelete, id)
}

// callRequest sends a status or cancel call for a request to one daemon after the
// other, until one returns a status or a problem other than an unknown request.
func (c *Client) callRequest(ctx context.Context, method string, id state.RequestID) (caller.StatusBody, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return caller.StatusBody{}, err
	}
	for _, base := range addresses {
		var body caller.StatusBody
		err = c.doJSON(ctx, method, base+requestPath(id), &body)
		var p *caller.Problem
		if err == nil || errors.As(err, &p) && p.Reason != state.ReasonUnknownRequest {
			return body, err
		}
	}
	return caller.StatusBody{}, err
}

func requestPath(id state.RequestID) string {
	return caller.PathRequests + "/" + url.PathEscape(string(id))
}

// doJSON makes a call whose response is JSON. A response that is not a success is
// returned as a *caller.Problem.
func (c *Client) doJSON(ctx context.Context, method, target string, into any) error {
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into)
}

// maxResponseBytes limits the size of a response that is not a stream.
const maxResponseBytes = 1 << 20

// readProblem decodes a problem document. A response without one yields a Problem
// without a reason, from which the request's outcome cannot be concluded.
func readProblem(resp *http.Response) *caller.Problem {
	var p caller.Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&p)
	if err != nil || p.Status != resp.StatusCode {
		return &caller.Problem{
			Status: resp.StatusCode, Title: http.StatusText(resp.StatusCode),
			Detail: fmt.Sprintf("status %d without a problem document", resp.StatusCode),
		}
	}
	return &p
}
