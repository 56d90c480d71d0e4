package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// stream is the answer to one caller in a round.
type stream struct {
	spec requestSpec

	mu     sync.Mutex
	times  []time.Time // arrival of each token
	values []int64

	// Set at the end.
	ending
	request state.RequestID
	tries   int // connections, or executions if the caller restarts the request

	done chan struct{} // closed at the end
}

func (s *stream) onToken(value int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, time.Now())
	s.values = append(s.values, value)
}

func (s *stream) tokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.times)
}

func (s *stream) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// complete reports whether all tokens arrived once, in order and with the expected
// values.
func (s *stream) complete() bool {
	return s.outcome == caller.EndCompleted &&
		slices.Equal(s.values, standin.ExpectedTokens(s.spec.prompt, s.spec.tokens))
}

// timeToNextToken returns the time from at to the next token, and false if no token
// followed.
func (s *stream) timeToNextToken(at time.Time) (time.Duration, bool) {
	i := slices.IndexFunc(s.times, func(t time.Time) bool { return t.After(at) })
	if i < 0 {
		return 0, false
	}
	return s.times[i].Sub(at), true
}

// describe says how a stream ended that a fault at the given time disturbed, and how
// long it had no token then.
func (s *stream) describe(at time.Time, gap time.Duration) string {
	return fmt.Sprintf("fault at %s: request %s had %d of %d tokens, next token after %d ms, ended as %s %s",
		at.UTC().Format(time.RFC3339Nano), s.request, len(s.times), s.spec.tokens, gap.Milliseconds(), s.outcome, s.reason)
}

// runner runs one request and reads its answer into a stream.
type runner func(ctx context.Context, s *stream)

// reattachingRunner runs requests with the client library, which re-attaches to an
// answer.
func reattachingRunner(c *client.Client) runner {
	return func(ctx context.Context, s *stream) {
		res, _ := c.Do(ctx, client.Request{Class: s.spec.class, Prompt: s.spec.prompt, MaxTokens: s.spec.tokens},
			func(t caller.TokenEvent) { s.onToken(t.Value) })
		s.ending = ending{res.End.Outcome, res.End.Reason}
		s.request, s.tries = res.Request, res.Attempts
	}
}

// streams are the answers of one strategy in one round.
type streams struct {
	all []*stream
	wg  sync.WaitGroup
}

// startStreams starts n streams of equal length.
func startStreams(ctx context.Context, strategy string, n, first, tokens int, run func(i int) runner) *streams {
	ss := &streams{}
	for i := range n {
		s := &stream{done: make(chan struct{}), spec: requestSpec{
			number: first + i, class: classDraft, priority: 1, tokens: tokens, deadline: draftDeadline,
			prompt: fmt.Sprintf("%s %d tokens=%d", strategy, first+i, tokens),
		}}
		ss.all = append(ss.all, s)
		get := run(i)
		ss.wg.Go(func() {
			defer close(s.done)
			get(ctx, s)
		})
	}
	return ss
}

// awaitTokens waits until every stream has at least n tokens or has ended.
func (ss *streams) awaitTokens(ctx context.Context, n int) error {
	for _, s := range ss.all {
		for s.tokens() < n && !s.ended() {
			if err := sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
				return err
			}
		}
	}
	return nil
}
