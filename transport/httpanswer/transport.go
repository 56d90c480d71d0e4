package httpanswer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an http.RoundTripper that returns an error for a malformed answer and closes its connection. The
// error wraps ErrMalformed.
type Transport struct {
	Base http.RoundTripper // nil for http.DefaultTransport
}

func (t *Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// CloseIdleConnections closes the idle connections of Base, as http.Client expects it.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	c := &call{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: c.gotConn, Got1xxResponse: c.got1xxResponse})
	resp, err := t.base().RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(c.informationalError(), CheckHead(resp.StatusCode, resp.Header)); err != nil {
		c.closeConn()
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp, call: c}
	return resp, nil
}

// body is the body of an answer whose trailer is checked.
type body struct {
	io.ReadCloser
	resp *http.Response
	call *call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := CheckFields(b.resp.Trailer); malformed != nil {
		b.call.closeConn()
		return n, malformed
	}
	return n, err
}

// call is what a transport reports of one call.
type call struct {
	mu        sync.Mutex
	conn      net.Conn // that the request was sent on last; nil where the transport does not report it
	malformed error    // of an informational answer
}

func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = info.Conn
}

// got1xxResponse keeps its error, since httptrace drops it where the caller's context has such a function too.
func (c *call) got1xxResponse(_ int, fields textproto.MIMEHeader) error {
	err := CheckFields(http.Header(fields))
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.malformed = err
	}
	return err
}

func (c *call) informationalError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

func (c *call) closeConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}
