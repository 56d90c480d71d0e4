package crashes

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// A part is suspected if partThreshold servers have ended under fresh runs with it, unless fewer
	// than partContents contents account for the ends: those are refused by themselves. The requests
	// with a suspected part run one at a time on the whole site, until one of them is answered.
	partThreshold = 3
	partContents  = 2
	// A part is refused after partStrikes contents that ran alone with it have ended servers, one that
	// was answered earlier after knownPartStrikes. Ends that servers have in common without the part
	// are no strikes, since the runs on them began before.
	partStrikes      = 2
	knownPartStrikes = 3
	// partTrialDelay is the time from the last end to the next trial of a refused part. It doubles
	// with each trial that ends a server.
	partTrialDelay = time.Minute
	// clearThreshold is how many ends must stand against a part before other daemons are told that it
	// was answered.
	clearThreshold = partThreshold - 1
	// learnTime is how long after its start a daemon knows too little of the parts that are answered to
	// tell those that never were.
	learnTime = 10 * time.Second
	// recentAnswer is how long the other daemons may take to learn that a part was answered.
	recentAnswer = 2 * time.Second
	// maxPartEnds, maxEndParts and maxPartRuns bound the ends that are remembered, the parts of one
	// end and the contents of one part there.
	maxPartEnds = 128
	maxEndParts = 256
	maxPartRuns = 32
)

// PartRun is a fresh run on a server that ended: its content and the parts of its prompt that other
// requests may share.
type PartRun struct {
	Content Fingerprint   `msgpack:"c" json:"content"`
	Parts   []Fingerprint `msgpack:"p" json:"parts"`
	// Tried are those of the parts that were suspected, and whose turn the request held.
	Tried []Fingerprint `msgpack:"t,omitempty" json:"tried,omitempty"`
	// Starting is set if the run had begun and not answered yet.
	Starting bool `msgpack:"b,omitempty" json:"starting,omitempty"`
}

// Parts finds the parts of prompts that end the servers which begin to answer them, whatever else the
// requests hold. It is not safe for concurrent use.
type Parts struct {
	startedAt time.Time
	ends      map[state.BackendIncarnation]*partEnd
	// Ends don't count that are older than the last answer with a part: answered is when one went on
	// or was completed here, cleared when a daemon has told all others of one.
	answered, cleared recentTimes

	decided   bool // suspects is current
	suspects  map[Fingerprint]suspectPart
	untold    []Fingerprint // parts that were answered, of which the other daemons are to be told
	recordDue bool          // the runs to be recorded may have changed
	recorded  int           // number of runs in the last record
}

// partEnd is the end of one server.
type partEnd struct {
	at       time.Time
	parts    map[Fingerprint]*partRuns
	starting bool // a run was starting
	own      bool // part of this daemon's records
}

// partRuns are the runs with one part on a server that ended.
type partRuns struct {
	contents []Fingerprint
	tried    Fingerprint // the one that held the turn of the suspected part, or 0
	starting bool        // the run of one of them was starting
}

// add includes a run and reports whether that changes anything.
func (r *partRuns) add(content Fingerprint, tried, starting bool) bool {
	changed := tried && r.tried != content || starting && !r.starting
	if tried {
		r.tried = content
	}
	if starting && !r.starting {
		r.contents, r.starting = nil, true // the others did not begin
	}
	if len(r.contents) >= maxPartRuns || slices.Contains(r.contents, content) || r.starting && !starting {
		return changed
	}
	r.contents = append(r.contents, content)
	return true
}

// suspectPart is a suspected part.
type suspectPart struct {
	excess int       // strikes beyond those after which it is refused; negative before
	last   time.Time // the last end
}

// NewParts returns an empty tracker of a daemon that starts now.
func NewParts(now time.Time) *Parts {
	return &Parts{startedAt: now, ends: make(map[state.BackendIncarnation]*partEnd)}
}

// Empty reports whether no server has ended under a part.
func (t *Parts) Empty() bool { return len(t.ends) == 0 }

