package trace

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Difference is the first deviation of a replay from its trace.
type Difference struct {
	Line     int // of the trace, from 1
	Subject  string
	Expected string
	Got      string
}

// String formats the difference on three lines.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: %s\n  expected: %s\n  got:      %s", d.Line, d.Subject, d.Expected, d.Got)
}

// Result is the result of a replay, which stops at the first difference.
type Result struct {
	Runs         int // requests
	Events       int
	Expectations int // stated outcomes that hold
	Unfinished   int // requests without an outcome, such as those of a daemon that crashed
	Difference   *Difference
}

// Replay passes the events of a trace to new state machines, compares their actions
// with the recorded ones and then checks the stated outcomes. It returns an *InputError
// if the trace is invalid.
func Replay(in io.Reader) (Result, error) {
	p := &replayer{
		runs:      make(map[runKey]*replayedRun),
		documents: make(map[documentKey]state.DocumentVersion),
	}
	lines := NewReader(in)
	for p.res.Difference == nil {
		l, err := lines.Next()
		if errors.Is(err, io.EOF) {
			p.checkExpectations()
			break
		}
		if err != nil {
			return p.res, err
		}
		if err := p.line(lines.LineNumber(), l); err != nil {
			return p.res, &InputError{Line: lines.LineNumber(), Message: err.Error()}
		}
	}
	return p.res, nil
}

// replayStart is the start time of every recording in a replay. Decisions depend on
// differences between times only.
var replayStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

type runKey struct {
	source string
	run    uint64
}

// replayedRun is one request in the replay.
type replayedRun struct {
	key     runKey
	spec    request.Spec
	m       *request.Request // nil once it has ended
	started bool
	tokens  int
	outcome string
	reason  state.Reason
}

type documentKey struct {
	source  string
	service state.ServiceID
}

type expectationLine struct {
	line        int
	expectation *Expectation
}

type replayer struct {
	res          Result
	runs         map[runKey]*replayedRun
	documents    map[documentKey]state.DocumentVersion
	expectations []expectationLine
}

func (p *replayer) line(number int, l Line) error {
	key := runKey{source: l.Source, run: l.Run}
	switch {
	case l.Request != nil:
		return p.addRun(key, l)
	case l.Event != nil:
		return p.step(number, key, l)
	case l.Document != nil:
		p.document(number, l)
	case l.Expect != nil:
		p.expectations = append(p.expectations, expectationLine{line: number, expectation: l.Expect})
	}
	return nil
}

func (p *replayer) addRun(key runKey, l Line) error {
	if _, ok := p.runs[key]; ok {
		return fmt.Errorf("duplicate request line of run %d of %s", key.run, key.source)
	}
	spec, err := l.Request.restore(replayStart)
	if err != nil {
		return err
	}
	p.runs[key] = &replayedRun{key: key, spec: spec, m: request.New(spec), outcome: outcomeUnfinished}
	p.res.Runs++
	return nil
}

func (p *replayer) step(number int, key runKey, l Line) error {
	r, ok := p.runs[key]
	if !ok {
		return fmt.Errorf("run %d of %s has no request line", key.run, key.source)
	}
	if r.m == nil {
		return fmt.Errorf("run %d of %s has ended", key.run, key.source)
	}
	ev, err := l.Event.restore(replayStart)
	if err != nil {
		return err
	}
	if first := l.Event.Kind == KindStart; first == r.started {
		return fmt.Errorf("run %d of %s: start must be the first event and occur once", key.run, key.source)
	}
	r.started = true
	p.res.Events++
	actions, panicked := r.step(replayStart.Add(time.Duration(l.At)), ev)
	if panicked != "" {
		actions = append(actions, panicked)
	}
	p.compare(number, l, actions)
	return nil
}

// step runs the state machine. A panic on a recorded event is reported as a
// difference, even if the event was written by hand.
func (r *replayedRun) step(now time.Time, ev request.Event) (texts []string, panicked string) {
	defer func() {
		if v := recover(); v != nil {
			panicked = fmt.Sprintf("panic: %v", v)
		}
	}()
	actions := r.m.Step(now, ev)
	for _, a := range actions {
		r.recordOutcome(a)
	}
	texts = masker{}.actions(actions)
	if r.m.Ended() {
		r.m = nil
	}
	return texts, ""
}

// recordOutcome stores the values that stated outcomes refer to.
func (r *replayedRun) recordOutcome(a request.Action) {
	switch a := a.(type) {
	case request.Emit:
		r.tokens++
	case request.End:
		switch o := a.Outcome.(type) {
		case state.Completed:
			r.outcome = outcomeCompleted
		case state.Refused:
			r.outcome, r.reason = outcomeRefused, o.Reason
		case state.Failed:
			r.outcome, r.reason = outcomeFailed, o.Reason
		case state.Unknown:
			r.outcome, r.reason = outcomeUnknown, o.Reason
		}
	}
}

// compare reports the first action that differs.
func (p *replayer) compare(number int, l Line, got []string) {
	const none = "(no further action)"
	for i := range max(len(l.Actions), len(got)) {
		want, have := none, none
		if i < len(l.Actions) {
			want = l.Actions[i]
		}
		if i < len(got) {
			have = got[i]
		}
		if want != have {
			subject := fmt.Sprintf("%s run %d, action %d after %s", l.Source, l.Run, i+1, l.Event.Kind)
			p.reportDifference(number, subject, want, have)
			return
		}
	}
}

func (p *replayer) reportDifference(line int, subject, want, got string) {
	if p.res.Difference == nil {
		p.res.Difference = &Difference{Line: line, Subject: subject, Expected: want, Got: got}
	}
}

// document checks that the active version of a document never decreases.
func (p *replayer) document(number int, l Line) {
	key := documentKey{source: l.Source, service: l.Document.Service}
	last := p.documents[key]
	if l.Document.Version <= last {
		subject := fmt.Sprintf("%s applies %s", l.Source, l.Document.Service)
		p.reportDifference(number, subject, fmt.Sprintf("a version above %d", last), fmt.Sprintf("version %d", l.Document.Version))
	}
	p.documents[key] = l.Document.Version
}

// checkExpectations checks the stated outcomes.
func (p *replayer) checkExpectations() {
	for _, r := range p.runs {
		if r.outcome == outcomeUnfinished {
			p.res.Unfinished++
		}
	}
	for _, s := range p.expectations {
		if s.expectation.Version != 0 {
			p.checkVersion(s)
		} else {
			p.checkCount(s)
		}
		if p.res.Difference != nil {
			return
		}
		p.res.Expectations++
	}
}

func (p *replayer) checkCount(s expectationLine) {
	got := 0
	for _, r := range p.runs {
		if s.expectation.matches(r) {
			got++
		}
	}
	if want := s.expectation.wantCount(); got != want {
		p.reportDifference(s.line, "requests with "+s.expectation.String(), fmt.Sprint(want), fmt.Sprint(got))
	}
}

func (p *replayer) checkVersion(s expectationLine) {
	e := s.expectation
	found := false
	for _, key := range slices.SortedFunc(maps.Keys(p.documents), compareDocuments) {
		if key.service != e.Service || e.Source != "" && e.Source != key.source {
			continue
		}
		found = true
		if got := p.documents[key]; got != e.Version {
			p.reportDifference(s.line, fmt.Sprintf("last version of %s at %s", e.Service, key.source), fmt.Sprint(e.Version), fmt.Sprint(got))
		}
	}
	if !found {
		p.reportDifference(s.line, "last version of "+string(e.Service), fmt.Sprint(e.Version), "none")
	}
}

func compareDocuments(a, b documentKey) int {
	return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.service, b.service))
}
