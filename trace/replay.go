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

// Difference is where a replay did not do what the trace says.
type Difference struct {
	Line     int // of the trace, from 1
	Subject  string
	Expected string
	Got      string
}

// String gives the difference on four lines.
func (d Difference) String() string {
	return fmt.Sprintf("line %d: %s\n  expected: %s\n  got:      %s", d.Line, d.Subject, d.Expected, d.Got)
}

// Result is what a replay found. It stops at the first difference.
type Result struct {
	Runs         int // requests
	Events       int
	Expectations int // stated outcomes that hold
	Unfinished   int // requests without an outcome, as where a daemon was lost
	Difference   *Difference
}

// Replay feeds a trace's events through new machines and compares what they
// decide, and then the stated outcomes. Its error is an *InputError where the
// trace is broken.
func Replay(in io.Reader) (Result, error) {
	p := &replay{
		runs:      make(map[runKey]*replayed),
		documents: make(map[documentKey]state.DocumentVersion),
	}
	lines := NewReader(in)
	for p.res.Difference == nil {
		l, err := lines.Next()
		if errors.Is(err, io.EOF) {
			p.checkOutcomes()
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

// virtual is when every recording begins in a replay. Only differences of times
// decide anything.
var virtual = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

type runKey struct {
	by  string
	run uint64
}

// replayed is one request in the replay.
type replayed struct {
	key     runKey
	spec    request.Spec
	m       *request.Request // nil once it has ended
	started bool
	tokens  int
	outcome string
	reason  state.Reason
}

type documentKey struct {
	by      string
	service state.ServiceID
}

type stated struct {
	line   int
	expect *Expectation
}

type replay struct {
	res       Result
	runs      map[runKey]*replayed
	documents map[documentKey]state.DocumentVersion
	expects   []stated
}

func (p *replay) line(number int, l Line) error {
	key := runKey{by: l.Source, run: l.Run}
	switch {
	case l.Request != nil:
		return p.arrive(key, l)
	case l.Event != nil:
		return p.step(number, key, l)
	case l.Document != nil:
		p.document(number, l)
	case l.Expect != nil:
		p.expects = append(p.expects, stated{line: number, expect: l.Expect})
	}
	return nil
}

func (p *replay) arrive(key runKey, l Line) error {
	if _, ok := p.runs[key]; ok {
		return fmt.Errorf("run %d of %s begins twice", key.run, key.by)
	}
	spec, err := l.Request.restore(virtual)
	if err != nil {
		return err
	}
	p.runs[key] = &replayed{key: key, spec: spec, m: request.New(spec), outcome: outcomeUnfinished}
	p.res.Runs++
	return nil
}

func (p *replay) step(number int, key runKey, l Line) error {
	r, ok := p.runs[key]
	if !ok {
		return fmt.Errorf("run %d of %s has no request line", key.run, key.by)
	}
	if r.m == nil {
		return fmt.Errorf("run %d of %s has ended", key.run, key.by)
	}
	ev, err := l.Event.restore(virtual)
	if err != nil {
		return err
	}
	if first := l.Event.Kind == KindStart; first == r.started {
		return fmt.Errorf("run %d of %s: start comes first, and once", key.run, key.by)
	}
	r.started = true
	p.res.Events++
	actions, broken := r.step(virtual.Add(time.Duration(l.At)), ev)
	if broken != "" {
		actions = append(actions, broken)
	}
	p.compare(number, l, actions)
	return nil
}

// step runs the machine. A machine that breaks an invariant of its own on a
// recorded event is a difference, also where the event was made up by hand.
func (r *replayed) step(now time.Time, ev request.Event) (texts []string, broken string) {
	defer func() {
		if v := recover(); v != nil {
			broken = fmt.Sprintf("panic: %v", v)
		}
	}()
	actions := r.m.Step(now, ev)
	for _, a := range actions {
		r.note(a)
	}
	texts = mask{}.actions(actions)
	if r.m.Ended() {
		r.m = nil
	}
	return texts, ""
}

// note keeps what the stated outcomes are about.
func (r *replayed) note(a request.Action) {
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

// compare finds the first action that differs.
func (p *replay) compare(number int, l Line, got []string) {
	const none = "(nothing more)"
	for i := range max(len(l.Actions), len(got)) {
		want, have := none, none
		if i < len(l.Actions) {
			want = l.Actions[i]
		}
		if i < len(got) {
			have = got[i]
		}
		if want != have {
			what := fmt.Sprintf("%s run %d, action %d after %s", l.Source, l.Run, i+1, l.Event.Kind)
			p.differ(number, what, want, have)
			return
		}
	}
}

func (p *replay) differ(line int, what, want, got string) {
	if p.res.Difference == nil {
		p.res.Difference = &Difference{Line: line, Subject: what, Expected: want, Got: got}
	}
}

// document holds that versions in force never go back.
func (p *replay) document(number int, l Line) {
	key := documentKey{by: l.Source, service: l.Document.Service}
	last := p.documents[key]
	if l.Document.Version <= last {
		what := fmt.Sprintf("%s puts %s into force", l.Source, l.Document.Service)
		p.differ(number, what, fmt.Sprintf("a version above %d", last), fmt.Sprintf("version %d", l.Document.Version))
	}
	p.documents[key] = l.Document.Version
}

// checkOutcomes checks the stated outcomes.
func (p *replay) checkOutcomes() {
	for _, r := range p.runs {
		if r.outcome == outcomeUnfinished {
			p.res.Unfinished++
		}
	}
	for _, s := range p.expects {
		if s.expect.Version != 0 {
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

func (p *replay) checkCount(s stated) {
	got := 0
	for _, r := range p.runs {
		if s.expect.matches(r) {
			got++
		}
	}
	if want := s.expect.want(); got != want {
		p.differ(s.line, "requests with "+s.expect.String(), fmt.Sprint(want), fmt.Sprint(got))
	}
}

func (p *replay) checkVersion(s stated) {
	e := s.expect
	found := false
	for _, key := range slices.SortedFunc(maps.Keys(p.documents), compareDocuments) {
		if key.service != e.Service || e.Source != "" && e.Source != key.by {
			continue
		}
		found = true
		if got := p.documents[key]; got != e.Version {
			p.differ(s.line, fmt.Sprintf("last version of %s at %s", e.Service, key.by), fmt.Sprint(e.Version), fmt.Sprint(got))
		}
	}
	if !found {
		p.differ(s.line, "last version of "+string(e.Service), fmt.Sprint(e.Version), "none")
	}
}

func compareDocuments(a, b documentKey) int {
	return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.service, b.service))
}
