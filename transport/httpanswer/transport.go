package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// maxInformationalBytes bounds the heads of the informational answers before an answer. Usual ones have less than 100
// bytes.
const maxInformationalBytes = 64 << 10

// errTooManyInformational means that a server has sent maxInformationalBytes and no answer.
var errTooManyInformational = fmt.Errorf("%w: too many informational answers", ErrMalformed)

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
	c := &call{informationalLeft: maxInformationalBytes}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.Got1xxResponse != nil {
		c.informationalLeft = math.MaxInt // the caller sees them and bounds them
	}
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
	// informationalLeft is how many bytes of informational answers may still be read.
	informationalLeft int
}

func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = info.Conn
}

// got1xxResponse checks an informational answer. It keeps its error, since httptrace drops it where the caller's
// context has such a function too.
//
// Guard (endless-answer): net/http bounds informational answers only as long as there is no such function.
func (c *call) got1xxResponse(_ int, fields textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informationalLeft -= headSize(fields)
	switch err := CheckFields(http.Header(fields)); {
	case err != nil:
		c.malformed = err
	case c.informationalLeft < 0:
		c.malformed = errTooManyInformational
	}
	return c.malformed
}

// headSize returns about how many bytes a head has.
func headSize(fields textproto.MIMEHeader) int {
	const statusLine, separators = 16, 4
	size := statusLine
	for name, values := range fields {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
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
