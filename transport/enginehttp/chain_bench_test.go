package enginehttp_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

const (
	chainStages   = 3
	chainStepTime = 5 * time.Millisecond
)

// BenchmarkChain runs streams through a chain of three engines from one daemon or
// four, and compares batching options:
//
//	eager:   two batches may be unanswered, full or not; a step is sent at once
//	partial: one batch may be unanswered, full or not; a step is sent at once
//	gather:  partial, but streams that are ready to run add their steps first
//	full:    gather, and a second batch may be unanswered if it is full
//	default: gather, but with many batches unanswered, full or not
//
// It reports the fraction of the chain's maximum rate, which is the batch cap, or the
// streams divided by the stages if that is smaller, per step time; and the mean time
// per token.
func BenchmarkChain(b *testing.B) {
	variants := []struct {
		name string
		opts enginehttp.BatcherOptions
	}{
		{"eager", enginehttp.BatcherOptions{MaxOutstanding: 2, MaxOutstandingPartial: 2, Yields: -1}},
		{"partial", enginehttp.BatcherOptions{MaxOutstanding: 1, Yields: -1}},
		{"gather", enginehttp.BatcherOptions{MaxOutstanding: 1}},
		{"full", enginehttp.BatcherOptions{MaxOutstanding: 2, MaxOutstandingPartial: 1}},
		{"default", enginehttp.BatcherOptions{}},
	}
	for _, daemons := range []int{1, 4} {
		for _, streams := range []int{8, 32, 128, 224} {
			for _, variant := range variants {
				b.Run(fmt.Sprintf("daemons=%d/streams=%d/%s", daemons, streams, variant.name), func(b *testing.B) {
					benchChain(b, daemons, streams, variant.opts)
				})
			}
		}
	}
}

func benchChain(b *testing.B, daemons, streams int, opts enginehttp.BatcherOptions) {
	engines := make([]*standin.Engine, chainStages)
	for i := range engines {
		layers := state.LayerRange{First: 4 * i, End: 4 * (i + 1)}
		e, err := standin.StartEngine(standin.EngineConfig{Layers: layers, ModelLayers: 4 * chainStages, StepTime: chainStepTime})
		if err != nil {
			b.Fatal(err)
		}
		defer e.Close()
		engines[i] = e
	}
	var left atomic.Int64
	left.Store(int64(b.N))
	var workers sync.WaitGroup
	b.ResetTimer()
	for d := range daemons {
		stages := make([]*enginehttp.Batcher, chainStages)
		for i, e := range engines {
			client := enginehttp.New(e.Address(), enginehttp.Options{ProgressTimeout: testTimeout})
			defer client.Close()
			stages[i] = enginehttp.NewBatcher(client, opts)
		}
		for s := range streams / daemons {
			workers.Go(func() { streamTokens(b, stages, engines, fmt.Sprintf("%d-%d", d, s), &left) })
		}
	}
	workers.Wait()
	rate := float64(b.N) / b.Elapsed().Seconds()
	bound := min(float64(standin.DefaultBatchCap), float64(streams)/chainStages) / chainStepTime.Seconds()
	b.ReportMetric(rate/bound, "of-bound")
	b.ReportMetric(1000*float64(streams)/rate, "ms/token")
	b.ReportMetric(0, "ns/op")
}

// streamTokens runs one stream until the streams together have generated all tokens.
func streamTokens(b *testing.B, stages []*enginehttp.Batcher, engines []*standin.Engine, name string, left *atomic.Int64) {
	prompt := "tokens=1000000000"
	var last int64
	for token := 0; left.Add(-1) >= 0; token++ {
		var input []byte
		for i, stage := range stages {
			step := engine.StepRequest{
				Request: state.RequestID(name), Attempt: 1, Epoch: 1, Token: token,
				Layers: engines[i].Config().Layers, Input: input, LastToken: last,
			}
			if i == 0 {
				step.Prompt = prompt
			}
			r, err := stage.Step(context.Background(), step)
			if err != nil || r.Status != engine.StepDone {
				b.Errorf("step: %v, %s %s", err, r.Status, r.Detail)
				return
			}
			input, last = r.Output, r.Token
		}
		prompt = ""
	}
}
