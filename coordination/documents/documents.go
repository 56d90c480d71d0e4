package documents

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config tunes the machine.
type Config struct {
	// PollEvery and PollPerMember give the time between polls of the store:
	// the larger of PollEvery and PollPerMember times the live daemons, so that
	// the site's polls stay under 1/PollPerMember a second at any size. A
	// daemon without the greater part of its peers polls every PollEvery.
	PollInterval          time.Duration
	PollIntervalPerMember time.Duration

	// FirstFanout is how many daemons the one that accepted an edit tells of
	// it, Fanout how many each other one that adopts it.
	OriginFanout int
	Fanout       int

	// CompareEvery bounds how often differing digests lead to a comparison.
	// None starts within Quiet of an adoption, whose gossip may still be on
	// its way; a longer Quiet would put comparisons off for ever while edits
	// come quickly.
	CompareInterval time.Duration
	QuietPeriod     time.Duration

	MinBackoff time.Duration // back-off of store calls
	MaxBackoff time.Duration

	// IsolateAfter is how long the daemon may be without both the store and
	// the greater part of its peers before it is isolated.
	IsolateAfter time.Duration

	// BootPeers is how many peers must tell what they have before a daemon
	// that can't reach the store is ready.
	BootstrapPeers int

	MaxDocsBytes int // of texts in one message
}

// DefaultConfig returns the values used by a daemon.
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

// pending is what a store call is for. edit is nil for the machine's own reads.
type pending struct {
	kind    callKind
	service state.ServiceID
	edit    *edit
}

// held is a document in force.
type held struct {
	record   Record
	revision uint64 // of its row, 0 where it came from a peer
	patch    *Patch // from the version before, nil where unknown or large
}

// Documents is the machine of one daemon. It belongs to the control goroutine.
type Documents struct {
	cfg  Config
	rng  *rand.Rand
	self state.Member

	services map[state.ServiceID]*held
	wanted   map[state.ServiceID]state.DocumentVersion // heard of, not held yet
	hash     uint64
	edits    []*edit

	calls    map[store.CallID]pending
	lastCall store.CallID

	live  []state.Member
	known int

	pollAt    time.Time
	polling   bool
	adoptedAt time.Time
	comparing time.Time // the last comparison
	pulledAt  time.Time

	ready     bool
	told      map[state.DaemonID]bool // ready peers that told their versions
	askedAt   time.Time               // the last round of questions before ready
	scannedOK bool                    // the store told all versions once
	storeAt   time.Time               // the store last answered
	majorAt   time.Time               // the greater part of the daemons was last in reach
	isolated  bool
	storeDown bool // the last poll was not answered

	now time.Time
	out []Action
}

// New returns the machine of a daemon that knows nothing yet.
func New(cfg Config, rng *rand.Rand, self state.Member, now time.Time) *Documents {
	return &Documents{
		cfg:      cfg,
		rng:      rng,
		self:     self,
		services: make(map[state.ServiceID]*held),
		wanted:   make(map[state.ServiceID]state.DocumentVersion),
		calls:    make(map[store.CallID]pending),
		told:     make(map[state.DaemonID]bool),
		known:    1,
		pollAt:   now,
	}
}

// Digest returns what to send with heartbeats.
func (d *Documents) Digest() Digest {
	return Digest{Hash: d.hash}
}

// Ready reports whether the daemon has known the current documents once.
func (d *Documents) Ready() bool {
	return d.ready
}

// Isolated reports whether the daemon can't know that its documents are current.
func (d *Documents) Isolated() bool {
	return d.isolated
}

// FreshUntil is when the daemon becomes isolated unless it hears more. Traffic
// checks it against its own clock, so that a daemon that was paused takes no
// work before its control goroutine has noticed.
func (d *Documents) FreshUntil() time.Time {
	last := d.storeAt
	if d.majorAt.After(last) {
		last = d.majorAt
	}
	return last.Add(d.cfg.IsolateAfter)
}

