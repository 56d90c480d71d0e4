// Package enginehttp is the HTTP/1.1 binding of the engine contract: clients of
// model engines and plain services, and a Batcher that combines concurrent steps
// to one engine into batches.
//
// Any answer that is not a complete, well-formed 200 is an error and so, by the
// contract, "not answered". The clients never retry a call.
package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/httpcall"
)

// Options configure a client's connections.
type Options = httpcall.Options

// ErrUnresponsive marks calls whose connection carried no byte for
// Options.ProgressTimeout. Whether such a call took effect is unknown.
var ErrUnresponsive = httpcall.ErrUnresponsive

// StatusError is an answer whose status is not 200.
type StatusError struct {
	Status int
	Detail string
}

// Error returns the status and the engine's error text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// Client is an engine.Engine over HTTP.
type Client struct {
	base   string
	caller *httpcall.Caller
}

var _ engine.Engine = (*Client)(nil)

// New returns a client of the engine at address, given as host:port. It connects
// on the first call.
func New(address string, opts Options) *Client {
	return &Client{base: "http://" + address, caller: httpcall.New(opts)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.caller.Close()
}

// Step implements engine.Engine.
func (c *Client) Step(ctx context.Context, steps []engine.StepRequest) ([]engine.StepResult, error) {
	results, err := call[engine.StepResults](ctx, c.caller, http.MethodPost, c.base+engine.PathStep, engine.StepBatch{Steps: steps})
	if err != nil {
		return nil, err
	}
	if len(results.Results) != len(steps) {
		return nil, fmt.Errorf("%d results for %d steps", len(results.Results), len(steps))
	}
	return results.Results, nil
}

// Resume implements engine.Engine.
func (c *Client) Resume(ctx context.Context, request state.RequestID, attempt state.Attempt, epoch state.Epoch) (engine.AttemptState, error) {
	body := engine.ResumeCall{Request: request, Attempt: attempt, Epoch: epoch}
	held, err := call[engine.AttemptState](ctx, c.caller, http.MethodPost, c.base+engine.PathResume, body)
	return held, mapStatus(err, http.StatusConflict, engine.ErrStaleEpoch)
}

// Cancel implements engine.Engine.
func (c *Client) Cancel(ctx context.Context, request state.RequestID, attempt state.Attempt) (engine.AttemptState, error) {
	body := engine.AttemptCall{Request: request, Attempt: attempt}
	return call[engine.AttemptState](ctx, c.caller, http.MethodPost, c.base+engine.PathCancel, body)
}

// ExportKV implements engine.Engine.
func (c *Client) ExportKV(ctx context.Context, request state.RequestID, attempt state.Attempt) ([]byte, error) {
	body := engine.AttemptCall{Request: request, Attempt: attempt}
	kv, err := call[engine.KV](ctx, c.caller, http.MethodPost, c.base+engine.PathExportKV, body)
	return kv.KV, mapStatus(err, http.StatusConflict, engine.ErrCacheNotHeld)
}

// ImportKV implements engine.Engine.
func (c *Client) ImportKV(ctx context.Context, request state.RequestID, attempt state.Attempt, kv []byte) error {
	body := engine.KV{Request: request, Attempt: attempt, KV: kv}
	_, err := call[struct{}](ctx, c.caller, http.MethodPost, c.base+engine.PathImportKV, body)
	return mapStatus(err, http.StatusConflict, engine.ErrCacheNotHeld)
}

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	return call[engine.Load](ctx, c.caller, http.MethodGet, c.base+engine.PathLoad, nil)
}

// CacheEvents implements engine.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	url := c.base + engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	events, err := call[engine.CacheEvents](ctx, c.caller, http.MethodGet, url, nil)
	return events.Events, err
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	return call[engine.OrderResult](ctx, c.caller, http.MethodPost, c.base+engine.PathOrder, o)
}

// State implements engine.Engine.
func (c *Client) State(ctx context.Context) (engine.State, error) {
	return call[engine.State](ctx, c.caller, http.MethodGet, c.base+engine.PathState, nil)
}

// PlainClient is an engine.Plain over HTTP.
type PlainClient struct {
	base   string
	caller *httpcall.Caller
}

var _ engine.Plain = (*PlainClient)(nil)

// NewPlain returns a client of the plain service at address, given as
// host:port.
func NewPlain(address string, opts Options) *PlainClient {
	return &PlainClient{base: "http://" + address, caller: httpcall.New(opts)}
}

// Close closes idle connections.
func (c *PlainClient) Close() {
	c.caller.Close()
}

// Call implements engine.Plain.
func (c *PlainClient) Call(ctx context.Context, pc engine.PlainCall) (engine.PlainResult, error) {
	return call[engine.PlainResult](ctx, c.caller, http.MethodPost, c.base+engine.PathCall, pc)
}

// Load implements engine.Plain.
func (c *PlainClient) Load(ctx context.Context) (engine.Load, error) {
	return call[engine.Load](ctx, c.caller, http.MethodGet, c.base+engine.PathLoad, nil)
}

// call makes one call with in as its JSON body; nil means no body.
func call[T any](ctx context.Context, caller *httpcall.Caller, method, url string, in any) (T, error) {
	var out T
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return out, engine.MarkNotSent(err)
		}
		body = b
	}
	answer, err := caller.Do(ctx, method, url, body)
	if errors.Is(err, httpcall.ErrNotSent) {
		return out, engine.MarkNotSent(err)
	}
	if err != nil {
		return out, err
	}
	if answer.Status != http.StatusOK {
		return out, statusError(answer)
	}
	if err := json.Unmarshal(answer.Body, &out); err != nil {
		var zero T
		return zero, fmt.Errorf("malformed answer: %w", err)
	}
	return out, nil
}

// statusError returns the error of an answer whose status is not 200.
func statusError(a httpcall.Answer) error {
	var f engine.Fault
	if json.Unmarshal(a.Body, &f) != nil {
		f.Error = "no detail"
	}
	return &StatusError{Status: a.Status, Detail: f.Error}
}

// mapStatus replaces a StatusError of the given status by meaning.
func mapStatus(err error, status int, meaning error) error {
	var s *StatusError
	if errors.As(err, &s) && s.Status == status {
		return fmt.Errorf("%w: %s", meaning, s.Detail)
	}
	return err
}
