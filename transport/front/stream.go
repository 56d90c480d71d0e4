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
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Names of the stream's events. A token's event id is its index, so that a
// standard client that reconnects sends it back as Last-Event-ID. The other
// events have no id and leave the client's as it is.
const (
	EventAccepted = "accepted"
	EventToken    = "token"
	EventEnd      = "end"
)

// RequestHeader carries the request's id on every answer about a request.
const RequestHeader = "Hibiscuswick-Request"

// keepAlive is a comment: clients skip it, and a connection that carries it is
// known to be open.
const keepAlive = ": keep-alive\n\n"

// Accepted is the data of the first event.
type Accepted struct {
	Request state.RequestID `json:"request"`
}

// Token is the data of a token's event.
type Token struct {
	Index int    `json:"index"`
	Value int64  `json:"value"`
	Text  string `json:"text"`
}

// Ending names the kinds of state.Outcome.
type Ending string

// The values of Ending.
const (
	EndCompleted Ending = "completed"
	EndRefused   Ending = "refused"
	EndFailed    Ending = "failed"
	EndUnknown   Ending = "unknown"
)

// End is the data of the last event.
type End struct {
	Outcome    Ending           `json:"outcome"`
	Tokens     int              `json:"tokens"`
	Reason     state.Reason     `json:"reason,omitempty"`
	Execution  state.Execution  `json:"execution,omitempty"`
	RetryAfter state.RetryAfter `json:"retry_after,omitempty"` // seconds
}

// endOf describes o.
func endOf(o state.Outcome) End {
	switch o := o.(type) {
	case state.Completed:
		return End{Outcome: EndCompleted, Tokens: o.Tokens}
	case state.Refused:
		return End{
			Outcome: EndRefused, Reason: o.Reason, RetryAfter: o.RetryAfter,
			Execution: state.ExecutionNotRun,
		}
	case state.Failed:
		return End{Outcome: EndFailed, Tokens: o.Tokens, Reason: o.Reason, Execution: state.ExecutionStarted}
	case state.Unknown:
		return End{Outcome: EndUnknown, Reason: o.Reason, Execution: state.ExecutionUnknown}
	default:
		// A stream that ends with nothing said: nothing may be concluded.
		return End{Outcome: EndUnknown, Reason: state.ReasonInternal, Execution: state.ExecutionUnknown}
	}
}

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
		v := &view{front: f, stream: s, out: hc.BodyWriter(), rc: controller(hc.Context())}
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
		return true, v.event(EventEnd, nil, endOf(i.Outcome))
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
