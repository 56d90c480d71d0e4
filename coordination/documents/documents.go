package documents

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the parameters of the state machine.
type Config struct {
	// The time between polls of the store is the larger of PollInterval and
	// PollIntervalPerMember times the number of live daemons, so that the site polls less than
	// 1/PollIntervalPerMember times per second at any size. A daemon that does not reach a
	// majority polls every PollInterval.
	PollInterval          time.Duration
	PollIntervalPerMember time.Duration

	// OriginFanout is how many daemons an edit is announced to by the daemon that accepted it,
	// Fanout by each other daemon that applies it.
	OriginFanout int
	Fanout       int

	// CompareInterval limits how often differing digests cause a comparison. None starts within
	// QuietPeriod of an applied version, because gossip about it may still be in flight; a
	// longer QuietPeriod would postpone comparisons indefinitely during frequent edits.
	CompareInterval time.Duration
	QuietPeriod     time.Duration

	MinBackoff time.Duration // bounds of the backoff of store calls
	MaxBackoff time.Duration

	// IsolateAfter is how long the daemon may reach neither the store nor a majority of its
	// peers before it is isolated.
	IsolateAfter time.Duration

	// BootstrapPeers is how many ready peers must report their versions before a daemon that
	// can't reach the store is ready.
	BootstrapPeers int

	MaxDocsBytes int // total size of the texts in one message
}

// DefaultConfig returns the values that a daemon uses.
func DefaultConfig() Config {
	return Config{
		PollInterval:          2 * time.Second,
		PollIntervalPerMember: 15 * time.Millisecond,
		OriginFanout:          16,
		Fanout:                5,
		CompareInterval:       300 * time.Millisecond,
		QuietPeriod:           100 * time.Millisecond,
		MinBackoff:            50 * time.Millisecond,
		MaxBackoff:            time.Second,
		IsolateAfter:          6 * time.Second,
		BootstrapPeers:        3,
		MaxDocsBytes:          256 << 10,
	}
}

type callKind uint8

const (
	callScan callKind = iota
	callGet
	callCommit
)

// pendingCall records the purpose of a store call. edit is nil for reads of the state machine
// itself.
type pendingCall struct {
	kind    callKind
	service state.ServiceID
	edit    *edit
}

// activeDocument is the active version of a document.
type activeDocument struct {
	record   Record
	revision uint64 // of its row, 0 if it was received from a peer
	patch    *Patch // from the previous version, nil if unknown or large
}

// Documents is the state machine of one daemon. It is owned by the control goroutine.
type Documents struct {
	cfg  Config
	rng  *rand.Rand
	self state.Member

	active  map[state.ServiceID]*activeDocument
	missing map[state.ServiceID]state.DocumentVersion // versions known to exist and not yet received
	hash    uint64
	edits   []*edit

	calls    map[store.CallID]pendingCall
	lastCall store.CallID

	live         []state.Member
	totalMembers int

	nextPoll   time.Time
	polling    bool
	appliedAt  time.Time
	comparedAt time.Time // time of the last comparison
	pulledAt   time.Time

	ready              bool
	readyReports       map[state.DaemonID]bool // ready peers that reported their versions
	bootstrapQueriedAt time.Time               // time of the last round of queries before ready
	scanSucceeded      bool                    // the store has returned all versions at least once
	storeAnsweredAt    time.Time               // time of the store's last answer
	majorityAt         time.Time               // time at which a majority was last reached
	isolated           bool
	storeDown          bool // the last poll was not answered

	now     time.Time
	actions []Action
}

// New returns the state machine of a daemon that has no documents yet.
func New(cfg Config, rng *rand.Rand, self state.Member, now time.Time) *Documents {
	return &Documents{
		cfg:          cfg,
		rng:          rng,
		self:         self,
		active:       make(map[state.ServiceID]*activeDocument),
		missing:      make(map[state.ServiceID]state.DocumentVersion),
		calls:        make(map[store.CallID]pendingCall),
		readyReports: make(map[state.DaemonID]bool),
		totalMembers: 1,
		nextPoll:     now,
	}
}

// Digest returns the digest to send with heartbeats.
func (d *Documents) Digest() Digest {
	return Digest{Hash: d.hash}
}

// Ready reports whether the daemon has had the current documents at least once.
func (d *Documents) Ready() bool {
	return d.ready
}

// Isolated reports whether the daemon can't know if its documents are current.
func (d *Documents) Isolated() bool {
	return d.isolated
}

// FreshUntil is when the daemon becomes isolated unless it receives further evidence. The
// traffic path checks it against its own clock, so that a daemon that was paused accepts no
// requests before its control goroutine has detected the pause.
func (d *Documents) FreshUntil() time.Time {
	last := d.storeAnsweredAt
	if d.majorityAt.After(last) {
		last = d.majorityAt
	}
	return last.Add(d.cfg.IsolateAfter)
}

