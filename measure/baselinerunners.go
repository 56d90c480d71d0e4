package measure

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxRestarts bounds the attempts of a baseline caller, which restarts after each
// failure.
const maxRestarts = 20

// restartRunner is the baseline for a stage failure: when a step fails, the entry runs
// the request on another replica, from its first token.
func (b *twoChoices) restartRunner() runner {
	return func(ctx context.Context, s *stream) {
		e := b.entries[s.spec.number%len(b.entries)]
		failed := -1
		for s.tries = 1; s.tries <= maxRestarts; s.tries++ {
			i := e.acquireOther(failed)
			run := &baselineRun{
				replica: e.replicas[i], spec: s.spec,
				id:      state.RequestID(fmt.Sprintf("anew-%d", s.spec.number)),
				attempt: state.Attempt(s.tries),
			}
			have, index := s.tokens(), 0
			end := run.generate(ctx, func(value int64) {
				if index++; index > have {
					s.onToken(value)
				}
			})
			e.release(i)
			s.ending, s.request = end, run.id
			if end.outcome == caller.EndCompleted || ctx.Err() != nil {
				return
			}
			failed = i
		}
	}
}

// acquireOther is acquire without one replica; -1 excludes none.
func (e *entry) acquireOther(failed int) int {
	for {
		i := e.acquire()
		if i != failed {
			return i
		}
		e.release(i)
	}
}

// resubmitRunner is the baseline for a daemon failure: a caller that never re-attaches
// to an answer, but sends a new request to a live daemon.
func (f *cluster) resubmitRunner(number int) runner {
	return func(ctx context.Context, s *stream) {
		for s.tries = 1; s.tries <= maxRestarts; s.tries++ {
			have := s.tokens()
			res, err := f.submitOnce(ctx, s.spec, number, func(t caller.TokenEvent) {
				if t.Index >= have {
					s.onToken(t.Value)
				}
			})
			s.ending, s.request = ending{res.End.Outcome, res.End.Reason}, res.Request
			if err == nil || ctx.Err() != nil {
				return
			}
		}
	}
}

func (f *cluster) submitOnce(ctx context.Context, w requestSpec, number int, onToken func(caller.TokenEvent)) (client.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := f.caller(number, &http.Client{Transport: noReattach{http.DefaultTransport, cancel}})
	return c.Do(ctx, client.Request{Class: w.class, Prompt: w.prompt, MaxTokens: w.tokens}, onToken)
}

// errReattachDisabled ends a request whose client tries to re-attach to its answer.
var errReattachDisabled = errors.New("re-attaching is disabled")

// noReattach is a transport that cancels a request instead of re-attaching to its
// answer.
type noReattach struct {
	http.RoundTripper
	cancel context.CancelCauseFunc
}

// RoundTrip implements http.RoundTripper.
func (o noReattach) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, caller.PathEvents) {
		o.cancel(errReattachDisabled)
		return nil, errReattachDisabled
	}
	return o.RoundTripper.RoundTrip(r)
}
