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

// twoChoices is the baseline: for each request, an entry picks two replicas at random
// and uses the one with fewer of its own requests in flight. There is no queue and no
// limit other than the engines' memory. A request that has no first token by its
// deadline is canceled. Callers run in the same process, so this strategy does not
// bear the cost of HTTP between callers and entries.
type twoChoices struct {
	entries []*entry
}

// entry is the model of one entry process of the baseline.
type entry struct {
	replicas []baselineReplica

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight []int // own requests in flight, by replica
}

type baselineReplica struct {
	stages []baselineStage
}

type baselineStage struct {
	engine *enginehttp.Client
	steps  *enginehttp.Batcher
	layers state.LayerRange
}

// newTwoChoices returns a baseline with n entries that use the engines of a site.
func newTwoChoices(s *site.Site, l Layout, n int, seed uint64) *twoChoices {
	b := &twoChoices{}
	for i := range n {
		e := &entry{rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		for _, r := range l.replicas() {
			br := baselineReplica{}
			for _, st := range r.chain.Stages {
				c := enginehttp.New(s.Engines[st.Backend].Address(), enginehttp.Options{})
				br.stages = append(br.stages, baselineStage{
					engine: c,
					steps:  enginehttp.NewBatcher(c, enginehttp.BatcherOptions{}),
					layers: state.LayerRange{First: st.First, End: st.End},
				})
			}
			e.replicas = append(e.replicas, br)
		}
		e.inFlight = make([]int, len(e.replicas))
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

// acquire picks a replica and counts a request in flight there.
func (e *entry) acquire() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, j := e.rng.IntN(len(e.inFlight)), e.rng.IntN(len(e.inFlight))
	if e.inFlight[j] < e.inFlight[i] {
		i = j
	}
	e.inFlight[i]++
	return i
}

func (e *entry) release(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[i]--
}

func (b *twoChoices) send(ctx context.Context, w requestSpec, onToken func(int64)) ending {
	e := b.entries[w.number%len(b.entries)]
	i := e.acquire()
	defer e.release(i)
	run := &baselineRun{
		replica: e.replicas[i],
		spec:    w,
		id:      state.RequestID(fmt.Sprintf("baseline-%d", w.number)),
		attempt: 1,
	}
	return run.generate(ctx, onToken)
}

// baselineRun is one attempt at one request.
type baselineRun struct {
	replica   baselineReplica
	spec      requestSpec
	id        state.RequestID
	attempt   state.Attempt
	lastToken int64
}

// generate runs tokens until the answer ends.
func (r *baselineRun) generate(ctx context.Context, onToken func(int64)) ending {
	defer func() { go r.cancel() }() // only the last stage frees a completed answer by itself
	first, cancel := context.WithTimeout(ctx, r.spec.deadline)
	res, err := r.runToken(first, 0)
	late := first.Err() != nil
	cancel()
	for token := 1; err == nil; token++ {
		onToken(res.Token)
		if res.Final {
			return ending{outcome: caller.EndCompleted}
		}
		r.lastToken = res.Token
		res, err = r.runToken(ctx, token)
	}
	if late {
		return ending{outcome: caller.EndRefused, reason: state.ReasonDeadline}
	}
	return ending{outcome: caller.EndFailed, reason: state.ReasonBackendFailed}
}

// runToken runs one token through all stages.
func (r *baselineRun) runToken(ctx context.Context, token int) (engine.StepResult, error) {
	var res engine.StepResult
	for i, s := range r.replica.stages {
		step := engine.StepRequest{
			Request: r.id, Attempt: r.attempt, Token: token, Layers: s.layers,
			Input: res.Output, LastToken: r.lastToken, Priority: r.spec.priority, MaxTokens: r.spec.tokens,
		}
		if token == 0 && i == 0 {
			step.Prompt = r.spec.prompt
		}
		var err error
		res, err = s.steps.Step(ctx, step)
		if err != nil {
			return res, err
		}
		if res.Status != engine.StepDone {
			return res, fmt.Errorf("step ended with status %s: %s", res.Status, res.Detail)
		}
	}
	return res, nil
}

// cancel frees the attempt's memory on every stage.
func (r *baselineRun) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	for _, s := range r.replica.stages {
		_, _ = s.engine.Cancel(ctx, r.id, r.attempt)
	}
}
