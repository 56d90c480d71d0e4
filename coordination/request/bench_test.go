package request_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BenchmarkToken measures the state machine of one request per token, over chains of 2,
// 4 and 8 stages: one Step per stage, without transport. Bytes and allocations are
// those of the machine and its actions.
//
//	go test ./coordination/request -run xxx -bench Token
func BenchmarkToken(b *testing.B) {
	for _, stages := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) { benchTokens(b, stages) })
	}
}

// chain returns a replica with the given number of equal stages.
func chain(stages int) state.Replica {
	r := state.Replica{ID: "drafter-1", Service: "drafts"}
	for i := range stages {
		r.Stages = append(r.Stages, state.Stage{
			Backend: state.BackendID(fmt.Sprintf("drafter-1-%d", i+1)),
			Address: fmt.Sprintf("10.0.0.%d:9000", i+1),
			Layers:  state.LayerRange{First: 10 * i, End: 10 * (i + 1)},
		})
	}
	return r
}

func benchTokens(b *testing.B, stages int) {
	const tokens = 256 // per answer
	now := time.Unix(0, 0)
	output := make([]byte, 64)
	replica := chain(stages)
	b.ReportAllocs()
	done := 0
	for done < b.N {
		r := request.New(request.Spec{
			ID: "r", Service: "drafts", Customer: "bank", Class: "draft", Prompt: "p",
			MaxTokens: tokens, Owner: 7, FirstTokenDeadline: now.Add(time.Hour),
		})
		actions := r.Step(now, request.Start{})
		for ended := false; !ended; {
			var next request.Event
			for _, a := range actions {
				switch a := a.(type) {
				case request.AcquireSlot:
					next = request.SlotGranted{Grant: a.Attempt, Replica: replica}
				case request.RunStep:
					last := a.Step.Stage == stages-1
					next = request.StepDone{Step: a.Step, Output: output, Value: 1, Final: last && a.Step.Token == tokens-1}
				case request.Emit:
					done++
				case request.End:
					ended = true
				}
			}
			if !ended && next == nil {
				b.Fatalf("the machine returned no action to answer: %+v", actions)
			}
			if !ended {
				actions = r.Step(now, next)
			}
		}
	}
}
