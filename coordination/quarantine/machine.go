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
	// maxSweepRows bounds the rows that one sweep deletes.
	maxSweepRows = 16
	// maxDeferred bounds the requests that wait for the first facts.
	maxDeferred = 1024
)

// Quarantine is one daemon's state machine. It is not safe for concurrent use.
type Quarantine struct {
	cfg       Config
	rng       *rand.Rand
	facts     *facts
	livePeers []state.Member // other daemons

	runs       map[RunID]run
	locks      map[Fingerprint]*lock
	locksByID  map[uint64]*lock
	lastLockID uint64

	calls    map[store.CallID]*lock
	lastCall store.CallID
	scanCall store.CallID

	propagations map[uint64]*propagation // by FactUpdate.Seq
	lastSeq      uint64

	// Until the facts of another daemon arrive, or until syncDeadline, requests are
	// deferred: a daemon that was just started would run contents that all others know
	// to crash.
	synced       bool
	syncDeadline time.Time
	deferred     []RunRequested

	nextScan time.Time
	nextSync time.Time
	actions  []Action
}

// New returns a Quarantine that starts with a scan of the quarantine entries.
func New(cfg Config, start time.Time, rng *rand.Rand) *Quarantine {
	m := &Quarantine{
		cfg:          cfg.withDefaults(),
		rng:          rng,
		runs:         make(map[RunID]run),
		locks:        make(map[Fingerprint]*lock),
		locksByID:    make(map[uint64]*lock),
		calls:        make(map[store.CallID]*lock),
		propagations: make(map[uint64]*propagation),
		syncDeadline: start.Add(cfg.withDefaults().PropagationTimeout),
		nextScan:     start,
		nextSync:     start,
	}
	m.facts = newFacts(&m.cfg)
	return m
}

// Step processes one event at now and returns the actions to carry out.
func (m *Quarantine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case RunRequested:
		m.admit(now, ev)
	case Cancel:
		m.cancel(ev.Call)
	case RunStarted:
		m.runStarted(ev)
	case RunEnded:
		m.runEnded(now, ev)
	case BackendDied:
		m.backendDied(now, ev)
	case ViewChanged:
		m.setView(now, ev.Live)
	case Received:
		m.receive(now, ev.From, ev.Msg)
	case StoreResult:
		m.storeAnswered(now, ev.Result)
	}
	return m.actions
}

// NextTick returns when the Quarantine next needs a Tick.
func (m *Quarantine) NextTick() time.Time {
	next := m.nextSync
	if m.nextScan.Before(next) {
		next = m.nextScan
	}
	if !m.synced && m.syncDeadline.Before(next) {
		next = m.syncDeadline
	}
	for _, lk := range m.locks {
		if !lk.wakeAt.IsZero() && lk.wakeAt.Before(next) {
			next = lk.wakeAt
		}
	}
	for _, s := range m.propagations {
		if s.resendAt.Before(next) {
			next = s.resendAt
		}
	}
	return next
}

// Suspected reports whether fp must run exclusively, for views that are answered
// without a Step. It may be asked of several daemons: any daemon that suspects fp is
// right.
func (m *Quarantine) Suspected(fp Fingerprint) bool {
	return m.facts.suspected(fp)
}

func (m *Quarantine) admit(now time.Time, ev RunRequested) {
	if !m.synced && len(m.deferred) < maxDeferred {
		m.deferred = append(m.deferred, ev)
		return
	}
	if until, refused := m.facts.quarantined[ev.Fingerprint]; refused && until.After(now) {
		m.actions = append(m.actions, Refuse{Call: ev.Call, Until: until})
		return
	}
	lk := m.locks[ev.Fingerprint]
	if lk == nil && !m.facts.suspected(ev.Fingerprint) {
		m.actions = append(m.actions, Allow{Call: ev.Call})
		return
	}
	if lk == nil {
		m.lastLockID++
		lk = &lock{id: m.lastLockID, fp: ev.Fingerprint}
		m.locks[lk.fp] = lk
		m.locksByID[lk.id] = lk
		lk.waiting = append(lk.waiting, ev.Call)
		m.acquire(lk)
		return
	}
	if len(lk.waiting) >= m.cfg.MaxWaiting {
		m.actions = append(m.actions, Refuse{Call: ev.Call, Until: now.Add(m.cfg.PollInterval)})
		return
	}
	lk.waiting = append(lk.waiting, ev.Call)
}

// finishSync answers the requests that were deferred until other daemons' facts
// arrived.
func (m *Quarantine) finishSync(now time.Time) {
	if m.synced {
		return
	}
	m.synced = true
	for _, ev := range m.deferred {
		m.admit(now, ev)
	}
	m.deferred = nil
}

func (m *Quarantine) cancel(call uint64) {
	m.deferred = slices.DeleteFunc(m.deferred, func(ev RunRequested) bool { return ev.Call == call })
	for _, lk := range m.locks {
		lk.waiting = slices.DeleteFunc(lk.waiting, func(c uint64) bool { return c == call })
	}
}

// markQuarantined refuses fp until the given time, here and at all daemons that the
// update reaches.
func (m *Quarantine) markQuarantined(now time.Time, fp Fingerprint, until time.Time, confirmed bool) {
	added := m.facts.merge(now, FactUpdate{Quarantined: []Entry{{Fingerprint: fp, Until: until.Unix()}}})
	if added.empty() {
		return
	}
	m.actions = append(m.actions, Quarantined{Fingerprint: fp, Confirmed: confirmed})
	m.broadcast(now, added, "")
}

// isLive reports whether the incarnation is in the membership view. An empty view knows
// nothing, so every member counts as live.
func (m *Quarantine) isLive(member state.Member) bool {
	return member == m.cfg.Self || len(m.livePeers) == 0 || slices.Contains(m.livePeers, member)
}

func (m *Quarantine) callStore(r store.Request, class store.Class) store.CallID {
	m.lastCall++
	m.actions = append(m.actions, CallStore{Call: store.Call{ID: m.lastCall, Class: class, Request: r}})
	return m.lastCall
}

func (m *Quarantine) storeAnswered(now time.Time, res store.Result) {
	if res.Call == m.scanCall {
		m.scanCall = 0
		m.scanDone(now, res)
		return
	}
	lk := m.calls[res.Call]
	delete(m.calls, res.Call)
	if lk != nil && lk.call == res.Call {
		m.rowAnswered(now, lk, res)
	}
}

func (m *Quarantine) tick(now time.Time) {
	m.facts.expire(now)
	if !now.Before(m.syncDeadline) {
		m.finishSync(now)
	}
	for _, id := range slices.Sorted(maps.Keys(m.locksByID)) {
		lk := m.locksByID[id]
		if m.locks[lk.fp] != lk {
			delete(m.locksByID, id)
			continue
		}
		m.checkTimer(now, lk)
	}
	for _, seq := range slices.Sorted(maps.Keys(m.propagations)) {
		m.resend(now, m.propagations[seq])
	}
	if !now.Before(m.nextScan) && m.scanCall == 0 {
		m.scanCall = m.callStore(store.Scan{Table: Table}, store.ClassBackground)
	}
	if !now.Before(m.nextScan) {
		m.nextScan = now.Add(m.cfg.ScanInterval)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.cfg.SyncInterval)
		m.sendDigest(1)
	}
}
