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

// file is an in-memory trace.
type file struct{ bytes.Buffer }

func (*file) Close() error { return nil }

// driver runs one state machine with random results, as a daemon would, and records it.
type driver struct {
	t         *rapid.T
	now       time.Time
	m         *request.Request
	run       *trace.Run
	pending   []request.Action
	lastClaim request.PutClaim
}

func (d *driver) feed(ev request.Event) {
	if d.m.Ended() {
		return
	}
	actions := d.m.Step(d.now, ev)
	d.run.Step(d.now, ev, actions)
	d.pending = append(d.pending, actions...)
}

func (d *driver) chance(name string) bool { return rapid.Bool().Draw(d.t, name) }

func (d *driver) replica() state.Replica {
	n := rapid.IntRange(1, 3).Draw(d.t, "replica")
	r := state.Replica{ID: state.ReplicaID(fmt.Sprintf("r%d", n))}
	for s := range 2 {
		r.Stages = append(r.Stages, state.Stage{Backend: state.BackendID(fmt.Sprintf("r%d-%d", n, s)), BootID: "one"})
	}
	return r
}

// answer feeds a random result of an action.
func (d *driver) answer(a request.Action) {
	outcome := rapid.IntRange(0, 9).Draw(d.t, "outcome")
	d.now = d.now.Add(time.Duration(rapid.Int64Range(0, 5e7).Draw(d.t, "time")))
	switch a := a.(type) {
	case request.AcquireSlot:
		switch outcome {
		case 8:
			d.feed(request.SlotRefused{Reason: state.ReasonQueueFull, RetryAfter: 2})
		case 9:
			d.feed(request.SlotUnusable{Grant: a.Attempt, Replica: "r1", UnknownReplica: d.chance("unknown")})
		default:
			d.feed(request.SlotGranted{Grant: a.Attempt, Replica: d.replica()})
		}
	case request.PutClaim:
		d.lastClaim = a
		d.claim(outcome)
	case request.AbandonClaim:
		d.feed(request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable})
	case request.VoidClaim:
		d.feed(request.VoidSettled{Voided: outcome < 5})
	case request.DecideRetry:
		d.feed(request.RetryDecided{
			Allowed: outcome < 8, At: d.now.Add(time.Duration(outcome)), Exclude: []state.ReplicaID{"r1"}, Reason: state.ReasonRetriesExhausted,
		})
	case request.RunStep:
		d.step(a, outcome)
	case request.QueryStage:
		d.held(a, outcome)
	}
}

func (d *driver) claim(outcome int) {
	switch outcome {
	case 7:
		d.feed(request.ClaimSettled{Result: request.ClaimHeldElsewhere, Reason: state.ReasonDuplicate})
	case 8:
		d.feed(request.ClaimSettled{Result: request.ClaimRefused, Reason: state.ReasonStoreUnavailable})
	case 9:
		d.feed(request.ClaimSettled{Result: request.ClaimTakenOver, Takeover: request.Takeover{
			Replica: d.replica(), Attempt: d.lastClaim.Attempt.Next(9), Epoch: d.lastClaim.Epoch.TakeOver(1),
		}})
	default:
		d.feed(request.ClaimSettled{Result: request.ClaimWon})
	}
}

func (d *driver) step(a request.RunStep, outcome int) {
	switch outcome {
	case 6:
		bootID := ""
		if d.chance("restarted") {
			bootID = "two"
		}
		d.feed(request.StepNotRun{Step: a.Step, Superseded: d.chance("superseded"), BootID: bootID})
	case 7:
		d.feed(request.StepFailed{Step: a.Step})
	case 8, 9:
		d.feed(request.StepUnanswered{Step: a.Step, NotSent: d.chance("not sent"), Silent: d.chance("silent")})
	default:
		d.feed(request.StepDone{Step: a.Step, Output: []byte("secret output"), Value: int64(a.Step.Token * 7), Text: "secret"})
	}
}

func (d *driver) held(a request.QueryStage, outcome int) {
	if outcome == 9 {
		d.feed(request.StageQueryFailed{Step: a.Step, Superseded: d.chance("superseded"), NotSent: d.chance("not sent")})
		return
	}
	h := request.StageState{
		Step: a.Step, Life: "one", Known: outcome > 2, Canceled: outcome == 8, NextToken: a.Step.Token, Tokens: make([]int64, a.Step.Token),
	}
	if d.chance("ran") {
		h.Known = true
		h.NextToken++
		h.LastOutput = []byte("secret output")
		h.Tokens = append(h.Tokens, 5)
	}
	d.feed(h)
}

// record runs several requests until they end or for a random number of answers.
func record(t *rapid.T) string {
	out := &file{}
	start := time.Now()
	r := trace.NewRecorder(out, "entry-1.test", func(err error) { t.Fatal(err) })
	for i := range rapid.IntRange(1, 3).Draw(t, "requests") {
		spec := request.Spec{
			ID: state.RequestID(fmt.Sprintf("q%d", i)), Class: "note", Key: "secret key", Prompt: "secret prompt", MaxTokens: 3,
			Owner: 1, NeverRepeat: rapid.Bool().Draw(t, "never repeat"), FirstTokenDeadline: start.Add(time.Second),
		}
		if !spec.NeverRepeat && rapid.Bool().Draw(t, "takeover") {
			spec.Takeover = &request.Takeover{Replica: (&driver{t: t}).replica(), Attempt: 1 << 32, Epoch: 1 << 32}
		}
		d := &driver{t: t, now: start, m: request.New(spec), run: r.Begin(spec)}
		d.feed(request.Start{})
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			if len(d.pending) == 0 || d.m.Ended() {
				break
			}
			a := d.pending[0]
			d.pending = d.pending[1:]
			d.answer(a)
			if rapid.IntRange(0, 30).Draw(t, "tick or cancel") == 0 {
				d.feed(request.Tick{})
				d.feed(request.Cancel{})
			}
		}
	}
	r.Close()
	return out.String()
}

// TestReplayEqualsRecording records requests with random events and checks that the
// recording replays to the same decisions, contains no contents of requests or answers,
// and that a replay reports a changed action at its line.
func TestReplayEqualsRecording(t *testing.T) {
	actions := regexp.MustCompile(`"do":\["([^"]+)"`)
	rapid.Check(t, func(t *rapid.T) {
		text := record(t)
		if strings.Contains(text, "secret") {
			t.Fatalf("the trace contains unmasked contents:\n%s", text)
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
			t.Fatalf("replay did not report the change of line %d: %v %v", i+1, err, res.Difference)
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
