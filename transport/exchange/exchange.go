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
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

// maxMismatched bounds how many answers to other requests are skipped before the
// matching one.
const maxMismatched = 2

// maxMismatchedBody bounds the body of a skipped answer, in bytes.
const maxMismatchedBody = 64 << 10

// Request is one request to one server.
type Request struct {
	Address string
	Method  string
	Target  string // path and query
	Header  http.Header
	Body    []byte
	// ID identifies the request: a server returns it in the header field IDHeader of its response. It
	// is "" for a call that has none.
	ID, IDHeader string
	// MaxIdle bounds the idle connections kept to the server, including this request's
	// own; 0 means the default.
	MaxIdle int
	// NewConn sends the request on a new connection.
	NewConn bool
	// Admit is called when a connection is ready, immediately before the request is
	// written; reused is set if the connection has carried a request before. If it returns false, nothing is written. nil admits each request.
	Admit func(reused bool) bool
}

// Response is the head of an answer and its unread body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Unframed is set if the body has neither a length nor chunks, and ends with its connection.
	Unframed bool
}

// Do sends a request and reads the head of its answer. Its errors wrap
// backend.ErrNotSent, with backend.ErrWithdrawn if the request was not admitted,
// backend.ErrIncomplete or the context's error. Nothing is written once ctx has ended,
// also if Admit ends it. Canceling ctx closes the connection until Body is closed.
func (p *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	for {
		c, err := p.connFor(ctx, &req)
		if err != nil {
			return nil, err
		}
		admitted := req.Admit == nil || req.Admit(c.reused)
		if ctx.Err() != nil {
			p.putUnused(c, req.MaxIdle)
			return nil, errors.Join(backend.ErrNotSent, context.Cause(ctx))
		}
		if !admitted {
			_ = c.Close()
			return nil, errors.Join(backend.ErrNotSent, backend.ErrWithdrawn)
		}
		resp, err := p.roundTrip(ctx, c, &req)
		if err == nil {
			return resp, nil
		}
		_ = c.Close()
		// A write to a pooled connection that the server has closed sends no byte.
		// A new connection shows whether the server is reachable.
		if c.reused && errors.Is(err, backend.ErrNotSent) && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

// roundTrip runs one request on c.
func (p *Pool) roundTrip(ctx context.Context, c *conn, req *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.wrote.Store(false)
	c.begin(req)
	writeErr := make(chan error, 1)
	if len(req.Body) > bufferSize {
		// A server may answer before it has read a long body.
		go func() { writeErr <- writeRequest(c, req) }()
	} else if err := writeRequest(c, req); err != nil && !c.wrote.Load() {
		stop()
		return nil, errors.Join(backend.ErrNotSent, err)
	} else {
		writeErr <- err
	}
	resp, err := readHead(c, req) //nolint:bodyclose // the body of the Response closes it
	if err != nil {
		stop()
		_ = c.Close()
		if !c.wrote.Load() && <-writeErr != nil {
			return nil, errors.Join(backend.ErrNotSent, err)
		}
		return nil, incompleteError(ctx, err)
	}
	b := &body{pool: p, maxIdle: req.MaxIdle, conn: c, resp: resp, stopCancel: stop, writeErr: writeErr, ctx: ctx}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: b, Unframed: isUnframed(resp)}, nil
}

// incompleteError marks a failure after bytes of the request were sent.
func incompleteError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Join(backend.ErrIncomplete, cause)
	}
	return errors.Join(backend.ErrIncomplete, err)
}

// matches reports whether a response belongs to the request. A server may leave out the ID, unless the
// response may as well be a late copy of the one to the call before, which had none.
//
// Guard (late-copy-without-id): such a copy would be taken for the response to a request.
func (r *Request) matches(h http.Header, c *conn) bool {
	id := h.Get(r.IDHeader)
	return id == r.ID || id == "" && !c.copyHasNoID
}

// writeRequest writes the head and body in as few system calls as possible.
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

// readHead reads the head of the matching answer and skips informational responses
// and answers to other requests.
func readHead(c *conn, req *Request) (*http.Response, error) {
	request := &http.Request{Method: req.Method}
	mismatched := 0
	c.inHead, c.headLeft = true, maxHeadBytes
	defer func() { c.inHead = false }()
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := httpanswer.CheckHead(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.matches(resp.Header, c) {
			return resp, nil
		}
		mismatched++
		if mismatched > maxMismatched || resp.Close {
			return nil, textproto.ProtocolError("too many answers to other requests")
		}
		c.inHead = false
		if _, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBody); !errors.Is(err, io.EOF) {
			return nil, textproto.ProtocolError("answer to another request is too long to skip")
		}
		c.inHead = true
	}
}
