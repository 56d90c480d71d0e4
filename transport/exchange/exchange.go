package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// maxForeign is how many answers of other requests are skipped before ours.
const maxForeign = 2

// maxForeignBody bounds the body of an answer that is skipped.
const maxForeignBody = 64 << 10

// Request is one request to one server.
type Request struct {
	Address string
	Method  string
	Target  string // path and query
	Header  http.Header
	Body    []byte
	// Mine tells from an answer's header whether it is ours; nil takes any.
	MatchResponse func(http.Header) bool
	// Keep is how many idle connections to the server may be kept, this request's included; 0
	// for the usual number.
	MaxIdle int
}

// Response is the head of an answer.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Do sends a request and reads the head of its answer. Its errors are
// backend.ErrNotSent, backend.ErrBroken or the context's own. Canceling ctx closes
// the connection at any time until Body is closed.
func (p *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	for {
		c, err := p.take(ctx, req.Address)
		if err != nil {
			return nil, err
		}
		resp, err := p.exchange(ctx, c, &req)
		if err == nil {
			return resp, nil
		}
		_ = c.Close()
		// A kept connection that the server has closed takes no byte; a new one
		// tells whether the server is there.
		if c.reused && errors.Is(err, backend.ErrNotSent) && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

// exchange runs one request on c.
func (p *Pool) exchange(ctx context.Context, c *conn, req *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.wrote.Store(false)
	sent := make(chan error, 1)
	if len(req.Body) > bufferSize {
		// A server may answer before it has read a long body.
		go func() { sent <- writeRequest(c, req) }()
	} else if err := writeRequest(c, req); err != nil && !c.wrote.Load() {
		stop()
		return nil, errors.Join(backend.ErrNotSent, err)
	} else {
		sent <- err
	}
	resp, err := readHead(c, req) //nolint:bodyclose // the body of the Response closes it
	if err != nil {
		stop()
		_ = c.Close()
		if !c.wrote.Load() && <-sent != nil {
			return nil, errors.Join(backend.ErrNotSent, err)
		}
		return nil, broken(ctx, err)
	}
	b := &body{pool: p, keep: req.MaxIdle, conn: c, resp: resp, stop: stop, sent: sent, ctx: ctx}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, nil
}

// broken gives an error after the request left its meaning.
func broken(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Join(backend.ErrIncomplete, cause)
	}
	return errors.Join(backend.ErrIncomplete, err)
}

// writeRequest writes head and body in as few writes as possible.
func writeRequest(c *conn, req *Request) error {
	w := bufio.NewWriterSize(c, bufferSize)
	head := req.Method + " " + req.Target + " HTTP/1.1\r\n"
	if req.Header.Get("Host") == "" {
		head += "Host: " + req.Address + "\r\n"
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		head += "Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n"
	}
	if _, err := w.WriteString(head); err != nil {
		return err
	}
	if err := req.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(req.Body); err != nil {
		return err
	}
	return w.Flush()
}

// readHead reads the head of our answer, past interim ones and those of other
// requests.
func readHead(c *conn, req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	foreign := 0
	for {
		resp, err := http.ReadResponse(c.in, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if req.MatchResponse == nil || req.MatchResponse(resp.Header) {
			return resp, nil
		}
		foreign++
		if foreign > maxForeign || resp.Close {
			return nil, textproto.ProtocolError("answers of other requests")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxForeignBody); !errors.Is(err, io.EOF) {
			return nil, textproto.ProtocolError("long answer of another request")
		}
	}
}
