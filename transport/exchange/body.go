package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/transport/httpanswer"
)

// body is an answer's body. If it ends with io.EOF the answer is complete, and its
// connection returns to the pool if it is reusable.
type body struct {
	ctx        context.Context
	pool       *Pool
	maxIdle    int // Request.MaxIdle
	conn       *conn
	resp       *http.Response
	stopCancel func() bool // detaches the connection from ctx
	writeErr   chan error  // receives the result of writing the request

	complete bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endError()
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.complete = true
		return n, io.EOF
	default:
		return n, incompleteError(b.ctx, errors.Join(backend.ErrIncomplete, err))
	}
}

// endError returns io.EOF, or the error of a body that has ended with a broken trailer.
func (b *body) endError() error {
	if err := httpanswer.CheckFields(b.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// Close returns the connection to the pool. If the answer was not read completely it
// closes the connection instead, so that the server stops working on the request.
func (b *body) Close() error {
	b.once.Do(func() {
		active := b.stopCancel()
		if active && b.complete && b.reusable() {
			b.pool.putIdle(b.conn, b.resp.Header.Get("Keep-Alive"), b.maxIdle)
			return
		}
		_ = b.conn.Close()
	})
	return nil
}

// reusable reports whether the connection is at a message boundary in both
// directions: the next request can't be read as the rest of this one, nor the rest
// of this answer as the next one.
func (b *body) reusable() bool {
	if b.resp.Close || isUnframed(b.resp) {
		return false
	}
	select {
	case err := <-b.writeErr:
		return err == nil && b.conn.reader.Buffered() == 0
	default:
		return false
	}
}

// isUnframed reports whether an answer's body ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
