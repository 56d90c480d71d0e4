package trace_test

import (
	"io"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

// BenchmarkRecordStep measures the cost of recording one step to the request's goroutine.
func BenchmarkRecordStep(b *testing.B) {
	out := &counted{}
	r := trace.NewRecorder(out, "entry-1.5f0c11aa", func(error) { b.Error("recording stopped") })
	run := r.Begin(request.Spec{ID: "q", FirstTokenDeadline: time.Now()})
	ref := request.StepRef{Attempt: 1<<32 | 7, Epoch: 1<<32 | 7, Token: 12, Stage: 1}
	ev := request.StepDone{Step: ref, Output: make([]byte, 8<<10), Value: 17}
	actions := []request.Action{
		request.Emit{Index: 12, Value: 17},
		request.RunStep{Step: ref, Stage: state.Stage{Backend: "drafter-1-2"}, LastToken: 17},
	}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		run.Step(now, ev, actions)
		if i%1000 == 0 {
			b.StopTimer()
			time.Sleep(25 * time.Millisecond) // lets the writer drain the queue, whose overflow stops the recording
			b.StartTimer()
		}
	}
	r.Close()
	b.ReportMetric(float64(out.n)/float64(b.N), "B/line")
}

type counted struct{ n int }

func (c *counted) Write(p []byte) (int, error) {
	c.n += len(p)
	return io.Discard.Write(p)
}

func (*counted) Close() error { return nil }

// BenchmarkReplay replays the traces in testdata.
func BenchmarkReplay(b *testing.B) {
	events := 0
	for b.Loop() {
		events = 0
		for _, name := range testdataTraces() {
			res, err := replayFile(name)
			if err != nil {
				b.Fatal(err)
			}
			events += res.Events
		}
	}
	b.ReportMetric(float64(events), "events")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(events), "ns/event")
}
