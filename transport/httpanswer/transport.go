package httpanswer

import (
	"net/http"
	"net/http/httptrace"
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
	var used lastConn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: used.set})
	resp, err := t.base().RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp.StatusCode); err != nil {
		used.close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// lastConn is the connection that a request was sent on last.
type lastConn struct {
	mu   sync.Mutex
	info httptrace.GotConnInfo
}

func (l *lastConn) set(info httptrace.GotConnInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.info = info
}

func (l *lastConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.info.Conn != nil { // it is nil where Base does not report its connections
		_ = l.info.Conn.Close()
	}
}
