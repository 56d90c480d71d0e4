package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

const cancelTimeout = 2 * time.Second

// twoChoices is the baseline: each of several entries takes, for each request,
// two replicas at random and uses the one where it has fewer requests of its own
// under way. There is no queue and no bound but the engines' memory. A request
// without its first token at its deadline is given up and canceled. Callers are
// in the same process, which spares this way the HTTP towards them.
type twoChoices struct {
	entries []*entry
}

// entry is one of the baseline's entry processes.
type entry struct {
	replicas []baseReplica

	mu  sync.Mutex
	rng *rand.Rand
	own []int // requests under way, by replica
}

type baseReplica struct {
	stages []baseStage
}

type baseStage struct {
	engine *enginehttp.Client
	steps  *enginehttp.Batcher
	layers state.LayerRange
}

// newTwoChoices returns a baseline of n entries over the engines of a site.
func newTwoChoices(s *site.Site, l Layout, n int, seed uint64) *twoChoices {
	b := &twoChoices{}
	for i := range n {
		e := &entry{rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		for _, r := range l.replicas() {
			br := baseReplica{}
			for _, st := range r.chain.Stages {
				c := enginehttp.New(s.Engines[st.Backend].Address(), enginehttp.Options{})
				br.stages = append(br.stages, baseStage{
					engine: c,
					steps:  enginehttp.NewBatcher(c, enginehttp.BatcherOptions{}),
					layers: state.LayerRange{First: st.First, End: st.End},
				})
			}
			e.replicas = append(e.replicas, br)
		}
		e.own = make([]int, len(e.replicas))
		b.entries = append(b.entries, e)
	}
	return b
}

func (b *twoChoices) close() {
	for _, e := range b.entries {
		for _, r := range e.replicas {
			for _, s := range r.stages {
				s.engine.Close()
			}
		}
	}
}

// take picks a replica and counts the request there.
func (e *entry) take() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, j := e.rng.IntN(len(e.own)), e.rng.IntN(len(e.own))
	if e.own[j] < e.own[i] {
		i = j
	}
	e.own[i]++
	return i
}

func (e *entry) give(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own[i]--
}

func (b *twoChoices) send(ctx context.Context, w work, onToken func(int64)) ending {
	e := b.entries[w.number%len(b.entries)]
	i := e.take()
	defer e.give(i)
	run := &baseRun{
		replica: e.replicas[i],
		work:    w,
		id:      state.RequestID(fmt.Sprintf("baseline-%d", w.number)),
		attempt: 1,
	}
	return run.all(ctx, onToken)
}

// baseRun is one attempt at one request.
type baseRun struct {
	replica baseReplica
	work    work
	id      state.RequestID
	attempt state.Attempt
	last    int64
}

// all makes tokens until the answer ends.
func (r *baseRun) all(ctx context.Context, onToken func(int64)) ending {
	defer func() { go r.cancel() }() // only the last stage frees a whole answer itself
	first, cancel := context.WithTimeout(ctx, r.work.deadline)
	res, err := r.token(first, 0)
	late := first.Err() != nil
	cancel()
	for token := 1; err == nil; token++ {
		onToken(res.Token)
		if res.Final {
			return ending{outcome: caller.EndCompleted}
		}
		r.last = res.Token
		res, err = r.token(ctx, token)
	}
	if late {
		return ending{outcome: caller.EndRefused, reason: state.ReasonDeadline}
	}
	return ending{outcome: caller.EndFailed, reason: state.ReasonBackendFailed}
}

// token takes one token through all stages.
func (r *baseRun) token(ctx context.Context, token int) (engine.StepResult, error) {
	var res engine.StepResult
	for i, s := range r.replica.stages {
		step := engine.StepRequest{
			Request: r.id, Attempt: r.attempt, Token: token, Layers: s.layers,
			Input: res.Output, LastToken: r.last, Priority: r.work.priority, MaxTokens: r.work.tokens,
		}
		if token == 0 && i == 0 {
			step.Prompt = r.work.prompt
		}
		var err error
		res, err = s.steps.Step(ctx, step)
		if err != nil {
			return res, err
		}
		if res.Status != engine.StepDone {
			return res, fmt.Errorf("step is %s: %s", res.Status, res.Detail)
		}
	}
	return res, nil
}

// cancel frees the attempt's memory on every stage.
func (r *baseRun) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, s := range r.replica.stages {
		_, _ = s.engine.Cancel(ctx, r.id, r.attempt)
	}
}
