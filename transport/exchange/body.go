package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// body is an answer's body. Where it ends with io.EOF the answer is whole, and its
// connection goes back to the pool if nothing speaks against it.
type body struct {
	ctx  context.Context
	pool *Pool
	keep int // of Request
	conn *conn
	resp *http.Response
	stop func() bool
	sent chan error

	whole bool
	once  sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.whole = true
		return n, io.EOF
	default:
		return n, broken(b.ctx, errors.Join(backend.ErrIncomplete, err))
	}
}

// Close gives the connection back, or closes it where the answer was not read
// whole, so that the server stops work.
func (b *body) Close() error {
	b.once.Do(func() {
		live := b.stop()
		if live && b.whole && b.reusable() {
			b.pool.put(b.conn, b.resp.Header.Get("Keep-Alive"), b.keep)
			return
		}
		_ = b.conn.Close()
	})
	return nil
}

// reusable reports whether the next request on the connection can't be taken for
// the rest of this one, nor its answer for another.
func (b *body) reusable() bool {
	if b.resp.Close || b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-b.sent:
		return err == nil && b.conn.in.Buffered() == 0
	default:
		return false
	}
}
