package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Errors of one connection; Do goes on with another.
var (
	errSilent = errors.New("connection is silent")
	errGap    = errors.New("stream leaves tokens out")
)

// endError carries the stream's end out of connect.
type endError struct{ caller.EndEvent }

func (e *endError) Error() string { return "stream ended: " + string(e.Outcome) }

// connect makes one connection to a daemon and reads it to its end. The error is
// an *endError when the request ended, a *caller.Problem when the daemon said
// why there is no stream, and anything else when the connection failed.
func (a *answer) connect(ctx context.Context, base string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// An open connection can stop carrying bytes for good. Daemons send a sign of
	// life every few seconds, so that its absence ends the connection here.
	progress := a.client.cfg.ProgressTimeout
	watchdog := time.AfterFunc(progress, func() { cancel(errSilent) })
	defer watchdog.Stop()
	alive := func() { watchdog.Reset(progress) }

	var early atomic.Value // the request's id, from an informational answer
	r, err := a.build(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			alive()
			if id := h.Get(caller.RequestHeader); id != "" {
				early.Store(state.RequestID(id))
			}
			return nil
		},
	}), base)
	if err != nil {
		return err
	}
	resp, err := a.client.cfg.HTTP.Do(r)
	if id, ok := early.Load().(state.RequestID); ok {
		a.id = id
	}
	if err != nil {
		return a.failed(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	alive()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	if id := resp.Header.Get(caller.RequestHeader); id != "" {
		a.id = state.RequestID(id)
	}
	return a.failed(ctx, a.read(newEvents(resp.Body, alive)))
}

// failed names silence as the cause where it is. Other connections of the pool
// may have gone silent with this one.
func (a *answer) failed(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		a.client.cfg.HTTP.CloseIdleConnections()
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// build makes the HTTP request: to take the answer up by the request's id where
// that is known, else to send the request under its key.
func (a *answer) build(ctx context.Context, base string) (*http.Request, error) {
	var r *http.Request
	var err error
	if a.id != "" {
		r, err = http.NewRequestWithContext(ctx, http.MethodGet, base+requestPath(a.id)+caller.PathEvents, nil)
	} else {
		r, err = a.buildSubmit(ctx, base)
	}
	if err != nil {
		return nil, err
	}
	if a.have > 0 {
		r.Header.Set(caller.LastEventHeader, strconv.Itoa(a.have-1))
	}
	r.Header.Set("Accept", "text/event-stream")
	return r, nil
}

func (a *answer) buildSubmit(ctx context.Context, base string) (*http.Request, error) {
	body, err := json.Marshal(caller.SubmitBody{
		Service:   string(a.client.cfg.Service),
		Customer:  string(a.client.cfg.Customer),
		Class:     string(a.request.Class),
		Prompt:    a.request.Prompt,
		Adapter:   a.request.Adapter,
		MaxTokens: a.request.MaxTokens,
		Deadline:  service.Duration(a.request.Deadline),
	})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+caller.PathRequests, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(caller.KeyHeader, string(a.request.Key))
	r.Header.Set(caller.PreferHeader, caller.PreferProcessing)
	return r, nil
}

// read takes events until the stream ends.
func (a *answer) read(events *events) error {
	for {
		ev, err := events.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		switch ev.name {
		case caller.EventToken:
			err = a.token(ev.data)
		case caller.EventEnd:
			err = a.end(ev.data)
		}
		if err != nil {
			return err
		}
	}
}

// token gives a token to the caller. One that it has came again and is dropped;
// one too far ahead would leave a gap, so that the connection is given up and the
// answer taken up again after the last token.
func (a *answer) token(data []byte) error {
	var t caller.TokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	switch {
	case t.Index < a.have:
		return nil
	case t.Index > a.have:
		return fmt.Errorf("%w: index %d after %d tokens", errGap, t.Index, a.have)
	}
	a.have++
	if a.onToken != nil {
		a.onToken(t)
	}
	return nil
}

// end takes the stream's end; one that claims more tokens than came is a gap.
func (a *answer) end(data []byte) error {
	var e caller.EndEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Outcome == caller.EndCompleted && e.Tokens != a.have {
		return fmt.Errorf("%w: %d of %d came", errGap, a.have, e.Tokens)
	}
	return &endError{e}
}
