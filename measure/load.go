package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// ending is the outcome of a request for its caller.
type ending struct {
	outcome caller.Ending
	reason  state.Reason
}

// requestSender sends a request and reads its answer. It calls onToken with each token,
// in order.
type requestSender interface {
	send(ctx context.Context, w requestSpec, onToken func(value int64)) ending
}

// daemonSender sends requests to daemons through the client library.
type daemonSender struct{ callers []*client.Client }

func (v daemonSender) send(ctx context.Context, w requestSpec, onToken func(int64)) ending {
	c := v.callers[w.number%len(v.callers)]
	res, _ := c.Do(ctx, client.Request{Class: w.class, Prompt: w.prompt, MaxTokens: w.tokens},
		func(t caller.TokenEvent) { onToken(t.Value) })
	return ending{outcome: res.End.Outcome, reason: res.End.Reason}
}

// observation is one request as observed by its caller.
type observation struct {
	spec     requestSpec
	arrived  time.Time // scheduled arrival, even if the request was sent late
	tokens   []time.Time
	complete bool // all tokens arrived once, in order and with the expected values
	ending
}

// inTime reports whether the answer is complete and its first token met the deadline.
func (o *observation) inTime() bool {
	return o.outcome == caller.EndCompleted && o.complete && o.tokens[0].Sub(o.arrived) <= o.spec.deadline
}

// meanTokenInterval returns the mean time between tokens of the answer.
func (o *observation) meanTokenInterval() time.Duration {
	gaps := len(o.tokens) - 1
	if gaps < 1 {
		return 0
	}
	return o.tokens[gaps].Sub(o.tokens[0]) / time.Duration(gaps)
}

// load is an open load: requests arrive in a Poisson process, independently of the
// completion of earlier requests.
type load struct {
	mix         Mix
	perSecond   float64
	warmUp      time.Duration // before the window
	window      time.Duration
	rng         *rand.Rand
	firstNumber int // number of the first request
}

// run offers the load, waits until all requests have ended and returns their
// observations. It calls onWindow at the start of the window, and the function that
// onWindow returns at its end.
func (l load) run(ctx context.Context, s requestSender, onWindow func() func()) (seen []*observation, opened, closed time.Time) {
	begin := time.Now()
	opened = begin.Add(l.warmUp)
	closed = opened.Add(l.window)
	ctx, cancel := context.WithDeadline(ctx, closed.Add(time.Minute))
	defer cancel()
	var ends func()
	var wg sync.WaitGroup
	for at := begin; at.Before(closed); at = at.Add(l.interarrival()) {
		if sleepUntil(ctx, at) != nil {
			break
		}
		if ends == nil && !at.Before(opened) {
			ends = onWindow()
		}
		o := &observation{spec: l.mix.draw(l.rng, l.firstNumber+len(seen)), arrived: at}
		seen = append(seen, o)
		wg.Go(func() { o.run(ctx, s) })
	}
	if ends != nil {
		ends()
	}
	wg.Wait()
	return seen, opened, closed
}

// interarrival returns a random time to the next arrival.
func (l load) interarrival() time.Duration {
	return time.Duration(l.rng.ExpFloat64() / l.perSecond * float64(time.Second))
}

func (o *observation) run(ctx context.Context, s requestSender) {
	values := make([]int64, 0, o.spec.tokens)
	o.ending = s.send(ctx, o.spec, func(value int64) {
		o.tokens = append(o.tokens, time.Now())
		values = append(values, value)
	})
	o.complete = slices.Equal(values, standin.ExpectedTokens(o.spec.prompt, o.spec.tokens))
}
