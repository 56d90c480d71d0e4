package claims

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the settings of a daemon's claims.
type Config struct {
	// MinBackoff and MaxBackoff bound the backoff after store calls that were not
	// answered. Each delay is random, between half of the current backoff and all
	// of it.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// SettleTimeout is how long a claim that is given up waits for the store
	// before its caller gets VerdictUnsettled.
	SettleTimeout time.Duration

	// MaxOutcomeWrites bounds the attempts to write a terminal outcome. If all
	// fail, a later repeat gets "unknown" instead of "duplicate", but never a
	// second run.
	MaxOutcomeWrites int

	// ViaHome sends the first attempt of each write through the key's home.
	ViaHome bool
}

// DefaultConfig returns the values used by a daemon.
func DefaultConfig() Config {
	return Config{
		MinBackoff:       50 * time.Millisecond,
		MaxBackoff:       2 * time.Second,
		SettleTimeout:    250 * time.Millisecond,
		MaxOutcomeWrites: 4,
		ViaHome:          true,
	}
}

// OwnerView is the daemon's view of the owners of claims. It may be wrong: it
// only decides between joining and taking over, which are both safe.
type OwnerView interface {
	// Owns reports whether rec.Owner seems to be alive and to have rec.Request.
	// For the daemon itself that is whether it keeps the Claim.
	Owns(rec Record) bool
}

// Request is one submission of a request that must never be repeated.
type Request struct {
	Key      Key
	Content  string // digest of everything that defines the work
	ID       state.RequestID
	Owner    state.Member
	Nonce    state.Nonce // unique to this Claim, site-wide
	Deadline time.Time   // no Dispatch after it

	// OwnerNumber is the part of an epoch that identifies its owner; see
	// state.Epoch.
	OwnerNumber uint32
}

type mode uint8

const (
	modeIdle     mode = iota // before Start
	modeWriting              // target is being written
	modeQuerying             // backend servers are being queried
	modeOwned                // dispatched or continued
	modeJoined               // another owner runs the work
	modeReleased             // the claim has ended
)

// intent is what the claim does once target is confirmed.
type intent uint8

const (
	intentClaim    intent = iota // dispatch
	intentTakeover               // query the backend servers
	intentVoid                   // refuse
	intentOutcome                // release
)

// Claim is the state machine of one never-repeated request at one daemon. Only
// one goroutine may use it.
type Claim struct {
	cfg  Config
	rng  *rand.Rand
	view OwnerView
	req  Request

	mode   mode
	intent intent
	slot   Slot // reserved for the next dispatch

	target       Record // the latest write of this claim
	base         uint64 // revision that target's write is conditional on; 0 for no row
	confirmed    Record // the last write known to be committed
	isConfirmed  bool   // confirmed is set
	conflicted   bool   // there is a row that was not read yet
	keyChecked   bool   // the row was read
	notRunProven bool   // there is proof that no attempt under the key ran or will run
	dispatched   bool   // this claim has emitted Dispatch or Continue
	tookOver     bool   // it was Continue: an earlier owner's attempt ran
	joinedRecord Record // in modeJoined, the row of the owner that runs the work

	call         store.CallID // outstanding, 0 for none
	lastCall     store.CallID
	callIsWrite  bool   // the outstanding call is a write
	maxSentSeq   uint32 // the highest write that may be committed, now or later
	prevSentSeq  uint32 // maxSentSeq before the outstanding write
	readNext     bool   // the next store call is a read
	skipHome     bool   // a write through the key's home has failed
	outcomeTries int

	backoff time.Duration
	retryAt time.Time // when the next store call or query is due; zero if none is

	gaveUpAt     time.Time // zero if the claim was not given up
	giveUpReason state.Reason
	unsettled    bool // VerdictUnsettled was emitted
	now          time.Time
	out          []Action
	queryBackoff time.Duration
}

// New returns a claim for req. It does nothing before Start.
func New(cfg Config, rng *rand.Rand, view OwnerView, req Request) *Claim {
	return &Claim{cfg: cfg, rng: rng, view: view, req: req, notRunProven: true}
}

// Key returns the key of the claim.
func (c *Claim) Key() Key {
	return c.req.Key
}

// Request returns the submission that the claim currently serves.
func (c *Claim) Request() Request {
	return c.req
}

// Reusable reports whether a repeat of the key may be given to this claim by
// Reuse: it was given up, and its row is not known to be voided.
func (c *Claim) Reusable() bool {
	return c.mode == modeWriting && c.intent == intentVoid
}