// InForce returns the versions in force here.
func (d *Documents) ActiveVersions() map[state.ServiceID]state.DocumentVersion {
	m := make(map[state.ServiceID]state.DocumentVersion, len(d.services))
	for id, h := range d.services {
		m[id] = h.record.Version
	}
	return m
}

// Doc returns the document in force of a service.
func (d *Documents) Doc(id state.ServiceID) (Doc, bool) {
	h := d.services[id]
	if h == nil {
		return Doc{}, false
	}
	return h.record.doc(id), true
}

// NextTick returns when the machine next wants a Tick.
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
		earlier(d.pollAt)
	}
	for _, e := range d.edits {
		earlier(e.Deadline)
		earlier(e.wakeAt)
	}
	if !d.ready && len(d.live) > 0 {
		earlier(d.askedAt.Add(bootAskEvery))
	}
	if len(d.wanted) > 0 {
		earlier(d.pulledAt.Add(d.cfg.CompareInterval))
	}
	return next
}

// Step applies one event and returns what is to be done, in order.
func (d *Documents) Step(now time.Time, ev Event) []Action {
	d.now = now
	d.out = nil
	switch ev := ev.(type) {
	case SubmitEdit:
		d.apply(ev)
	case StoreResult:
		d.answered(ev.Result)
	case Received:
		d.received(ev.From, ev.Msg)
	case Members:
		d.reach(ev)
	case Tick:
	}
	d.tickEdits()
	d.poll()
	d.boot()
	d.repull()
	d.checkIsolation()
	return d.out
}

func (d *Documents) call(req store.Request, p pending) {
	d.lastCall++
	d.calls[d.lastCall] = p
	d.out = append(d.out, CallStore{Call: store.Call{ID: d.lastCall, Class: store.ClassDocument, Request: req}})
}

func (d *Documents) get(id state.ServiceID, e *edit) {
	d.call(store.Get{Table: Table, Key: string(id)}, pending{kind: callGet, service: id, edit: e})
}

func (d *Documents) answered(res store.Result) {
	p, ok := d.calls[res.Call]
	if !ok {
		return
	}
	delete(d.calls, res.Call)
	if p.kind == callCommit {
		d.committed(p.edit, res)
		return
	}
	if p.kind == callScan {
		d.scanned(res)
		return
	}
	if res.Status == store.Done {
		d.heardStore()
		d.sawRow(p.service, res)
	}
	if p.edit != nil && slices.Contains(d.edits, p.edit) {
		d.editRead(p.edit, res)
	}
}

// sawRow adopts a document row that is newer than what is held.
func (d *Documents) sawRow(id state.ServiceID, res store.Result) {
	row, ok := res.Row()
	if !ok {
		return
	}
	rec, err := DecodeRow(row)
	if err != nil {
		return
	}
	d.adopt(id, rec, row.Revision, state.Member{})
}

// adopt puts a newer version into force and tells others of it. A version that
// is not newer changes nothing: this is what keeps a daemon from ever going
// back, whatever comes late and from wherever. from is the daemon that it came
// from: a peer, which is not told again; this one, which accepted it; or none
// where it was read from the store.
func (d *Documents) adopt(id state.ServiceID, rec Record, revision uint64, from state.Member) {
	h := d.services[id]
	if h == nil {
		h = &held{}
		d.services[id] = h
	}
	if rec.Version <= h.record.Version {
		if rec.Version == h.record.Version && revision != 0 {
			h.record = rec // the same document, now with its marks
			h.revision = revision
		}
		return
	}
	h.patch = nil
	if h.record.Version+1 == rec.Version {
		h.patch = makePatch(h.record.Version, h.record.Text, rec.Text)
	}
	d.hash ^= versionHash(id, h.record.Version) ^ versionHash(id, rec.Version)
	h.record = rec
	h.revision = revision
	d.adoptedAt = d.now
	if d.wanted[id] <= rec.Version {
		delete(d.wanted, id)
	}
	d.out = append(d.out, Applied{Doc: rec.doc(id)})
	if d.ready {
		d.announce(id, h, from)
	}
}

// versionHash is a service's part of the digest: the parts are combined by XOR,
// so that a change costs one service. Version 0 has no part.
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