// ActiveVersions returns the active version of each document.
func (d *Documents) ActiveVersions() map[state.ServiceID]state.DocumentVersion {
	m := make(map[state.ServiceID]state.DocumentVersion, len(d.active))
	for id, entry := range d.active {
		m[id] = entry.record.Version
	}
	return m
}

// Doc returns the active document of a service.
func (d *Documents) Doc(id state.ServiceID) (Doc, bool) {
	entry := d.active[id]
	if entry == nil {
		return Doc{}, false
	}
	return entry.record.doc(id), true
}

// NextTick returns when the state machine next needs a Tick.
func (d *Documents) NextTick() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if d.ready && !d.isolated {
		earlier(d.FreshUntil())
	}
	if !d.polling {
		earlier(d.nextPoll)
	}
	for _, e := range d.edits {
		earlier(e.Deadline)
		earlier(e.retryAt)
	}
	if !d.ready && len(d.live) > 0 {
		earlier(d.bootstrapQueriedAt.Add(bootstrapQueryInterval))
	}
	if len(d.missing) > 0 {
		earlier(d.pulledAt.Add(d.cfg.CompareInterval))
	}
	return next
}

// Step applies one event and returns the actions to perform, in order.
func (d *Documents) Step(now time.Time, ev Event) []Action {
	d.now = now
	d.actions = nil
	switch ev := ev.(type) {
	case SubmitEdit:
		d.submitEdit(ev)
	case StoreResult:
		d.handleStoreResult(ev.Result)
	case Received:
		d.handleMessage(ev.From, ev.Msg)
	case Members:
		d.setMembers(ev)
	case Tick:
	}
	d.tickEdits()
	d.poll()
	d.bootstrap()
	d.retryPull()
	d.checkIsolation()
	return d.actions
}

func (d *Documents) callStore(req store.Request, p pendingCall) {
	d.lastCall++
	d.calls[d.lastCall] = p
	d.actions = append(d.actions, CallStore{Call: store.Call{ID: d.lastCall, Class: store.ClassDocument, Request: req}})
}

func (d *Documents) readRow(id state.ServiceID, e *edit) {
	d.callStore(store.Get{Table: Table, Key: string(id)}, pendingCall{kind: callGet, service: id, edit: e})
}

func (d *Documents) handleStoreResult(res store.Result) {
	p, ok := d.calls[res.Call]
	if !ok {
		return
	}
	delete(d.calls, res.Call)
	if p.kind == callCommit {
		d.handleCommit(p.edit, res)
		return
	}
	if p.kind == callScan {
		d.handleScan(res)
		return
	}
	if res.Status == store.Done {
		d.storeResponded()
		d.handleRow(p.service, res)
	}
	if p.edit != nil && slices.Contains(d.edits, p.edit) {
		d.handleEditRead(p.edit, res)
	}
}

// handleRow applies a document row that is newer than the active version.
func (d *Documents) handleRow(id state.ServiceID, res store.Result) {
	row, ok := res.Row()
	if !ok {
		return
	}
	rec, err := DecodeRow(row)
	if err != nil {
		return
	}
	d.applyRecord(id, rec, row.Revision, state.Member{})
}

// applyRecord makes a newer version active and announces it. A version that is not newer
// changes nothing: this ensures that a daemon never goes back to an older version, whatever
// arrives late. from is the source: a peer, which is excluded from the announcement; this
// daemon if it accepted the edit; or the zero Member for the store.
func (d *Documents) applyRecord(id state.ServiceID, rec Record, revision uint64, from state.Member) {
	entry := d.active[id]
	if entry == nil {
		entry = &activeDocument{}
		d.active[id] = entry
	}
	if rec.Version <= entry.record.Version {
		if rec.Version == entry.record.Version && revision != 0 {
			entry.record = rec // the same document, now with its accepted edits
			entry.revision = revision
		}
		return
	}
	entry.patch = nil
	if entry.record.Version+1 == rec.Version {
		entry.patch = makePatch(entry.record.Version, entry.record.Text, rec.Text)
	}
	d.hash ^= versionHash(id, entry.record.Version) ^ versionHash(id, rec.Version)
	entry.record = rec
	entry.revision = revision
	d.appliedAt = d.now
	if d.missing[id] <= rec.Version {
		delete(d.missing, id)
	}
	d.actions = append(d.actions, Applied{Doc: rec.doc(id)})
	if d.ready {
		d.announce(id, entry, from)
	}
}

// versionHash is a service's contribution to the digest. Contributions are combined by XOR, so
// that a change recomputes one service only. Version 0 contributes nothing.
func versionHash(id state.ServiceID, v state.DocumentVersion) uint64 {
	if v == 0 {
		return 0
	}
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(v >> (8 * i))
	}
	var x xxhash.Digest
	x.Reset()
	_, _ = x.Write(buf[:])
	_, _ = x.WriteString(string(id))
	return x.Sum64()
}

func (d *Documents) jitter(t time.Duration) time.Duration {
	return t/2 + time.Duration(d.rng.Int64N(int64(t/2)+1))
}
