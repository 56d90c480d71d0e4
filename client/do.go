package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxBackoffDoublings limits how often the delay between two attempts doubles.
const maxBackoffDoublings = 5

// Request describes one request to the service.
type Request struct {
	Class     state.ClassID
	Key       state.IdempotencyKey // empty generates a random one
	Deadline  time.Duration        // to the first token; 0 uses the class's
	Prompt    string
	Adapter   string
	MaxTokens int // 0 uses the class's
}

// Result describes how a request ended.
type Result struct {
	Request  state.RequestID // empty if none was assigned
	Key      state.IdempotencyKey
	End      caller.EndEvent
	Attempts int // connections made
}

// ErrGaveUp is returned after too many consecutive connections without progress. The
// outcome of the request is unknown; Do with the same key continues it.
var ErrGaveUp = errors.New("gave up after too many attempts without progress")

// Do sends r and calls onToken with each token once, in order. A nil error means
// that the request ended as reported in Result.End. With an error, which is that of
// ctx or ErrGaveUp, the outcome in End is unknown.
func (c *Client) Do(ctx context.Context, r Request, onToken func(caller.TokenEvent)) (Result, error) {
	if r.Key == "" {
		r.Key = state.IdempotencyKey(rand.Text())
	}
	a := &answer{client: c, request: r, onToken: onToken}
	a.result.Key = r.Key
	a.result.End = caller.EndEvent{Outcome: caller.EndUnknown, Execution: state.ExecutionUnknown}
	err := a.run(ctx)
	a.result.Request = a.id
	return a.result, err
}

// answer holds the state of one call of Do.
type answer struct {
	client  *Client
	request Request
	onToken func(caller.TokenEvent)
	result  Result

	id           state.RequestID // empty until known, or when daemons no longer know it
	delivered    int             // tokens delivered to the caller
	addressIndex int             // index of the address in use
	idleAttempts int             // consecutive attempts without progress
	refusals     int
}

// run makes connections until the request ends, ctx ends or too many attempts in a
// row make no progress.
func (a *answer) run(ctx context.Context) error {
	for {
		before, id := a.delivered, a.id
		ended, retryAfter, err := a.attempt(ctx)
		if ended {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		a.idleAttempts++
		if a.delivered > before || a.id != id {
			a.idleAttempts = 0
		}
		if a.idleAttempts >= a.client.cfg.MaxAttempts {
			return fmt.Errorf("%w: %w", ErrGaveUp, err)
		}
		if err := sleep(ctx, max(retryAfter, a.backoff())); err != nil {
			return err
		}
	}
}

// backoff returns the delay before the next attempt, with jitter so that the callers
// of a failed daemon do not all reach the next one at the same time.
func (a *answer) backoff() time.Duration {
	d := a.client.cfg.RetryDelay << min(a.idleAttempts, maxBackoffDoublings)
	return d/2 + mathrand.N(d/2)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt makes one connection. ended reports that the request's outcome is in
// a.result; otherwise retryAfter is the delay that the daemon requested, and err says
// why the attempt did not end the request.
func (a *answer) attempt(ctx context.Context) (ended bool, retryAfter time.Duration, err error) {
	addresses, err := a.client.Addresses(ctx)
	if err != nil {
		return false, 0, err
	}
	a.result.Attempts++
	err = a.connect(ctx, addresses[a.addressIndex%len(addresses)])
	var p *caller.Problem
	var end *endError
	switch {
	case errors.As(err, &end):
		return a.handleOutcome(end.EndEvent)
	case errors.As(err, &p):
		return a.handleProblem(p)
	default:
		// The daemon or the connection failed; another daemon can resume the answer.
		a.addressIndex++
		a.client.expireAddresses()
		return false, 0, err
	}
}

// handleProblem handles a response that is not a stream.
func (a *answer) handleProblem(p *caller.Problem) (bool, time.Duration, error) {
	if p.Reason == state.ReasonUnknownRequest && a.id != "" {
		// This daemon can't resume the answer by the request's ID. The idempotency
		// key still identifies the request, so sending it again does not run it twice.
		a.id = ""
		a.addressIndex++
		return false, 0, p
	}
	if p.Reason == "" {
		a.addressIndex++
		return false, 0, p
	}
	end := caller.EndEvent{Reason: p.Reason, Execution: p.Execution, RetryAfter: p.RetryAfter, Tokens: a.delivered}
	switch p.Execution {
	case state.ExecutionNotRun:
		end.Outcome = caller.EndRefused
	case state.ExecutionStarted:
		end.Outcome = caller.EndFailed
	default:
		end.Outcome = caller.EndUnknown
	}
	return a.handleOutcome(end)
}

// handleOutcome stores the request's outcome, unless it is a refusal to be retried.
func (a *answer) handleOutcome(end caller.EndEvent) (bool, time.Duration, error) {
	if end.Outcome == caller.EndRefused && isTransient(end.Reason) && a.refusals < a.client.cfg.MaxRefusals {
		a.refusals++
		a.id = ""
		if isDaemonSpecific(end.Reason) {
			a.addressIndex++
			a.client.expireAddresses()
		}
		return false, time.Duration(end.RetryAfter) * time.Second, fmt.Errorf("refused: %s", end.Reason)
	}
	a.result.End = end
	return true, 0, nil
}

// isTransient reports whether a refusal with this reason may succeed on a retry.
func isTransient(r state.Reason) bool {
	switch r {
	case state.ReasonCustomerLimit, state.ReasonQueueFull, state.ReasonNoReplica, state.ReasonStoreUnavailable:
		return true
	default:
		return isDaemonSpecific(r)
	}
}

// isDaemonSpecific reports whether a refusal's reason concerns only the daemon that
// sent it, so that another daemon may accept the request.
func isDaemonSpecific(r state.Reason) bool {
	return r == state.ReasonDraining || r == state.ReasonIsolated
}
