package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Bounds limit the size of a request. A zero field sets no limit.
type Bounds struct {
	HeaderBytes int
	BodyBytes   int64
}

// bodyTimeout is how long a body may take to arrive.
const bodyTimeout = 30 * time.Second

// ReadBody reads a request's complete body into memory that is taken from m until release is called.
// status is 0 or the error status for the caller: 431 or 413 for a header or body over its limit, 400
// for a truncated body, 408 for one that does not arrive in time, 503 if there is no memory for it. The
// connection can't be reused after such an error.
func ReadBody(w http.ResponseWriter, r *http.Request, b Bounds, m *BodyMemory) (body []byte, release func(), status int) {
	held := &bodyBuffer{memory: m, conn: connOf(r.Context())}
	switch {
	case b.HeaderBytes > 0 && headerBytes(r) > b.HeaderBytes:
		return nil, held.release, http.StatusRequestHeaderFieldsTooLarge
	case r.Body == nil || r.ContentLength == 0:
		return nil, held.release, 0
	case b.BodyBytes > 0 && r.ContentLength > b.BodyBytes:
		return nil, held.release, http.StatusRequestEntityTooLarge
	}
	reader := io.Reader(r.Body)
	if b.BodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, b.BodyBytes)
	}
	err := held.readInTime(reader, r.ContentLength)
	if err != nil {
		held.release()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return nil, held.release, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, held.release, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, held.release, http.StatusRequestTimeout
	case err != nil:
		return nil, held.release, http.StatusBadRequest
	}
	return held.data, held.release, 0
}

// readInTime is readFrom for a body that may take bodyTimeout to arrive.
func (b *bodyBuffer) readInTime(r io.Reader, length int64) error {
	if b.conn == nil {
		return b.readFrom(r, length)
	}
	defer b.conn.await()()
	if err := b.conn.Conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return err
	}
	if err := b.readFrom(r, length); err != nil {
		return err
	}
	return b.conn.Conn.SetReadDeadline(time.Time{})
}

// discardTimeout is how long the rest of a refused request's body is read.
const discardTimeout = 2 * time.Second

// DiscardBody reads the rest of the body of a request that has been answered with an error, so that
// the caller, which may still be sending it, receives the answer before the connection is closed.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the connection has ended
	}
	_, _ = io.Copy(io.Discard, r.Body) // the connection is closed in any case
}

// headerBytes returns the size of a request's header on the wire, or a few bytes less.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(":\r\n") + len(v)
		}
	}
	return n
}
