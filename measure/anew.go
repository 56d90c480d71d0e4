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

// maxAnew bounds how often a caller of the baseline begins anew.
const maxAnew = 20

// beginAnew is the baseline of a stage's failure: an entry that runs the request
// on another replica from its first token when a step fails.
func (b *twoChoices) beginAnew() runner {
	return func(ctx context.Context, s *stream) {
		e := b.entries[s.work.number%len(b.entries)]
		failed := -1
		for s.tries = 1; s.tries <= maxAnew; s.tries++ {
			i := e.takeOther(failed)
			run := &baseRun{
				replica: e.replicas[i], work: s.work,
				id:      state.RequestID(fmt.Sprintf("anew-%d", s.work.number)),
				attempt: state.Attempt(s.tries),
			}
			have, index := s.tokens(), 0
			end := run.all(ctx, func(value int64) {
				if index++; index > have {
					s.onToken(value)
				}
			})
			e.give(i)
			s.ending, s.request = end, run.id
			if end.outcome == caller.EndCompleted || ctx.Err() != nil {
				return
			}
			failed = i
		}
	}
}

// takeOther is take without one replica; -1 leaves none out.
func (e *entry) takeOther(failed int) int {
	for {
		i := e.take()
		if i != failed {
			return i
		}
		e.give(i)
	}
}

// sendAnew is the baseline of a daemon's failure: a caller that never takes an
// answer up again but sends the request anew, as another one, to a daemon that
// lives.
func (f *fleet) sendAnew(number int) runner {
	return func(ctx context.Context, s *stream) {
		for s.tries = 1; s.tries <= maxAnew; s.tries++ {
			have := s.tokens()
			res, err := f.sendOnce(ctx, s.work, number, func(t caller.TokenEvent) {
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

func (f *fleet) sendOnce(ctx context.Context, w work, number int, onToken func(caller.TokenEvent)) (client.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := f.caller(number, &http.Client{Transport: onlySubmit{http.DefaultTransport, cancel}})
	return c.Do(ctx, client.Request{Class: w.class, Prompt: w.prompt, MaxTokens: w.tokens}, onToken)
}

// errReattach ends a request whose client would take its answer up again.
var errReattach = errors.New("the caller does not re-attach")

// onlySubmit ends a request instead of taking its answer up again.
type onlySubmit struct {
	http.RoundTripper
	cancel context.CancelCauseFunc
}

// RoundTrip implements http.RoundTripper.
func (o onlySubmit) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, caller.PathEvents) {
		o.cancel(errReattach)
		return nil, errReattach
	}
	return o.RoundTripper.RoundTrip(r)
}
