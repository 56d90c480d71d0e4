package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// sweepRows bounds the rows that one sweep deletes.
	sweepRows = 16
	// maxEarly bounds the requests that wait for the first facts.
	maxEarly = 1024
)

// Quarantine is one daemon's part. Not safe for use by several goroutines.
type Quarantine struct {
	cfg   Config
	rng   *rand.Rand
	facts *facts
	live  []state.Member // others

	runs     map[RunID]run
	turns    map[Fingerprint]*turn
	byNo     map[uint64]*turn
	lastTurn uint64

	calls    map[store.CallID]*turn
	lastCall store.CallID
	scanning store.CallID

	spreading map[uint64]*spreading // by Tell.Seq
	lastSeq   uint64

	// Until some other daemon's facts came, or syncBy, requests wait: a daemon
	// that was just started would run what all others know to crash.
	synced bool
	syncBy time.Time
	early  []RunRequested

	nextScan time.Time
	nextSync time.Time
	out      []Action
}

// New returns a Quarantine that begins with a scan of the convictions.
func New(cfg Config, start time.Time, rng *rand.Rand) *Quarantine {
	m := &Quarantine{
		cfg:       cfg.withDefaults(),
		rng:       rng,
		runs:      make(map[RunID]run),
		turns:     make(map[Fingerprint]*turn),
		byNo:      make(map[uint64]*turn),
		calls:     make(map[store.CallID]*turn),
		spreading: make(map[uint64]*spreading),
		syncBy:    start.Add(cfg.withDefaults().PropagationTimeout),
		nextScan:  start,
		nextSync:  start,
	}
	m.facts = newFacts(&m.cfg)
	return m
}

// Step takes one event at now.
func (m *Quarantine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case RunRequested:
		m.ask(now, ev)
	case Cancel:
		m.cancel(ev.Call)
	case RunStarted:
		m.began(ev)
	case RunEnded:
		m.ended(now, ev)
	case BackendDied:
		m.died(now, ev)
	case ViewChanged:
		m.members(now, ev.Live)
	case Received:
		m.receive(now, ev.From, ev.Msg)
	case StoreResult:
		m.answered(now, ev.Result)
	}
	return m.out
}

// NextTick is when the Quarantine next wants a Tick.
func (m *Quarantine) NextTick() time.Time {
	next := m.nextSync
	if m.nextScan.Before(next) {
		next = m.nextScan
	}
	if !m.synced && m.syncBy.Before(next) {
		next = m.syncBy
	}
	for _, t := range m.turns {
		if !t.wakeAt.IsZero() && t.wakeAt.Before(next) {
			next = t.wakeAt
		}
	}
	for _, s := range m.spreading {
		if s.again.Before(next) {
			next = s.again
		}
	}
	return next
}

// Suspected reports whether fp is to run alone, for views that answer without a
// Step. It may be asked of several daemons: each that suspects fp is right.
func (m *Quarantine) Suspected(fp Fingerprint) bool {
	return m.facts.suspected(fp)
}

func (m *Quarantine) ask(now time.Time, ev RunRequested) {
	if !m.synced && len(m.early) < maxEarly {
		m.early = append(m.early, ev)
		return
	}
	if until, convicted := m.facts.convicted[ev.Fingerprint]; convicted && until.After(now) {
		m.out = append(m.out, Refuse{Call: ev.Call, Until: until})
		return
	}
	t := m.turns[ev.Fingerprint]
	if t == nil && !m.facts.suspected(ev.Fingerprint) {
		m.out = append(m.out, Allow{Call: ev.Call})
		return
	}
	if t == nil {
		m.lastTurn++
		t = &turn{no: m.lastTurn, fp: ev.Fingerprint}
		m.turns[t.fp] = t
		m.byNo[t.no] = t
		t.waiting = append(t.waiting, ev.Call)
		m.seek(t)
		return
	}
	if len(t.waiting) >= m.cfg.MaxWaiting {
		m.out = append(m.out, Refuse{Call: ev.Call, Until: now.Add(m.cfg.PollInterval)})
		return
	}
	t.waiting = append(t.waiting, ev.Call)
}

// sync answers the requests that waited for other daemons' facts.
func (m *Quarantine) sync(now time.Time) {
	if m.synced {
		return
	}
	m.synced = true
	for _, ev := range m.early {
		m.ask(now, ev)
	}
	m.early = nil
}

func (m *Quarantine) cancel(call uint64) {
	m.early = slices.DeleteFunc(m.early, func(ev RunRequested) bool { return ev.Call == call })
	for _, t := range m.turns {
		t.waiting = slices.DeleteFunc(t.waiting, func(c uint64) bool { return c == call })
	}
}

// learnConvicted refuses fp until then, here and wherever the word comes.
func (m *Quarantine) learnConvicted(now time.Time, fp Fingerprint, until time.Time, proved bool) {
	news := m.facts.merge(now, FactUpdate{Quarantined: []QuarantineEntry{{Fingerprint: fp, Until: until.Unix()}}})
	if news.empty() {
		return
	}
	m.out = append(m.out, Quarantined{Fingerprint: fp, Confirmed: proved})
	m.tell(now, news, "")
}

// alive reports whether the view has that life; an empty view knows nothing.
func (m *Quarantine) alive(member state.Member) bool {
	return member == m.cfg.Self || len(m.live) == 0 || slices.Contains(m.live, member)
}

func (m *Quarantine) store(r store.Request, class store.Class) store.CallID {
	m.lastCall++
	m.out = append(m.out, CallStore{Call: store.Call{ID: m.lastCall, Class: class, Request: r}})
	return m.lastCall
}

func (m *Quarantine) answered(now time.Time, res store.Result) {
	if res.Call == m.scanning {
		m.scanning = 0
		m.scanned(now, res)
		return
	}
	t := m.calls[res.Call]
	delete(m.calls, res.Call)
	if t != nil && t.call == res.Call {
		m.stored(now, t, res)
	}
}

func (m *Quarantine) tick(now time.Time) {
	m.facts.expire(now)
	if !now.Before(m.syncBy) {
		m.sync(now)
	}
	for _, no := range slices.Sorted(maps.Keys(m.byNo)) {
		t := m.byNo[no]
		if m.turns[t.fp] != t {
			delete(m.byNo, no)
			continue
		}
		m.wake(now, t)
	}
	for _, seq := range slices.Sorted(maps.Keys(m.spreading)) {
		m.spreadAgain(now, m.spreading[seq])
	}
	if !now.Before(m.nextScan) && m.scanning == 0 {
		m.scanning = m.store(store.Scan{Table: Table}, store.ClassBackground)
	}
	if !now.Before(m.nextScan) {
		m.nextScan = now.Add(m.cfg.ScanInterval)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.cfg.SyncInterval)
		m.compare(1)
	}
}
