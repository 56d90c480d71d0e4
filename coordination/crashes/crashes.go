package crashes

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// ImplicationTTL is how long an implication counts after the last one: a caller that repeats a
	// request does so within minutes.
	ImplicationTTL = 10 * time.Minute
	// FreshRun is the age up to which a run has just begun. Contents that end servers mostly do so
	// as their run begins; runs of other contents are of any age when a server ends.
	FreshRun = 500 * time.Millisecond
	// soleThreshold is how many servers must have ended under fresh runs of a content if no other
	// content ran on all of them.
	soleThreshold = 2
	// freshThreshold is the same if other contents did: contents that move together from one server
	// to the next are told apart by none but a third one.
	freshThreshold = 3
	// runThreshold is how many servers must have ended under runs of any age, also in bursts.
	runThreshold = 5
	// settleTime is how long after the end of a server other daemons may still report contents that
	// ran on it.
	settleTime = 200 * time.Millisecond
	// A fresh run does not count if burstServers servers that did not run the content, and that no
	// other content accounts for, ended within burstWindow of its end: a failure domain or a network has
	// failed.
	burstServers = 4
	burstWindow  = 3 * time.Second
	// maxContents and maxEnds bound the contents and the ends of servers that are remembered.
	maxContents = 4096
	maxEnds     = 1024
)

// Fingerprint identifies a request's content: its path, customer and body.
type Fingerprint uint64

// Phase is how far a run had come when its server ended.
type Phase uint8

// The values of Phase.
const (
	// Waiting means that the run had been sent longer than FreshRun before, and nothing shows that
	// it had begun.
	Waiting Phase = iota
	// Fresh means that it had begun, or had been sent, no longer than FreshRun before.
	Fresh
	// Lasting means that it had begun longer than FreshRun before.
	Lasting
	// Starting is Fresh, and the run had begun and not answered yet. Of the runs on a server that
	// ended as one of them began, these are the likely ones.
	Starting
)

// Progress is how far the answer of a run had come when its server ended.
type Progress uint8

// The values of Progress.
const (
	// NotBegun means that nothing of the answer had arrived.
	NotBegun Progress = iota
	// Begun means that its header had arrived.
	Begun
	// Answering means that a part of its body had arrived.
	Answering
)

// PhaseOf returns the phase of a run of a given age, since it began or else since it was sent.
func PhaseOf(progress Progress, age time.Duration) Phase {
	switch {
	case age <= FreshRun && progress == Begun:
		return Starting
	case age <= FreshRun:
		return Fresh
	case progress != NotBegun:
		return Lasting
	default:
		return Waiting
	}
}

// IsFresh reports whether the run had just begun, or had just been sent.
func (p Phase) IsFresh() bool { return p == Fresh || p == Starting }

// weight orders the phases by what they say of the content.
func (p Phase) weight() int {
	switch p {
	case Starting:
		return 2
	case Fresh:
		return 1
	default:
		return 0
	}
}

// Run is one execution of a content on a server that ended.
type Run struct {
	Content Fingerprint
	Phase   Phase
}

// Tracker holds the implicated contents known to one daemon. It is not safe for concurrent use.
type Tracker struct {
	contents map[Fingerprint]*content
	ends     map[state.BackendIncarnation]*end
	// unrecorded is set if the contents to be kept have changed since the last record.
	unrecorded bool
	// answered is when contents were last answered here. stale are those of which other daemons have told
	// older ends since.
	answered recentTimes
	stale    []Fingerprint
}

// content is the state of one content.
type content struct {
	ends      map[state.BackendIncarnation]Phase // servers that ended while running it
	at        time.Time                          // time of the last implication
	clearedAt time.Time                          // earlier implications don't count
	kept      bool                               // part of this daemon's records
	// toldBlocked is set if this daemon has told all others that the content is refused.
	toldBlocked bool
}

// end is the end of one server.
type end struct {
	at        time.Time
	contents  map[Fingerprint]struct{} // contents that ran on it and are not cleared
	starting  bool                     // a run was starting there,
	startedBy Fingerprint              // of this content
	// Of those, the contents under whose fresh, or starting, runs other servers have ended too.
	repeated, repeatedStarting int
}

// isAccounted reports whether a content is a better explanation of the end than a failure that
// several servers share: it was starting there and where another server ended, or it is the only one
// that had just begun on both. Contents that move along from one server to the next are several.
func (e *end) isAccounted() bool { return e.repeatedStarting > 0 || e.repeated == 1 }

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{contents: make(map[Fingerprint]*content), ends: make(map[state.BackendIncarnation]*end)}
}

// Implicate records that a server ended at a time while it ran contents. It returns the runs that
// were not known, of which the other daemons are to be told.
func (t *Tracker) Implicate(at time.Time, server state.BackendIncarnation, runs ...Run) []Run {
	var added []Run
	for _, run := range runs {
		if t.add(at, server, run) {
			added = append(added, run)
		}
	}
	return added
}

