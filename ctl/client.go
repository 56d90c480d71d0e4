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
)

// maxAnswer bounds the body of one answer: the documents of a large site.
const maxAnswer = 64 << 20

// ErrNotFound says that no document of that name is in force.
var ErrNotFound = errors.New("no such service document")

// Client talks to the daemons at several base URLs. It may be used by many
// goroutines at once.
type Client struct {
	servers []string
	http    *http.Client
}

// NewClient returns a client of the daemons at servers, base URLs such as
// "http://10.0.0.7:7080". Each call to one of them may take callTimeout.
func NewClient(servers []string, callTimeout time.Duration) (*Client, error) {
	if len(servers) == 0 {
		return nil, eris.New("no server is given")
	}
	c := &Client{http: &http.Client{Timeout: callTimeout}}
	for _, s := range servers {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, eris.Errorf("server %q is no URL such as \"http://10.0.0.7:7080\"", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// answer is one HTTP answer, read whole.
type answer struct {
	status int
	body   []byte
}

// problem returns the problem document of an answer that is no success.
func (a answer) problem() front.Problem {
	p := front.Problem{Status: a.status, Detail: http.StatusText(a.status)}
	_ = json.Unmarshal(a.body, &p) // a proxy's page has no more to say
	return p
}

// call sends one request to one server.
func (c *Client) call(ctx context.Context, method, target string, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, eris.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return answer{}, eris.Wrapf(err, "answer of %s", target)
	}
	return answer{res.StatusCode, text}, nil
}

// notSent reports whether err shows that not one byte of a request left: there
// was no connection.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// read gets path from the first server that answers it with a success or with
// "not found".
func (c *Client) read(ctx context.Context, path string, into any) error {
	var failures []error
	for _, server := range c.servers {
		err := c.readFrom(ctx, server, path, into)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (c *Client) readFrom(ctx context.Context, server, path string, into any) error {
	a, err := c.call(ctx, http.MethodGet, server+path, nil)
	switch {
	case err != nil:
		return err
	case a.status == http.StatusNotFound:
		return ErrNotFound
	case a.status != http.StatusOK:
		return eris.Errorf("%s%s: %d %s", server, path, a.status, a.problem().Detail)
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return eris.Wrapf(err, "%s%s", server, path)
	}
	return nil
}

// Documents reads the service documents in force.
func (c *Client) Documents(ctx context.Context) ([]service.Versioned, error) {
	var all []service.Versioned
	err := c.read(ctx, front.PathDocuments, &all)
	return all, err
}

// Document reads one service document, or ErrNotFound.
func (c *Client) Document(ctx context.Context, id state.ServiceID) (service.Versioned, error) {
	var v service.Versioned
	err := c.read(ctx, documentPath(id), &v)
	return v, err
}

func documentPath(id state.ServiceID) string {
	return front.PathDocuments + "/" + url.PathEscape(string(id))
}

// Status reads the state of the first daemon that answers, and its peers as it
// sees them.
func (c *Client) Status(ctx context.Context) (caller.DaemonStatus, error) {
	var s caller.DaemonStatus
	err := c.read(ctx, front.PathDaemon, &s)
	return s, err
}

func (c *Client) statusOf(ctx context.Context, server string) (caller.DaemonStatus, error) {
	var s caller.DaemonStatus
	err := c.readFrom(ctx, strings.TrimSuffix(server, "/"), front.PathDaemon, &s)
	return s, err
}
