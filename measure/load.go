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

// ending is how a request ended for its caller.
type ending struct {
	outcome caller.Ending
	reason  state.Reason
}

// sender is a way to get an answer. It calls onToken with each token in order.
type sender interface {
	send(ctx context.Context, w work, onToken func(value int64)) ending
}

// viaDaemons sends through daemons, as callers do.
type viaDaemons struct{ callers []*client.Client }

func (v viaDaemons) send(ctx context.Context, w work, onToken func(int64)) ending {
	c := v.callers[w.number%len(v.callers)]
	res, _ := c.Do(ctx, client.Request{Class: w.class, Prompt: w.prompt, MaxTokens: w.tokens},
		func(t caller.TokenEvent) { onToken(t.Value) })
	return ending{outcome: res.End.Outcome, reason: res.End.Reason}
}

// observed is what one caller saw.
type observed struct {
	work    work
	arrived time.Time // when the request was due, whether the sender was late or not
	tokens  []time.Time
	whole   bool // every token came once, in order, with the right value
	ending
}

// good reports whether the answer is whole and began in time.
func (o *observed) good() bool {
	return o.outcome == caller.EndCompleted && o.whole && o.tokens[0].Sub(o.arrived) <= o.work.deadline
}

// pace is the mean time between the answer's tokens.
func (o *observed) pace() time.Duration {
	gaps := len(o.tokens) - 1
	if gaps < 1 {
		return 0
	}
	return o.tokens[gaps].Sub(o.tokens[0]) / time.Duration(gaps)
}

// load is an open load: requests come by a Poisson process, whatever became of
// those before.
type load struct {
	mix       Mix
	perSecond float64
	warm      time.Duration // before the window
	window    time.Duration
	rng       *rand.Rand
	first     int // number of the first request
}

// run offers the load and returns what the callers saw, once all have ended. The
// function onWindow is called as the window begins, and what it returns as it
// ends.
func (l load) run(ctx context.Context, s sender, onWindow func() func()) (seen []*observed, opened, closed time.Time) {
	begin := time.Now()
	opened = begin.Add(l.warm)
	closed = opened.Add(l.window)
	ctx, cancel := context.WithDeadline(ctx, closed.Add(time.Minute))
	defer cancel()
	var ends func()
	var wg sync.WaitGroup
	for at := begin; at.Before(closed); at = at.Add(l.gap()) {
		if sleepUntil(ctx, at) != nil {
			break
		}
		if ends == nil && !at.Before(opened) {
			ends = onWindow()
		}
		o := &observed{work: l.mix.next(l.rng, l.first+len(seen)), arrived: at}
		seen = append(seen, o)
		wg.Go(func() { o.run(ctx, s) })
	}
	if ends != nil {
		ends()
	}
	wg.Wait()
	return seen, opened, closed
}

// gap draws the time to the next arrival.
func (l load) gap() time.Duration {
	return time.Duration(l.rng.ExpFloat64() / l.perSecond * float64(time.Second))
}

func (o *observed) run(ctx context.Context, s sender) {
	values := make([]int64, 0, o.work.tokens)
	o.ending = s.send(ctx, o.work, func(value int64) {
		o.tokens = append(o.tokens, time.Now())
		values = append(values, value)
	})
	o.whole = slices.Equal(values, standin.ExpectedTokens(o.work.prompt, o.work.tokens))
}