// Released reports whether the claim has ended.
func (c *Claim) Released() bool {
	return c.mode == modeReleased
}

// NextTick returns when the next Tick is due, zero for never.
func (c *Claim) NextTick() time.Time {
	next := c.retryAt
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if c.awaitsDispatch() {
		earlier(c.req.Deadline)
	}
	if c.awaitsVerdict() {
		earlier(c.gaveUpAt.Add(c.cfg.SettleTimeout))
	}
	return next
}

// Step applies one event and returns the actions to carry out, in order.
func (c *Claim) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.out = nil
	if c.mode == modeReleased {
		return nil
	}
	switch ev := ev.(type) {
	case Start:
		c.start(ev.Slot)
	case StoreResult:
		c.storeResult(ev.Result)
	case Tick:
	case GiveUp:
		c.giveUp(ev)
	case Reuse:
		c.reuse(ev)
	case Redispatch:
		c.redispatch(ev)
	case Ended:
		c.ended(ev)
	case Evidence:
		c.evidence(ev)
	case OwnerGone:
		c.ownerGone(ev)
	}
	c.checkTimers()
	return c.out
}

func (c *Claim) start(slot Slot) {
	if c.mode != modeIdle {
		return
	}
	c.slot = slot
	c.startWrite(intentClaim, Record{
		Content: c.req.Content,
		Request: c.req.ID,
		Slot:    slot,
		Phase:   PhaseClaimed,
	}, 0)
}

// giveUp abandons the work. The verdict depends on what may be in the store.
func (c *Claim) giveUp(ev GiveUp) {
	if !c.gaveUpAt.IsZero() || c.intent == intentOutcome {
		return
	}
	if c.dispatched {
		if !ev.Proof.Valid() || c.tookOver {
			c.ended(Ended{Phase: PhaseUnknown})
			return
		}
		c.notRunProven = true
	}
	c.gaveUpAt = c.now
	c.giveUpReason = ev.Reason
	switch {
	case !c.notRunProven:
		// The row of an owner that is gone is never voided without proof.
		c.finish(VerdictUnknown, c.target)
	case c.mode == modeJoined:
		c.release(false)
	case c.leftNoTrace():
		c.finish(VerdictNotRun, Record{})
	default:
		rec := c.target
		rec.Phase = PhaseVoided
		c.startWrite(intentVoid, rec, c.base)
	}
}

// leftNoTrace reports whether no write of this claim can be in the store and no
// other row of the key is known.
func (c *Claim) leftNoTrace() bool {
	return c.maxSentSeq == 0 && !c.conflicted && !c.isConfirmed
}

func (c *Claim) reuse(ev Reuse) {
	if !c.Reusable() {
		return
	}
	c.req.ID = ev.Request
	c.req.Deadline = ev.Deadline
	c.slot = ev.Slot
	c.gaveUpAt = time.Time{}
	c.unsettled = false

	// If this daemon sent no write after the confirmed claim, that claim is still
	// valid and needs no further write. This is the only way to run the work while
	// the store is down.
	if c.claimStands() && !c.dispatched && c.confirmed.Slot.Replica == ev.Slot.Replica {
		c.target = c.confirmed
		c.intent = intentClaim
		c.retryAt = time.Time{}
		c.dispatch()
		return
	}
	rec := c.target
	rec.Phase = PhaseClaimed
	rec.Request = ev.Request
	rec.Slot = ev.Slot
	c.startWrite(intentClaim, rec, c.base)
}

// claimStands reports whether the row holds a claim of ours that no later write
// of ours can replace.
func (c *Claim) claimStands() bool {
	return c.isConfirmed && c.confirmed.Phase == PhaseClaimed && c.maxSentSeq <= c.confirmed.Seq
}

func (c *Claim) redispatch(ev Redispatch) {
	if c.mode != modeOwned || c.tookOver || !ev.Proof.Valid() {
		return
	}
	c.notRunProven = true
	c.dispatched = false
	c.slot = ev.Slot
	rec := c.target
	rec.Slot = ev.Slot
	c.startWrite(intentClaim, rec, c.base)
}

func (c *Claim) ended(ev Ended) {
	if c.mode != modeOwned || !ev.Phase.Terminal() {
		return
	}
	c.recordOutcome(ev)
}

func (c *Claim) recordOutcome(ev Ended) {
	rec := c.target
	rec.Phase = ev.Phase
	rec.Digest = ev.Digest
	c.outcomeTries = c.cfg.MaxOutcomeWrites
	c.startWrite(intentOutcome, rec, c.base)
}
