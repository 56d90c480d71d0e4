package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
)

// keepAlive is a comment: clients skip it, and a connection that carries it is
// known to be open.
const keepAlive = ": keep-alive\n\n"

// view writes one stream to one connection. huma's own sse package is not used:
// it writes no id for index 0, has no comments for keep-alive, and ignores
// failed writes.
type view struct {
	front    *front
	stream   caller.Stream
	out      io.Writer
	rc       *http.ResponseController
	buf      bytes.Buffer
	enc      *json.Encoder
	deadline time.Time // of the connection's writes
}

// respond returns the response that writes s, beginning with first where the
// caller waited for it.
func (f *front) respond(s caller.Stream, first *caller.Item) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer f.release(s)
		hc.SetHeader("Content-Type", "text/event-stream")
		hc.SetHeader("Cache-Control", "no-store")
		hc.SetHeader(RequestHeader, string(s.ID()))
		hc.SetStatus(http.StatusOK)
		v := &view{front: f, stream: s, out: hc.BodyWriter(), rc: exchangeOf(hc.Context()).rc}
		v.enc = json.NewEncoder(&v.buf)
		v.enc.SetEscapeHTML(false)
		f.count(v.run(hc.Context(), first))
	}}
}

// count notes why a view ended before its stream did.
func (f *front) count(err error) {
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.metrics.viewsSlow.Inc(1)
	default:
		f.metrics.viewsGone.Inc(1)
	}
}

// run writes events until the stream or the connection ends. A non-nil error
// means that the connection ended first.
func (v *view) run(ctx context.Context, first *caller.Item) error {
	if err := v.event(EventAccepted, nil, Accepted{Request: v.stream.ID()}); err != nil {
		return err
	}
	if first != nil {
		if done, err := v.item(*first); done || err != nil {
			return err
		}
	}
	for {
		done, err := v.spell(ctx)
		if done || err != nil {
			return err
		}
	}
}

// spell writes items for the length of a keep-alive interval and ends with a
// keep-alive, so that a caller never waits longer for a byte on a connection
// that works. One context serves the whole interval: one for each token would
// cost more than the token.
func (v *view) spell(ctx context.Context) (done bool, err error) {
	wait, cancel := context.WithTimeout(ctx, v.front.opts.KeepAlive)
	defer cancel()
	for {
		item, err := v.stream.Next(wait)
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		if err != nil {
			v.front.metrics.keepAlives.Inc(1)
			return false, v.write([]byte(keepAlive))
		}
		if done, err := v.item(item); done || err != nil {
			return done, err
		}
	}
}

// item writes a token or the end.
func (v *view) item(i caller.Item) (done bool, err error) {
	if i.Token == nil {
		return true, v.event(EventEnd, nil, caller.NewEndEvent(i.Outcome))
	}
	v.front.metrics.tokens.Inc(1)
	t := Token(*i.Token)
	return false, v.event(EventToken, &t.Index, &t)
}

// event writes one event and flushes it.
func (v *view) event(name string, id *int, data any) error {
	v.buf.Reset()
	if id != nil {
		v.buf.WriteString("id: ")
		v.buf.Write(strconv.AppendInt(v.buf.AvailableBuffer(), int64(*id), 10))
		v.buf.WriteByte('\n')
	}
	v.buf.WriteString("event: ")
	v.buf.WriteString(name)
	v.buf.WriteString("\ndata: ")
	// Encode ends the line; JSON text has no other line break.
	if err := v.enc.Encode(data); err != nil {
		return err
	}
	v.buf.WriteByte('\n')
	return v.write(v.buf.Bytes())
}

// write sends b within the write timeout. A caller that stopped reading, or
// whose connection went silent, holds this goroutine no longer than that.
func (v *view) write(b []byte) error {
	v.extend()
	if _, err := v.out.Write(b); err != nil {
		return err
	}
	return v.rc.Flush()
}

// extend moves the write deadline when a quarter of it is used, which spares a
// timer for each token.
func (v *view) extend() {
	now := time.Now()
	if v.deadline.Sub(now) > v.front.opts.WriteTimeout*3/4 {
		return
	}
	v.deadline = now.Add(v.front.opts.WriteTimeout)
	_ = v.rc.SetWriteDeadline(v.deadline)
}