func (t *Tracker) add(at time.Time, server state.BackendIncarnation, run Run) bool {
	c, ok := t.contents[run.Content]
	if !ok {
		t.makeRoom(at)
		c = &content{ends: make(map[state.BackendIncarnation]Phase), clearedAt: t.answered.get(run.Content)}
		t.contents[run.Content] = c
	}
	if !at.After(c.clearedAt) {
		t.addStale(at, run.Content, c)
		return false
	}
	phase, known := c.ends[server]
	if known && run.Phase.weight() <= phase.weight() {
		return false
	}
	t.countRepeated(c, -1)
	if run.Phase == Lasting {
		c.forgetFreshRuns()
	}
	c.ends[server] = run.Phase
	if at.After(c.at) {
		c.at = at
	}
	e := t.endOf(at, server)
	e.contents[run.Content] = struct{}{}
	if run.Phase == Starting {
		e.starting, e.startedBy = true, run.Content
	}
	t.countRepeated(c, 1)
	return true
}

// countRepeated adds a content to the counts of the servers that ended under its fresh runs, if
// there are several, or subtracts it if sign is -1.
func (t *Tracker) countRepeated(c *content, sign int) {
	fresh, starting := c.freshCount(), c.startingCount()
	if fresh < soleThreshold {
		return
	}
	for s, phase := range c.ends {
		e, ok := t.ends[s]
		if !ok || !phase.IsFresh() {
			continue
		}
		e.repeated += sign
		if starting >= soleThreshold && phase == Starting {
			e.repeatedStarting += sign
		}
	}
}

func (c *content) freshCount() int { return c.count(Phase.IsFresh) }

func (c *content) startingCount() int {
	return c.count(func(p Phase) bool { return p == Starting })
}

func (c *content) count(is func(Phase) bool) int {
	n := 0
	for _, phase := range c.ends {
		if is(phase) {
			n++
		}
	}
	return n
}

// forgetFreshRuns stops counting the fresh runs of a content of which another run has lasted: a
// content that ends servers as it begins would not have.
func (c *content) forgetFreshRuns() {
	for s, phase := range c.ends {
		if phase.IsFresh() {
			c.ends[s] = Waiting
		}
	}
}

// endOf returns the record of a server's end, whose time is that of the first report.
func (t *Tracker) endOf(at time.Time, server state.BackendIncarnation) *end {
	if e, ok := t.ends[server]; ok {
		return e
	}
	if len(t.ends) >= maxEnds {
		t.dropOldestEnd()
	}
	e := &end{at: at, contents: make(map[Fingerprint]struct{})}
	t.ends[server] = e
	return e
}

func (t *Tracker) dropOldestEnd() {
	var oldest state.BackendIncarnation
	var at time.Time
	for s, e := range t.ends {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = s, e.at
		}
	}
	delete(t.ends, oldest)
}

// EndCount returns how many servers ended while they ran a content.
func (t *Tracker) EndCount(fp Fingerprint) int {
	if c, ok := t.contents[fp]; ok {
		return len(c.ends)
	}
	return 0
}

// Empty reports whether no content is implicated.
func (t *Tracker) Empty() bool { return len(t.contents) == 0 }

// Verdict says whether requests with a content may be sent to a server.
type Verdict struct {
	Blocked bool
	// SettlesAt is when the decision can be made, or zero if it has been: until then, other daemons
	// may report further contents that ran on the same servers.
	SettlesAt time.Time
	// Exclusive is set if a server has ended as the content began to run: until the content is
	// refused or cleared, one request of the site runs it at a time.
	Exclusive bool
	// TrialAt is when one blocked request may be tried again, or zero for never.
	TrialAt time.Time
}

// Judge decides whether requests with a content may be sent to a server.
func (t *Tracker) Judge(now time.Time, fp Fingerprint) Verdict {
	c, ok := t.contents[fp]
	if !ok || now.Sub(c.at) >= ImplicationTTL {
		return Verdict{}
	}
	fresh := t.countFresh(c)
	if fresh >= freshThreshold || len(c.ends) >= runThreshold {
		return Verdict{Blocked: true}
	}
	if fresh < soleThreshold {
		return Verdict{Exclusive: c.freshCount() > 0}
	}
	if t.likelyCount(c) < soleThreshold {
		return Verdict{Exclusive: true}
	}
	if settled := c.at.Add(c.settleTime()); now.Before(settled) {
		return Verdict{SettlesAt: settled}
	}
	if !t.isAccompanied(fp, c) {
		return Verdict{Blocked: true}
	}
	return Verdict{Exclusive: true}
}

