package trace_test

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

// file is a trace in memory.
type file struct{ bytes.Buffer }

func (*file) Close() error { return nil }

// owner drives one machine with random answers, as a daemon would, and records.
type owner struct {
	t    *rapid.T
	now  time.Time
	m    *request.Request
	run  *trace.Run
	ops  []request.Action
	last request.PutClaim
}

func (o *owner) feed(ev request.Event) {
	if o.m.Ended() {
		return
	}
	actions := o.m.Step(o.now, ev)
	o.run.Step(o.now, ev, actions)
	o.ops = append(o.ops, actions...)
}

func (o *owner) chance(name string) bool { return rapid.Bool().Draw(o.t, name) }

func (o *owner) replica() state.Replica {
	n := rapid.IntRange(1, 3).Draw(o.t, "replica")
	r := state.Replica{ID: state.ReplicaID(fmt.Sprintf("r%d", n))}
	for s := range 2 {
		r.Stages = append(r.Stages, state.Stage{Backend: state.BackendID(fmt.Sprintf("r%d-%d", n, s)), BootID: "one"})
	}
	return r
}

// answer gives one thing that was asked for a random result.
func (o *owner) answer(a request.Action) {
	fate := rapid.IntRange(0, 9).Draw(o.t, "fate")
	o.now = o.now.Add(time.Duration(rapid.Int64Range(0, 5e7).Draw(o.t, "time")))
	switch a := a.(type) {
	case request.AcquireSlot:
		switch fate {
		case 8:
			o.feed(request.SlotRefused{Reason: state.ReasonQueueFull, RetryAfter: 2})
		case 9:
			o.feed(request.SlotUnusable{Grant: a.Attempt, Replica: "r1", UnknownReplica: o.chance("unknown")})
		default:
			o.feed(request.SlotGranted{Grant: a.Attempt, Replica: o.replica()})
		}
	case request.PutClaim:
		o.last = a
		o.claim(fate)
	case request.AbandonClaim:
		o.feed(request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable})
	case request.VoidClaim:
		o.feed(request.VoidSettled{Voided: fate < 5})
	case request.DecideRetry:
		o.feed(request.RetryDecided{
			Allowed: fate < 8, At: o.now.Add(time.Duration(fate)), Exclude: []state.ReplicaID{"r1"}, Reason: state.ReasonRetriesExhausted,
		})
	case request.RunStep:
		o.step(a, fate)
	case request.QueryStage:
		o.held(a, fate)
	}
}

func (o *owner) claim(fate int) {
	switch fate {
	case 7:
		o.feed(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
	case 8:
		o.feed(request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable})
	case 9:
		o.feed(request.ClaimSettled{Result: request.ClaimTakenOver, Takeover: request.Takeover{
			Replica: o.replica(), Attempt: o.last.Attempt.Next(9), Epoch: o.last.Epoch.TakeOver(1),
		}})
	default:
		o.feed(request.ClaimSettled{Result: request.ClaimWon})
	}
}

func (o *owner) step(a request.RunStep, fate int) {
	switch fate {
	case 6:
		o.feed(request.StepNotRun{Step: a.Step, Superseded: o.chance("overtaken")})
	case 7:
		o.feed(request.StepFailed{Step: a.Step})
	case 8, 9:
		o.feed(request.StepUnanswered{Step: a.Step, NotSent: o.chance("not sent"), Silent: o.chance("silent")})
	default:
		o.feed(request.StepDone{Step: a.Step, Output: []byte("secret output"), Value: int64(a.Step.Token * 7), Text: "secret"})
	}
}

func (o *owner) held(a request.QueryStage, fate int) {
	if fate == 9 {
		o.feed(request.StageQueryFailed{Step: a.Step, Superseded: o.chance("overtaken"), NotSent: o.chance("not sent")})
		return
	}
	h := request.StageState{
		Step: a.Step, Life: "one", Known: fate > 2, Canceled: fate == 8, NextToken: a.Step.Token, Tokens: make([]int64, a.Step.Token),
	}
	if o.chance("ran") {
		h.Known = true
		h.NextToken++
		h.LastOutput = []byte("secret output")
		h.Tokens = append(h.Tokens, 5)
	}
	o.feed(h)
}

// record drives some requests to their end, or a while.
func record(t *rapid.T) string {
	out := &file{}
	began := time.Now()
	r := trace.NewRecorder(out, "entry-1.test", func(err error) { t.Fatal(err) })
	for i := range rapid.IntRange(1, 3).Draw(t, "requests") {
		spec := request.Spec{
			ID: state.RequestID(fmt.Sprintf("q%d", i)), Class: "note", Key: "secret key", Prompt: "secret prompt", MaxTokens: 3,
			Owner: 1, NeverRepeat: rapid.Bool().Draw(t, "never repeat"), FirstTokenDeadline: began.Add(time.Second),
		}
		if !spec.NeverRepeat && rapid.Bool().Draw(t, "takeover") {
			spec.Takeover = &request.Takeover{Replica: (&owner{t: t}).replica(), Attempt: 1 << 32, Epoch: 1 << 32}
		}
		o := &owner{t: t, now: began, m: request.New(spec), run: r.Begin(spec)}
		o.feed(request.Start{})
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			if len(o.ops) == 0 || o.m.Ended() {
				break
			}
			a := o.ops[0]
			o.ops = o.ops[1:]
			o.answer(a)
			if rapid.IntRange(0, 30).Draw(t, "tick or cancel") == 0 {
				o.feed(request.Tick{})
				o.feed(request.Cancel{})
			}
		}
	}
	r.Close()
	return out.String()
}

// TestReplayEqualsRecording drives requests through random events and shows that
// the recording replays to the same decisions, holds nothing that a caller sent
// or got, and that a replay finds each single action that is changed in it.
func TestReplayEqualsRecording(t *testing.T) {
	actions := regexp.MustCompile(`"do":\["([^"]+)"`)
	rapid.Check(t, func(t *rapid.T) {
		text := record(t)
		if strings.Contains(text, "secret") {
			t.Fatalf("the trace holds contents:\n%s", text)
		}
		res, err := trace.Replay(strings.NewReader(text))
		if err != nil || res.Difference != nil {
			t.Fatalf("%v %v\n%s", err, res.Difference, text)
		}
		lines := strings.Split(text, "\n")
		changeable := slices.DeleteFunc(slices.Collect(indices(lines)), func(i int) bool { return !actions.MatchString(lines[i]) })
		i := rapid.SampledFrom(changeable).Draw(t, "changed line")
		lines[i] = actions.ReplaceAllString(lines[i], `"do":["other"`)
		res, err = trace.Replay(strings.NewReader(strings.Join(lines, "\n")))
		if err != nil || res.Difference == nil || res.Difference.Line != i+1 || res.Difference.Expected != "other" {
			t.Fatalf("line %d was changed; %v %v", i+1, err, res.Difference)
		}
	})
}

func indices(lines []string) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := range lines {
			if !yield(i) {
				return
			}
		}
	}
}
