package enginehttp_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// BenchmarkSteps runs concurrent streams through a Batcher and HTTP to one
// stand-in engine. It reports steps per second, the wire bytes per step in both
// directions, the CPU time per step (client and stand-in together), and the fraction
// of the engine's maximum rate, which is its batch cap, or the number of streams if
// that is smaller, per step time.
//
// The step time of 200 µs shows the cost of the calls themselves; that of 5 ms shows
// how well batches are filled.
func BenchmarkSteps(b *testing.B) {
	for _, stepTime := range []time.Duration{standin.DefaultStepTime, 5 * time.Millisecond} {
		for _, streams := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("step=%v/streams=%d", stepTime, streams), func(b *testing.B) { benchSteps(b, stepTime, streams) })
		}
	}
}

func benchSteps(b *testing.B, stepTime time.Duration, streams int) {
	layers := state.LayerRange{End: 8}
	e, err := standin.StartEngine(standin.EngineConfig{Layers: layers, ModelLayers: 16, StepTime: stepTime})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	proxy, err := standin.StartProxy(e.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer proxy.Close()
	wire := wireBytes(b, proxy, layers, streams)

	client := enginehttp.New(e.Address(), enginehttp.Options{})
	defer client.Close()
	b.ResetTimer()
	cpu := processorTime()
	runStreams(b, client, layers, streams, b.N, "run")
	cpu = processorTime() - cpu
	rate := float64(b.N) / b.Elapsed().Seconds()
	bound := float64(min(streams, e.Config().BatchCap)) / e.Config().StepTime.Seconds()
	b.ReportMetric(rate, "steps/s")
	b.ReportMetric(rate/bound, "of-bound")
	b.ReportMetric(wire, "wire-B/step")
	b.ReportMetric(float64(cpu)/float64(b.N), "cpu-ns/step")
}

// runStreams runs n steps in total over all streams. Each stream runs one token after
// another.
func runStreams(b *testing.B, e engine.Engine, layers state.LayerRange, streams, n int, name string) {
	batcher := enginehttp.NewBatcher(e, enginehttp.BatcherOptions{MaxBatch: standin.DefaultBatchCap})
	var left atomic.Int64
	left.Store(int64(n))
	var workers sync.WaitGroup
	for w := range streams {
		workers.Go(func() {
			step := engine.StepRequest{Request: state.RequestID(fmt.Sprintf("%s-%d", name, w)), Attempt: 1, Epoch: 1, Layers: layers, Prompt: "a prompt"}
			for left.Add(-1) >= 0 {
				r, err := batcher.Step(context.Background(), step)
				if err != nil || r.Status != engine.StepDone {
					b.Errorf("step: %v, %s %s", err, r.Status, r.Detail)
					return
				}
				step.Prompt = ""
				step.Token++
			}
		})
	}
	workers.Wait()
}

// wireBytes returns the bytes per step, including HTTP headers, measured by a proxy.
func wireBytes(b *testing.B, proxy *standin.Proxy, layers state.LayerRange, streams int) float64 {
	const steps = 512
	client := enginehttp.New(proxy.Address(), enginehttp.Options{})
	defer client.Close()
	runStreams(b, client, layers, streams, steps, "wire")
	return float64(proxy.Bytes(standin.ToServer)+proxy.Bytes(standin.ToClient)) / steps
}

// processorTime returns the CPU time used by this process, in nanoseconds.
func processorTime() int64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return r.Utime.Nano() + r.Stime.Nano()
}
