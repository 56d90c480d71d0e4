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

// Errors of one connection, after which Do continues on another one.
var (
	errUnresponsive  = errors.New("connection is unresponsive")
	errMissingTokens = errors.New("stream is missing tokens")
)

// endError returns the stream's end event from connect.
type endError struct{ caller.EndEvent }

func (e *endError) Error() string { return "stream ended: " + string(e.Outcome) }

// connect makes one connection to a daemon and reads it to its end. The error is
// an *endError when the request ended, a *caller.Problem when the daemon rejected
// the call with a reason, and any other error when the connection failed.
func (a *answer) connect(ctx context.Context, base string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// An open connection can stop delivering data without being closed. Daemons send a
	// keep-alive every few seconds; the watchdog ends the connection without one.
	progress := a.client.cfg.ProgressTimeout
	watchdog := time.AfterFunc(progress, func() { cancel(errUnresponsive) })
	defer watchdog.Stop()
	onData := func() { watchdog.Reset(progress) }

	var earlyID atomic.Value // the request's ID from an informational (1xx) response
	r, err := a.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			onData()
			if id := h.Get(caller.RequestHeader); id != "" {
				earlyID.Store(state.RequestID(id))
			}
			return nil
		},
	}), base)
	if err != nil {
		return err
	}
	resp, err := a.client.cfg.HTTP.Do(r)
	if id, ok := earlyID.Load().(state.RequestID); ok {
		a.id = id
	}
	if err != nil {
		return a.connectionError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	onData()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	if id := resp.Header.Get(caller.RequestHeader); id != "" {
		a.id = state.RequestID(id)
	}
	return a.connectionError(ctx, a.readEvents(newEventReader(resp.Body, onData)))
}

// connectionError wraps err in errUnresponsive where the watchdog ended the connection.
// It then also closes the pool's idle connections, which may be unresponsive as well.
func (a *answer) connectionError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errUnresponsive) {
		a.client.cfg.HTTP.CloseIdleConnections()
		return fmt.Errorf("%w: %w", errUnresponsive, err)
	}
	return err
}

// newRequest builds the HTTP request: one that resumes the answer by the request's ID
// where it is known, otherwise one that submits the request under its key.
func (a *answer) newRequest(ctx context.Context, base string) (*http.Request, error) {
	var r *http.Request
	var err error
	if a.id != "" {
		r, err = http.NewRequestWithContext(ctx, http.MethodGet, base+requestPath(a.id)+caller.PathEvents, nil)
	} else {
		r, err = a.newSubmitRequest(ctx, base)
	}
	if err != nil {
		return nil, err
	}
	if a.delivered > 0 {
		r.Header.Set(caller.LastEventHeader, strconv.Itoa(a.delivered-1))
	}
	r.Header.Set("Accept", "text/event-stream")
	return r, nil
}

func (a *answer) newSubmitRequest(ctx context.Context, base string) (*http.Request, error) {
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

// readEvents handles events until the stream ends.
func (a *answer) readEvents(events *eventReader) error {
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
			err = a.handleToken(ev.data)
		case caller.EventEnd:
			err = a.handleEnd(ev.data)
		}
		if err != nil {
			return err
		}
	}
}

// handleToken delivers a token to the caller. A repeated token is dropped. A token
// that would leave a gap is an error: the connection is closed and the answer is
// resumed after the last delivered token.
func (a *answer) handleToken(data []byte) error {
	var t caller.TokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	switch {
	case t.Index < a.delivered:
		return nil
	case t.Index > a.delivered:
		return fmt.Errorf("%w: index %d after %d tokens", errMissingTokens, t.Index, a.delivered)
	}
	a.delivered++
	if a.onToken != nil {
		a.onToken(t)
	}
	return nil
}

// handleEnd handles the stream's end. A completed answer whose token count differs
// from the tokens received is missing tokens.
func (a *answer) handleEnd(data []byte) error {
	var e caller.EndEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	if e.Outcome == caller.EndCompleted && e.Tokens != a.delivered {
		return fmt.Errorf("%w: received %d of %d", errMissingTokens, a.delivered, e.Tokens)
	}
	return &endError{e}
}
