package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

// maxResponseBytes limits the body of one response. The largest holds all documents
// of a large site.
const maxResponseBytes = 64 << 20

// ErrNotFound is returned when a service has no active document.
var ErrNotFound = errors.New("no such service document")

// Client calls the daemons at several base URLs. It is safe for concurrent use.
type Client struct {
	servers []string
	http    *http.Client
}

// NewClient returns a client of the daemons at servers, which are base URLs such as
// "http://10.0.0.7:7080". callTimeout limits each call to one of them.
func NewClient(servers []string, callTimeout time.Duration) (*Client, error) {
	if len(servers) == 0 {
		return nil, eris.New("no server URL given")
	}
	c := &Client{http: &http.Client{Timeout: callTimeout, Transport: &httpanswer.Transport{Base: &http.Transport{
		Proxy:             http.ProxyFromEnvironment,
		DialContext:       httpanswer.Dialer(&net.Dialer{}),
		ForceAttemptHTTP2: true,
	}}}}
	for _, s := range servers {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, eris.Errorf("server %q is not a URL such as \"http://10.0.0.7:7080\"", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// response is one HTTP response with its complete body.
type response struct {
	status int
	body   []byte
}

// problem returns the problem document of an unsuccessful response.
func (r response) problem() front.Problem {
	p := front.Problem{Status: r.status, Detail: http.StatusText(r.status)}
	_ = json.Unmarshal(r.body, &p) // an error page of a proxy is not JSON
	return p
}

// call sends one request to one server.
func (c *Client) call(ctx context.Context, method, target string, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, eris.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return response{}, eris.Wrapf(err, "read response of %s", target)
	}
	return response{res.StatusCode, text}, nil
}

// isDialError reports whether err is a failure to connect, so that no byte of the
// request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// getJSON reads path from the first server that returns a success or "not found".
func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	var failures []error
	for _, server := range c.servers {
		err := c.getJSONFrom(ctx, server, path, into)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (c *Client) getJSONFrom(ctx context.Context, server, path string, into any) error {
	resp, err := c.call(ctx, http.MethodGet, server+path, nil)
	switch {
	case err != nil:
		return err
	case resp.status == http.StatusNotFound:
		return ErrNotFound
	case resp.status != http.StatusOK:
		return eris.Errorf("%s%s: %d %s", server, path, resp.status, resp.problem().Detail)
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return eris.Wrapf(err, "%s%s", server, path)
	}
	return nil
}

// Documents returns the active service documents.
func (c *Client) Documents(ctx context.Context) ([]service.Versioned, error) {
	var all []service.Versioned
	err := c.getJSON(ctx, front.PathDocuments, &all)
	return all, err
}

// Document returns the active document of one service, or ErrNotFound.
func (c *Client) Document(ctx context.Context, id state.ServiceID) (service.Versioned, error) {
	var v service.Versioned
	err := c.getJSON(ctx, documentPath(id), &v)
	return v, err
}

func documentPath(id state.ServiceID) string {
	return front.PathDocuments + "/" + url.PathEscape(string(id))
}

// Status returns the status of the first daemon that responds, with its view of the
// other daemons.
func (c *Client) Status(ctx context.Context) (caller.DaemonStatus, error) {
	var s caller.DaemonStatus
	err := c.getJSON(ctx, front.PathDaemon, &s)
	return s, err
}

func (c *Client) statusOf(ctx context.Context, server string) (caller.DaemonStatus, error) {
	var s caller.DaemonStatus
	err := c.getJSONFrom(ctx, strings.TrimSuffix(server, "/"), front.PathDaemon, &s)
	return s, err
}