// Ended records that a server ended under fresh runs. own is set if this daemon has seen the end.
// It returns the runs that were not known, of which the other daemons are to be told.
func (t *Parts) Ended(at time.Time, server state.BackendIncarnation, own bool, runs ...PartRun) []PartRun {
	var added []PartRun
	for _, run := range runs {
		if len(run.Parts) > 0 && t.add(at, server, own, run) {
			added = append(added, run)
		}
	}
	return added
}

func (t *Parts) add(at time.Time, server state.BackendIncarnation, own bool, run PartRun) bool {
	e, ok := t.ends[server]
	if !ok {
		t.makeRoom(at)
		e = &partEnd{at: at, parts: make(map[Fingerprint]*partRuns)}
		t.ends[server] = e
	}
	e.own = e.own || own
	added := run.Starting && !e.starting
	e.starting = e.starting || run.Starting
	for _, part := range run.Parts {
		runs, known := e.parts[part]
		if !known {
			if len(e.parts) >= maxEndParts {
				continue
			}
			runs = &partRuns{}
			e.parts[part] = runs
		}
		added = runs.add(run.Content, slices.Contains(run.Tried, part), run.Starting) || added
		t.tellAnswered(part)
	}
	if added {
		t.decided, t.recordDue = false, true
	}
	return added
}

// makeRoom drops the ends that have expired, or else the oldest one.
func (t *Parts) makeRoom(now time.Time) {
	for s, e := range t.ends {
		if now.Sub(e.at) >= ImplicationTTL {
			t.drop(s)
		}
	}
	if len(t.ends) < maxPartEnds {
		return
	}
	var oldest state.BackendIncarnation
	var at time.Time
	for s, e := range t.ends {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = s, e.at
		}
	}
	t.drop(oldest)
}

func (t *Parts) drop(server state.BackendIncarnation) {
	delete(t.ends, server)
	t.decided = false
}

// Answered records that an answer with a part goes on long after it began, or is complete: the part
// ends no server that begins to answer it.
func (t *Parts) Answered(now time.Time, part Fingerprint) {
	t.answered.set(part, now)
	if _, suspected := t.suspects[part]; suspected {
		t.decided = false
	}
	t.tellAnswered(part)
}

// tellAnswered adds a part to those that other daemons are to be told of if it was answered here
// since several ends that stand against it elsewhere.
func (t *Parts) tellAnswered(part Fingerprint) {
	answered := t.answered.get(part)
	if answered.IsZero() || len(t.ends) < clearThreshold || slices.Contains(t.untold, part) {
		return
	}
	standing := 0
	for _, e := range t.ends {
		if _, ran := e.parts[part]; ran && e.at.After(t.cleared.get(part)) && !e.at.After(answered) {
			standing++
		}
	}
	if standing >= clearThreshold {
		t.untold = append(t.untold, part)
	}
}

// TakeUntold returns the parts that the other daemons are to be told of as cleared.
func (t *Parts) TakeUntold(now time.Time) []Fingerprint {
	out := t.untold
	t.untold = nil
	for _, part := range out {
		t.Cleared(now, part)
	}
	return out
}

// Cleared records that a daemon has told all others that a part was answered.
func (t *Parts) Cleared(at time.Time, part Fingerprint) {
	if !at.After(t.cleared.get(part)) {
		return
	}
	t.cleared.set(part, at)
	if _, suspected := t.suspects[part]; suspected {
		t.decided, t.recordDue = false, true
	}
}

// AnsweredRecently reports whether a part was answered so lately that other daemons may not know.
func (t *Parts) AnsweredRecently(now time.Time, part Fingerprint) bool {
	return now.Sub(t.answered.get(part)) < recentAnswer
}

// Judge decides whether requests with a part may be sent to a server.
func (t *Parts) Judge(now time.Time, part Fingerprint) Verdict {
	if !t.decided {
		t.decide()
	}
	s, ok := t.suspects[part]
	if !ok || now.Sub(s.last) >= ImplicationTTL {
		return Verdict{}
	}
	if s.excess < 0 {
		return Verdict{Exclusive: true}
	}
	trial := s.last.Add(min(partTrialDelay<<min(s.excess, 10), ImplicationTTL))
	if now.Before(trial) {
		return Verdict{Blocked: true, TrialAt: trial}
	}
	return Verdict{Exclusive: true}
}
