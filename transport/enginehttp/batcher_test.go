package enginehttp_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

const testTimeout = 20 * time.Second

// gatedEngine is an engine whose batches wait until the test replies to them.
type gatedEngine struct {
	engine.Engine
	calls chan *gatedCall
}

type gatedCall struct {
	ctx   context.Context
	steps []engine.StepRequest
	reply chan error
}

func newGatedEngine() *gatedEngine { return &gatedEngine{calls: make(chan *gatedCall, 64)} }

// Step answers each step with its request's ID, so that a mix-up is detected.
func (g *gatedEngine) Step(ctx context.Context, steps []engine.StepRequest) ([]engine.StepResult, error) {
	c := &gatedCall{ctx, steps, make(chan error)}
	g.calls <- c
	select {
	case err := <-c.reply:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	out := make([]engine.StepResult, len(steps))
	for i, s := range steps {
		out[i] = engine.StepResult{Status: engine.StepDone, Detail: string(s.Request)}
	}
	return out, nil
}

func newStep(request string, priority int) engine.StepRequest {
	return engine.StepRequest{Request: state.RequestID(request), Attempt: 1, Priority: priority}
}

func requestIDs(c *gatedCall) []string {
	out := make([]string, 0, len(c.steps))
	for _, s := range c.steps {
		out = append(out, string(s.Request))
	}
	return out
}

var _ = Describe("Batcher", func() {
	var g *gatedEngine
	var b *enginehttp.Batcher
	var running sync.WaitGroup

	BeforeEach(func() {
		g = newGatedEngine()
		b = enginehttp.NewBatcher(g, enginehttp.BatcherOptions{MaxOutstanding: 1, MaxBatch: 3})
		DeferCleanup(running.Wait)
	})

	// submit starts a step and returns once the batcher has accepted it.
	submit := func(ctx context.Context, request string, priority int) <-chan error {
		GinkgoHelper()
		out := make(chan error, 1)
		before := b.Waiting()
		running.Go(func() {
			r, err := b.Step(ctx, newStep(request, priority))
			if err == nil && r.Detail != request {
				err = fmt.Errorf("%s got the answer of %s", request, r.Detail)
			}
			out <- err
		})
		if len(g.calls) == 0 {
			Eventually(func() bool { return b.Waiting() > before || len(g.calls) > 0 }, testTimeout).Should(BeTrue())
		}
		return out
	}

	It("sends the first step at once and batches those that arrive meanwhile by priority", func(ctx SpecContext) {
		out := []<-chan error{submit(ctx, "first", 1)}
		first := <-g.calls
		Expect(requestIDs(first)).To(Equal([]string{"first"}))
		for _, s := range []struct {
			name     string
			priority int
		}{{"draft-1", 1}, {"draft-2", 1}, {"check", 0}, {"draft-3", 1}} {
			out = append(out, submit(ctx, s.name, s.priority))
		}
		Expect(g.calls).To(BeEmpty())
		first.reply <- nil
		second := <-g.calls
		Expect(requestIDs(second)).To(Equal([]string{"check"}))
		second.reply <- nil
		third := <-g.calls
		Expect(requestIDs(third)).To(Equal([]string{"draft-1", "draft-2", "draft-3"}))
		third.reply <- nil
		for _, o := range out {
			Expect(<-o).To(Succeed())
		}
	}, SpecTimeout(testTimeout))

	// A caller cancels while its step waits for a batch. If the step were sent
	// anyway, it would run after it was reported as not sent.
	It("never sends a step that was canceled while it waited", func(ctx SpecContext) {
		first := submit(ctx, "first", 0)
		call := <-g.calls
		canceled, cancel := context.WithCancel(ctx)
		out := submit(canceled, "canceled", 0)
		other := submit(ctx, "other", 0)
		cancel()
		err := <-out
		Expect(engine.NotSent(err)).To(BeTrue())
		Expect(err).To(MatchError(context.Canceled))
		call.reply <- nil
		next := <-g.calls
		Expect(requestIDs(next)).To(Equal([]string{"other"}))
		next.reply <- nil
		Expect(<-first).To(Succeed())
		Expect(<-other).To(Succeed())
	}, SpecTimeout(testTimeout))

	It("cancels a batch only when all its steps were canceled, and does not report them as not sent", func(ctx SpecContext) {
		holder := submit(ctx, "holder", 0)
		call := <-g.calls
		one, cancelOne := context.WithCancel(ctx)
		two, cancelTwo := context.WithCancel(ctx)
		outOne, outTwo := submit(one, "one", 0), submit(two, "two", 0)
		call.reply <- nil
		Expect(<-holder).To(Succeed())
		batch := <-g.calls
		cancelOne()
		err := <-outOne
		Expect(err).To(MatchError(context.Canceled))
		Expect(engine.NotSent(err)).To(BeFalse())
		Expect(batch.ctx.Err()).NotTo(HaveOccurred())
		cancelTwo()
		Expect(engine.NotSent(<-outTwo)).To(BeFalse())
		Eventually(batch.ctx.Done(), testTimeout).Should(BeClosed())
	}, SpecTimeout(testTimeout))

	It("returns the error of a batch to each of its steps", func(ctx SpecContext) {
		out := submit(ctx, "first", 0)
		(<-g.calls).reply <- engine.MarkNotSent(errors.New("refused"))
		Expect(engine.NotSent(<-out)).To(BeTrue())
	}, SpecTimeout(testTimeout))

	It("forms the same batches as a reference model, in any order of events", func() {
		rapid.Check(GinkgoT(), checkAgainstModel)
	})
})

// batcherModel is a sequential reference model of Batcher.
type batcherModel struct {
	opts        enginehttp.BatcherOptions
	waiting     []engine.StepRequest // in order of arrival
	outstanding int
}

// nextBatches returns the batches that are to be sent now.
func (r *batcherModel) nextBatches() [][]engine.StepRequest {
	var out [][]engine.StepRequest
	for len(r.waiting) > 0 {
		limit := r.opts.MaxOutstanding
		if len(r.waiting) < r.opts.MaxBatch {
			limit = min(limit, r.opts.MaxOutstandingPartial)
		}
		if r.outstanding >= limit {
			break
		}
		var batch []engine.StepRequest
		batch, r.waiting = nextBatch(r.waiting, r.opts.MaxBatch)
		r.outstanding++
		out = append(out, batch)
	}
	return out
}

// checkAgainstModel submits steps and answers batches in random order, one at a time,
// and compares the batches sent with those of the model.
func checkAgainstModel(t *rapid.T) {
	r := &batcherModel{opts: enginehttp.BatcherOptions{
		MaxOutstanding:        rapid.IntRange(1, 3).Draw(t, "outstanding"),
		MaxOutstandingPartial: rapid.IntRange(1, 3).Draw(t, "partial"),
		MaxBatch:              rapid.IntRange(1, 5).Draw(t, "batch"),
	}}
	g := newGatedEngine()
	b := enginehttp.NewBatcher(g, r.opts)
	var callers sync.WaitGroup
	var openCalls []*gatedCall
	expect := func() {
		for _, want := range r.nextBatches() {
			got := <-g.calls
			openCalls = append(openCalls, got)
			if !slices.EqualFunc(got.steps, want, sameStep) {
				t.Fatalf("batch is %v, want %v", got.steps, want)
			}
		}
		for b.Waiting() != len(r.waiting) {
			runtime.Gosched()
		}
		if len(g.calls) > 0 {
			t.Fatalf("unexpected batch %v", (<-g.calls).steps)
		}
	}
	arrive := func(step engine.StepRequest) {
		callers.Go(func() {
			got, err := b.Step(context.Background(), step)
			if err != nil || got.Detail != string(step.Request) {
				t.Errorf("step of %s: %v, %s", step.Request, err, got.Detail)
			}
		})
		r.waiting = append(r.waiting, step)
		expect()
	}
	answer := func() {
		openCalls[0].reply <- nil
		openCalls = openCalls[1:]
		r.outstanding--
		expect()
	}
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		if len(openCalls) > 0 && rapid.IntRange(0, 3).Draw(t, "event") == 0 {
			answer()
		} else {
			arrive(drawStep(t))
		}
	}
	for len(openCalls) > 0 {
		answer()
	}
	callers.Wait()
}

func drawStep(t *rapid.T) engine.StepRequest {
	return newStep(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")), rapid.IntRange(0, 2).Draw(t, "priority"))
}

func sameStep(a, b engine.StepRequest) bool {
	return a.Request == b.Request && a.Priority == b.Priority
}

// nextBatch takes the next batch from steps in order of arrival: by priority, then
// arrival, a single priority, each attempt once, at most limit steps.
func nextBatch(waiting []engine.StepRequest, limit int) (batch, rest []engine.StepRequest) {
	sorted := slices.Clone(waiting)
	slices.SortStableFunc(sorted, func(a, b engine.StepRequest) int { return a.Priority - b.Priority })
	seen := make(map[state.RequestID]bool)
	for _, s := range sorted {
		if len(batch) == limit || s.Priority != sorted[0].Priority || seen[s.Request] {
			rest = append(rest, s)
			continue
		}
		seen[s.Request] = true
		batch = append(batch, s)
	}
	return batch, rest
}
