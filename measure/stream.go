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

// stream is one caller's answer in a round.
type stream struct {
	work work

	mu     sync.Mutex
	times  []time.Time // of each token
	values []int64

	// Set at the end.
	ending
	request state.RequestID
	tries   int // connections, or executions where the caller begins anew

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

// whole reports whether every token came once, in order, with the right value.
func (s *stream) whole() bool {
	return s.outcome == caller.EndCompleted &&
		slices.Equal(s.values, standin.ExpectedTokens(s.work.prompt, s.work.tokens))
}

// next is the time from at to the next token. It reports false if the answer was
// whole by then or never went on.
func (s *stream) next(at time.Time) (time.Duration, bool) {
	i := slices.IndexFunc(s.times, func(t time.Time) bool { return t.After(at) })
	if i < 0 {
		return 0, false
	}
	return s.times[i].Sub(at), true
}

// runner gets one stream's answer.
type runner func(ctx context.Context, s *stream)

// reattaching is a caller of the client library.
func reattaching(c *client.Client) runner {
	return func(ctx context.Context, s *stream) {
		res, _ := c.Do(ctx, client.Request{Class: s.work.class, Prompt: s.work.prompt, MaxTokens: s.work.tokens},
			func(t caller.TokenEvent) { s.onToken(t.Value) })
		s.ending = ending{res.End.Outcome, res.End.Reason}
		s.request, s.tries = res.Request, res.Attempts
	}
}

// streams are the answers of one round under one way.
type streams struct {
	all []*stream
	wg  sync.WaitGroup
}

// begin starts n streams of equal length.
func begin(ctx context.Context, way string, n, first, tokens int, run func(i int) runner) *streams {
	ss := &streams{}
	for i := range n {
		s := &stream{done: make(chan struct{}), work: work{
			number: first + i, class: classDraft, priority: 1, tokens: tokens, deadline: draftDeadline,
			prompt: fmt.Sprintf("%s %d tokens=%d", way, first+i, tokens),
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

// awaitTokens waits until every stream has n tokens or has ended.
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
