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

// keepAlive is an event-stream comment. Clients ignore it, but it shows them that the
// connection is open.
const keepAlive = ": keep-alive\n\n"

// view writes one stream to one connection. huma's sse package is not used because it
// writes no ID for index 0, can't write keep-alive comments and ignores write errors.
type view struct {
	front    *front
	stream   caller.Stream
	out      io.Writer
	rc       *http.ResponseController
	buf      bytes.Buffer
	enc      *json.Encoder
	deadline time.Time // the connection's write deadline
}

// respond returns the response that writes s. first is the item that was already taken
// from s, or nil.
func (f *front) respond(s caller.Stream, first *caller.Item) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(hc huma.Context) {
		defer f.closeView(s)
		hc.SetHeader("Content-Type", "text/event-stream")
		hc.SetHeader("Cache-Control", "no-store")
		hc.SetHeader(RequestHeader, string(s.ID()))
		hc.SetStatus(http.StatusOK)
		v := &view{front: f, stream: s, out: hc.BodyWriter(), rc: exchangeOf(hc.Context()).rc}
		v.enc = json.NewEncoder(&v.buf)
		v.enc.SetEscapeHTML(false)
		f.countViewEnd(v.run(hc.Context(), first))
	}}
}

// countViewEnd counts a view that ended before its stream, by the cause.
func (f *front) countViewEnd(err error) {
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.metrics.viewsSlow.Inc(1)
	default:
		f.metrics.viewsGone.Inc(1)
	}
}

// run writes events until the stream or the connection ends. It returns an error if the
// connection ended first.
func (v *view) run(ctx context.Context, first *caller.Item) error {
	if err := v.writeEvent(EventAccepted, nil, Accepted{Request: v.stream.ID()}); err != nil {
		return err
	}
	if first != nil {
		if done, err := v.writeItem(*first); done || err != nil {
			return err
		}
	}
	for {
		done, err := v.writeInterval(ctx)
		if done || err != nil {
			return err
		}
	}
}

// writeInterval writes items for one keep-alive interval and then a keep-alive, so that
// a caller never waits longer than that for a byte on a working connection. It uses one
// context for the interval, because one per token would cost more than the token.
func (v *view) writeInterval(ctx context.Context) (done bool, err error) {
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
		if done, err := v.writeItem(item); done || err != nil {
			return done, err
		}
	}
}

// writeItem writes a token or the end event.
func (v *view) writeItem(item caller.Item) (done bool, err error) {
	if item.Token == nil {
		return true, v.writeEvent(EventEnd, nil, caller.NewEndEvent(item.Outcome))
	}
	v.front.metrics.tokens.Inc(1)
	t := Token(*item.Token)
	return false, v.writeEvent(EventToken, &t.Index, &t)
}

// writeEvent writes and flushes one event.
func (v *view) writeEvent(name string, id *int, data any) error {
	v.buf.Reset()
	if id != nil {
		v.buf.WriteString("id: ")
		v.buf.Write(strconv.AppendInt(v.buf.AvailableBuffer(), int64(*id), 10))
		v.buf.WriteByte('\n')
	}
	v.buf.WriteString("event: ")
	v.buf.WriteString(name)
	v.buf.WriteString("\ndata: ")
	// Encode ends the line; the JSON text contains no other line break.
	if err := v.enc.Encode(data); err != nil {
		return err
	}
	v.buf.WriteByte('\n')
	return v.write(v.buf.Bytes())
}

// write writes and flushes b within the write timeout, which also bounds how long a
// caller that stopped reading, or whose connection is unresponsive, blocks this
// goroutine.
func (v *view) write(b []byte) error {
	v.extendWriteDeadline()
	if _, err := v.out.Write(b); err != nil {
		return err
	}
	return v.rc.Flush()
}

// extendWriteDeadline moves the write deadline once a quarter of the timeout has
// passed, which avoids resetting a timer for each token.
func (v *view) extendWriteDeadline() {
	now := time.Now()
	if v.deadline.Sub(now) > v.front.opts.WriteTimeout*3/4 {
		return
	}
	v.deadline = now.Add(v.front.opts.WriteTimeout)
	_ = v.rc.SetWriteDeadline(v.deadline)
}
