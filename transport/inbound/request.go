package inbound

import (
	"errors"
	"io"
	"net/http"
)

// Bounds are what a request may hold. A zero field sets no bound.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
}

// ReadBody reads a request's body whole. status is the refusal that its caller is to
// get, or 0: 431 or 413 for a header or body beyond its bound, 400 for a body that
// breaks off. The connection is of no use after one.
func ReadBody(w http.ResponseWriter, r *http.Request, b Bounds) (body []byte, status int) {
	if b.HeaderBytes > 0 && headerBytes(r) > b.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	from := io.Reader(r.Body)
	if b.BodyBytes > 0 {
		from = http.MaxBytesReader(w, r.Body, b.BodyBytes)
	}
	body, err := io.ReadAll(from)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// headerBytes is how many bytes a request's header took on the wire, or a few less.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}
