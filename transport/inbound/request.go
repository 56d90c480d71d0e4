package inbound

import (
	"errors"
	"io"
	"net/http"
)

// Bounds limit the size of a request. A zero field sets no limit.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
}

// ReadBody reads a request's complete body. status is 0 or the error status for the
// caller: 431 or 413 for a header or body over its limit, 400 for a truncated body.
// The connection can't be reused after such an error.
func ReadBody(w http.ResponseWriter, r *http.Request, b Bounds) (body []byte, status int) {
	if b.HeaderBytes > 0 && headerBytes(r) > b.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	reader := io.Reader(r.Body)
	if b.BodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, b.BodyBytes)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// headerBytes returns the size of a request's header on the wire, or a few bytes less.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}