// likelyCount returns how many servers ended under a fresh run of a content for which no run of
// another content is a better explanation.
func (t *Tracker) likelyCount(c *content) int {
	n := 0
	for s, phase := range c.ends {
		if phase.IsFresh() && !t.isExplained(s, phase) {
			n++
		}
	}
	return n
}

// settleTime is how long other daemons may report what ran on the content's servers: runs that were
// not starting may be kept back.
func (c *content) settleTime() time.Duration {
	if c.startingCount() == c.freshCount() {
		return settleTime
	}
	return settleTime + WithholdTime
}

// countFresh returns how many servers ended under a fresh run of a content, apart from bursts.
func (t *Tracker) countFresh(c *content) int {
	n := 0
	for s, phase := range c.ends {
		if e, ok := t.ends[s]; ok && t.isBurst(c, e.at) {
			continue
		}
		if phase.IsFresh() {
			n++
		}
	}
	return n
}

// isBurst reports whether many servers that did not run a content ended at about the same time.
// Ends that a content accounts for do not count.
func (t *Tracker) isBurst(c *content, at time.Time) bool {
	others := 0
	for s, e := range t.ends {
		if _, own := c.ends[s]; !own && !e.isAccounted() && e.at.Sub(at).Abs() <= burstWindow {
			others++
		}
	}
	return others >= burstServers
}

// isAccompanied reports whether another content is as likely the cause of every end under a
// content: it ran there, and was starting wherever that one was.
func (t *Tracker) isAccompanied(fp Fingerprint, c *content) bool {
	var candidates map[Fingerprint]struct{}
	for s, phase := range c.ends {
		e, ok := t.ends[s]
		if ok && !t.isExplained(s, phase) && (candidates == nil || len(e.contents) < len(candidates)) {
			candidates = e.contents
		}
	}
	for other := range candidates {
		if other != fp && t.isAsLikely(other, c) {
			return true
		}
	}
	return false
}

func (t *Tracker) isAsLikely(other Fingerprint, c *content) bool {
	o := t.contents[other]
	for s, phase := range c.ends {
		if _, ok := t.ends[s]; !ok || t.isExplained(s, phase) {
			continue // what else ran there may not be known
		}
		its, ran := o.ends[s]
		if !ran || phase == Starting && its != Starting {
			return false
		}
	}
	return true
}

// BlockedNotices returns the messages that tell a daemon which knows nothing of the blocked contents.
func (t *Tracker) BlockedNotices(now time.Time) []EndNotice {
	return t.notices(now, func(fp Fingerprint) bool { return t.Judge(now, fp).Blocked })
}

// NoticesOf returns the messages that tell of the ends under one content.
func (t *Tracker) NoticesOf(now time.Time, fp Fingerprint) []EndNotice {
	c, ok := t.contents[fp]
	if !ok {
		return nil
	}
	runs := make(map[state.BackendIncarnation][]Run, len(c.ends))
	for s, phase := range c.ends {
		runs[s] = []Run{{Content: fp, Phase: phase}}
	}
	return t.noticesOfRuns(now, runs)
}

// notices returns the messages that tell of the ends under some contents.
func (t *Tracker) notices(now time.Time, of func(Fingerprint) bool) []EndNotice {
	runs := make(map[state.BackendIncarnation][]Run)
	for fp, c := range t.contents {
		if !of(fp) {
			continue
		}
		for s, phase := range c.ends {
			runs[s] = append(runs[s], Run{Content: fp, Phase: phase})
		}
	}
	return t.noticesOfRuns(now, runs)
}

func (t *Tracker) noticesOfRuns(now time.Time, runs map[state.BackendIncarnation][]Run) []EndNotice {
	var out []EndNotice
	for s, of := range runs {
		for _, notice := range EndNotices(s, of) {
			if e, ok := t.ends[s]; ok {
				notice.AgeMS = max(now.Sub(e.at), 0).Milliseconds()
			}
			out = append(out, notice)
		}
	}
	return out
}

// makeRoom drops contents that are expired or cleared, or else the oldest one of those that have
// the fewest ends.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.contents) < maxContents {
		return
	}
	for fp, c := range t.contents {
		if now.Sub(c.at) >= ImplicationTTL || len(c.ends) == 0 {
			t.drop(fp)
		}
	}
	if len(t.contents) < maxContents {
		return
	}
	var victim Fingerprint
	var least *content
	for fp, c := range t.contents {
		if least == nil || len(c.ends) < len(least.ends) || len(c.ends) == len(least.ends) && c.at.Before(least.at) {
			victim, least = fp, c
		}
	}
	t.drop(victim)
}

func (t *Tracker) drop(fp Fingerprint) {
	t.countRepeated(t.contents[fp], -1)
	t.unlink(fp, t.contents[fp])
	delete(t.contents, fp)
}
