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

const generous = 20 * time.Second

// gate is an engine whose batches wait until the test lets them go.
type gate struct {
	engine.Engine
	calls chan *gateCall
}

type gateCall struct {
	ctx   context.Context
	steps []engine.StepRequest
	reply chan error
}

func newGate() *gate { return &gate{calls: make(chan *gateCall, 64)} }

// Step answers each step with its own name, so that a mix-up is seen.
func (g *gate) Step(ctx context.Context, steps []engine.StepRequest) ([]engine.StepResult, error) {
	c := &gateCall{ctx, steps, make(chan error)}
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

func stepOf(request string, priority int) engine.StepRequest {
	return engine.StepRequest{Request: state.RequestID(request), Attempt: 1, Priority: priority}
}

func names(c *gateCall) []string {
	out := make([]string, 0, len(c.steps))
	for _, s := range c.steps {
		out = append(out, string(s.Request))
	}
	return out
}

var _ = Describe("Batcher", func() {
	var g *gate
	var b *enginehttp.Batcher
	var running sync.WaitGroup

	BeforeEach(func() {
		g = newGate()
		b = enginehttp.NewBatcher(g, enginehttp.BatcherOptions{MaxOutstanding: 1, MaxBatch: 3})
		DeferCleanup(running.Wait)
	})

	// submit starts a step and returns once the batcher has it.
	submit := func(ctx context.Context, request string, priority int) <-chan error {
		GinkgoHelper()
		out := make(chan error, 1)
		before := b.Waiting()
		running.Go(func() {
			r, err := b.Step(ctx, stepOf(request, priority))
			if err == nil && r.Detail != request {
				err = fmt.Errorf("%s got the answer of %s", request, r.Detail)
			}
			out <- err
		})
		if len(g.calls) == 0 {
			Eventually(func() bool { return b.Waiting() > before || len(g.calls) > 0 }, generous).Should(BeTrue())
		}
		return out
	}

	It("sends the first step at once and joins those that come meanwhile, each priority for itself", func(ctx SpecContext) {
		out := []<-chan error{submit(ctx, "first", 1)}
		first := <-g.calls
		Expect(names(first)).To(Equal([]string{"first"}))
		for _, s := range []struct {
			name     string
			priority int
		}{{"draft-1", 1}, {"draft-2", 1}, {"check", 0}, {"draft-3", 1}} {
			out = append(out, submit(ctx, s.name, s.priority))
		}
		Expect(g.calls).To(BeEmpty())
		first.reply <- nil
		second := <-g.calls
		Expect(names(second)).To(Equal([]string{"check"}))
		second.reply <- nil
		third := <-g.calls
		Expect(names(third)).To(Equal([]string{"draft-1", "draft-2", "draft-3"}))
		third.reply <- nil
		for _, o := range out {
			Expect(<-o).To(Succeed())
		}
	}, SpecTimeout(generous))

	// A caller cancels while its step waits for a batch. If the step went out
	// all the same, it would run after it was reported as not sent.
	It("never sends a step that was given up while it waited", func(ctx SpecContext) {
		first := submit(ctx, "first", 0)
		call := <-g.calls
		given, cancel := context.WithCancel(ctx)
		out := submit(given, "given-up", 0)
		other := submit(ctx, "other", 0)
		cancel()
		err := <-out
		Expect(engine.NotSent(err)).To(BeTrue())
		Expect(err).To(MatchError(context.Canceled))
		call.reply <- nil
		next := <-g.calls
		Expect(names(next)).To(Equal([]string{"other"}))
		next.reply <- nil
		Expect(<-first).To(Succeed())
		Expect(<-other).To(Succeed())
	}, SpecTimeout(generous))

	It("cancels a batch only when all its steps were given up, and does not call them unsent", func(ctx SpecContext) {
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
		Eventually(batch.ctx.Done(), generous).Should(BeClosed())
	}, SpecTimeout(generous))

	It("gives every step of a batch the batch's error", func(ctx SpecContext) {
		out := submit(ctx, "first", 0)
		(<-g.calls).reply <- engine.MarkNotSent(errors.New("refused"))
		Expect(engine.NotSent(<-out)).To(BeTrue())
	}, SpecTimeout(generous))

	It("forms the batches that its rules give, in any order of events", func() {
		rapid.Check(GinkgoT(), checkRules)
	})
})

// rules are what a Batcher is to do, one event after another.
type rules struct {
	opts    enginehttp.BatcherOptions
	waiting []engine.StepRequest // in the order of their arrival
	open    int
}

// leaves returns the batches that leave now.
func (r *rules) leaves() [][]engine.StepRequest {
	var out [][]engine.StepRequest
	for len(r.waiting) > 0 {
		limit := r.opts.MaxOutstanding
		if len(r.waiting) < r.opts.MaxBatch {
			limit = min(limit, r.opts.MaxOutstandingPartial)
		}
		if r.open >= limit {
			break
		}
		var batch []engine.StepRequest
		batch, r.waiting = nextBatch(r.waiting, r.opts.MaxBatch)
		r.open++
		out = append(out, batch)
	}
	return out
}

// checkRules lets random steps come and batches return, one at a time, and
// compares what leaves with the rules.
func checkRules(t *rapid.T) {
	r := &rules{opts: enginehttp.BatcherOptions{
		MaxOutstanding:        rapid.IntRange(1, 3).Draw(t, "outstanding"),
		MaxOutstandingPartial: rapid.IntRange(1, 3).Draw(t, "partial"),
		MaxBatch:              rapid.IntRange(1, 5).Draw(t, "batch"),
	}}
	g := newGate()
	b := enginehttp.NewBatcher(g, r.opts)
	var callers sync.WaitGroup
	var open []*gateCall
	expect := func() {
		for _, want := range r.leaves() {
			got := <-g.calls
			open = append(open, got)
			if !slices.EqualFunc(got.steps, want, sameStep) {
				t.Fatalf("batch is %v, want %v", got.steps, want)
			}
		}
		for b.Waiting() != len(r.waiting) {
			runtime.Gosched()
		}
		if len(g.calls) > 0 {
			t.Fatalf("batch %v is not to leave", (<-g.calls).steps)
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
		open[0].reply <- nil
		open = open[1:]
		r.open--
		expect()
	}
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "event") == 0 {
			answer()
		} else {
			arrive(drawStep(t))
		}
	}
	for len(open) > 0 {
		answer()
	}
	callers.Wait()
}

func drawStep(t *rapid.T) engine.StepRequest {
	return stepOf(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")), rapid.IntRange(0, 2).Draw(t, "priority"))
}

func sameStep(a, b engine.StepRequest) bool {
	return a.Request == b.Request && a.Priority == b.Priority
}

// nextBatch is the rule of Batcher on steps in the order of their arrival: by
// priority, then arrival, one priority only, no attempt twice, not more than
// limit.
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
