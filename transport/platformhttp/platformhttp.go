// Package platformhttp is the HTTP/1.1 binding of the platform contract:
// clients of the table service, the object store and the instance list.
//
// Status 409 is platform.ErrConflict and 404 is platform.ErrNotFound; both are
// definite results. Anything else but a complete 200 means "not answered": a write may
// have taken effect. The clients never retry a call, because only their caller can
// find out whether the first one took effect.
package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/transport/httpcall"
)

// Options configure a client's connections.
type Options = httpcall.Options

// Errors of calls that were not answered, besides the context's own.
var (
	// ErrUnresponsive: the connection carried no byte for Options.ProgressTimeout.
	ErrUnresponsive = httpcall.ErrUnresponsive
	// ErrNotSent: no byte of the call left this process.
	ErrNotSent = httpcall.ErrNotSent
)

// StatusError is an answer that means neither success, conflict nor absence.
type StatusError struct {
	Status int
	Detail string
}

// Error returns the status and the platform's error text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}

// client holds what the clients have in common.
type client struct {
	base   string
	caller *httpcall.Caller
}

func newClient(baseURL string, opts Options) client {
	return client{base: baseURL, caller: httpcall.New(opts)}
}

// Close closes idle connections.
func (c client) Close() {
	c.caller.Close()
}

// do makes one call and returns the body of a 200 answer.
func (c client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	answer, err := c.caller.Do(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	var f platform.Fault
	if answer.Status != http.StatusOK && json.Unmarshal(answer.Body, &f) != nil {
		f.Error = "no detail"
	}
	switch answer.Status {
	case http.StatusOK:
		return answer.Body, nil
	case http.StatusConflict:
		return nil, fmt.Errorf("%w: %s", platform.ErrConflict, f.Error)
	case http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", platform.ErrNotFound, f.Error)
	default:
		return nil, &StatusError{Status: answer.Status, Detail: f.Error}
	}
}

// Table is a platform.Table over HTTP.
type Table struct{ client }

var _ platform.Table = (*Table)(nil)

// NewTable returns a client of the table service at baseURL, for example
// "http://10.0.0.7:8080".
func NewTable(baseURL string, opts Options) *Table {
	return &Table{newClient(baseURL, opts)}
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) ([]platform.Row, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, err
	}
	answer, err := t.do(ctx, http.MethodPost, platform.PathTxn, body)
	if err != nil {
		return nil, err
	}
	rows, err := decodeBody[platform.Rows](answer)
	return rows.Rows, err
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, table, key string) (platform.Row, error) {
	path := platform.PathRows + "/" + url.PathEscape(table) + "/" + url.PathEscape(key)
	answer, err := t.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return platform.Row{}, err
	}
	return decodeBody[platform.Row](answer)
}

// Scan implements platform.Table.
func (t *Table) Scan(ctx context.Context, table, prefix string) ([]platform.Row, error) {
	path := platform.PathRows + "/" + url.PathEscape(table) + "?prefix=" + url.QueryEscape(prefix)
	answer, err := t.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	rows, err := decodeBody[platform.Rows](answer)
	return rows.Rows, err
}

// Objects is a platform.Objects over HTTP.
type Objects struct{ client }

var _ platform.Objects = (*Objects)(nil)

// NewObjects returns a client of the object store at baseURL.
func NewObjects(baseURL string, opts Options) *Objects {
	return &Objects{newClient(baseURL, opts)}
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.do(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.do(ctx, http.MethodGet, objectPath(name), nil)
}

func objectPath(name string) string {
	return platform.PathObjects + "/" + url.PathEscape(name)
}

// Instances is a platform.Instances over HTTP.
type Instances struct{ client }

var _ platform.Instances = (*Instances)(nil)

// NewInstances returns a client of the instance list at baseURL.
func NewInstances(baseURL string, opts Options) *Instances {
	return &Instances{newClient(baseURL, opts)}
}

// List implements platform.Instances.
func (i *Instances) List(ctx context.Context) ([]platform.Instance, error) {
	answer, err := i.do(ctx, http.MethodGet, platform.PathInstances, nil)
	if err != nil {
		return nil, err
	}
	list, err := decodeBody[platform.InstanceList](answer)
	return list.Instances, err
}

// decodeBody decodes the body of a 200 answer. A malformed one counts as not answered.
func decodeBody[T any](body []byte) (T, error) {
	var out T
	if err := json.Unmarshal(body, &out); err != nil {
		var zero T
		return zero, fmt.Errorf("malformed answer: %w", err)
	}
	return out, nil
}
