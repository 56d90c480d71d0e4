package claims

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config tunes the claims of a daemon.
type Config struct {
	// RetryMin and RetryMax bound the back-off between store calls that were
	// not answered; each wait is drawn from the upper half of the current one.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// SettleGrace is how long a claim that is given up waits for the store
	// before its caller is told VerdictUnsettled.
	SettleTimeout time.Duration

	// EndTries bounds the writes of a terminal outcome. Losing it costs a
	// later repeat a "duplicate" for an "unknown", never a second run.
	MaxOutcomeWrites int

	// ViaHome sends the first try of each write through the key's home.
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

// View is the daemon's belief about owners of claims. It may be wrong: it
// decides between joining and taking over, both of which are safe.
type OwnerView interface {
	// Owns reports whether rec.Owner is believed to live and to hold
	// rec.Request. For the daemon itself that is whether it keeps the Claim.
	Owns(rec Record) bool
}

// Request is one submission of a never-repeat request.
type Request struct {
	Key      Key
	Content  string // digest of everything that makes the work what it is
	ID       state.RequestID
	Owner    state.Member
	Nonce    state.Nonce // unique to this Claim, site-wide
	Deadline time.Time   // no Dispatch after it

	// OwnerNumber is the owner's part of an epoch; see state.Epoch.
	OwnerNumber uint32
}

type mode uint8

const (
	modeIdle     mode = iota // before Start
	modeWriting              // the store loop runs towards target
	modeAsking               // backend servers are being asked
	modeHeld                 // dispatched or continued
	modeJoined               // another owner runs it
	modeReleased             // over
)

type intent uint8

const (
	intentClaim    intent = iota // dispatch once target is confirmed
	intentTakeover               // ask the backend servers once target is confirmed
	intentVoid                   // refuse once target is confirmed
	intentEnd                    // release once target is confirmed
)

// Claim is the machine of one never-repeat request at one daemon. It belongs
// to one goroutine.
type Claim struct {
	cfg  Config
	rng  *rand.Rand
	view OwnerView
	req  Request

	mode   mode
	intent intent
	slot   Slot // in hand, for the next dispatch

	target      Record // the latest write of this claim
	base        uint64 // revision that target is conditioned on; 0: no row
	confirmed   Record // the last write known to have landed
	isConfirmed bool   // confirmed is set
	conflicted  bool   // a row stands that was not read yet
	checked     bool   // the row was seen
	clean       bool   // proof that no attempt under the key ran or will
	dispatched  bool   // this claim was given Dispatch or Continue
	continued   bool   // it was Continue: an earlier owner's attempt did run
	joined      Record // whose owner runs the work, in modeJoined

	call      store.CallID // outstanding, 0 for none
	lastCall  store.CallID
	callWrite bool   // the outstanding call is a write
	sentSeq   uint32 // the highest write that may have landed or may yet land
	sentPrev  uint32 // sentSeq before the outstanding write
	readNext  bool   // the loop's next call is a read
	direct    bool   // the key's home was tried in vain
	endTries  int

	backoff time.Duration
	wakeAt  time.Time // when the loop goes on, zero for not waiting

	gaveUpAt   time.Time // zero while wanted
	gaveUp     state.Reason
	unsettled  bool // VerdictUnsettled was told
	now        time.Time
	out        []Action
	askBackoff time.Duration
}

// New returns the claim of req. It does nothing before Start.
func New(cfg Config, rng *rand.Rand, view OwnerView, req Request) *Claim {
	return &Claim{cfg: cfg, rng: rng, view: view, req: req, clean: true}
}

// Key returns the key that the claim is for.
func (c *Claim) Key() Key {
	return c.req.Key
}

// Request returns the submission that the claim now serves.
func (c *Claim) Request() Request {
	return c.req
}

// Reusable reports whether a repeat of the key may be given to this claim by
// Reuse: it was given up, and its row is not known to be voided.
func (c *Claim) Reusable() bool {
	return c.mode == modeWriting && c.intent == intentVoid
}

// Released reports whether the claim is over.
func (c *Claim) Released() bool {
	return c.mode == modeReleased
}

// NextTick returns when the claim next wants a Tick, zero for never.
func (c *Claim) NextTick() time.Time {
	next := c.wakeAt
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

// Step applies one event and returns what is to be done, in order.
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
		c.answered(ev.Result)
	case Tick:
	case GiveUp:
		c.giveUp(ev)
	case Reuse:
		c.reuse(ev)
	case Redispatch:
		c.move(ev)
	case Ended:
		c.ended(ev)
	case Evidence:
		c.evidence(ev)
	case OwnerGone:
		c.ownerGone(ev)
	}
	c.timers()
	return c.out
}

func (c *Claim) start(slot Slot) {
	if c.mode != modeIdle {
		return
	}
	c.slot = slot
	c.aim(intentClaim, Record{
		Content: c.req.Content,
		Request: c.req.ID,
		Slot:    slot,
		Phase:   PhaseClaimed,
	}, 0)
}

// giveUp drops the work. Whether that is a refusal depends on what may stand
// in the store.
func (c *Claim) giveUp(ev GiveUp) {
	if !c.gaveUpAt.IsZero() || c.intent == intentEnd {
		return
	}
	if c.dispatched {
		if !ev.Proof.Valid() || c.continued {
			c.ended(Ended{Phase: PhaseUnknown})
			return
		}
		c.clean = true
	}
	c.gaveUpAt = c.now
	c.gaveUp = ev.Reason
	switch {
	case !c.clean:
		// A row of an owner that is gone is never voided without proof.
		c.finish(VerdictUnknown, c.target)
	case c.mode == modeJoined:
		c.release(false)
	case c.untouched():
		c.finish(VerdictNotRun, Record{})
	default:
		rec := c.target
		rec.Phase = PhaseVoided
		c.aim(intentVoid, rec, c.base)
	}
}

// untouched reports whether nothing of this claim can stand in the store and
// no other row is known to.
func (c *Claim) untouched() bool {
	return c.sentSeq == 0 && !c.conflicted && !c.isConfirmed
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

	// Where nothing after the confirmed claim left this daemon, it still
	// stands and needs no write: the only way to run while the store is down.
	if c.stands() && !c.dispatched && c.confirmed.Slot.Replica == ev.Slot.Replica {
		c.target = c.confirmed
		c.intent = intentClaim
		c.wakeAt = time.Time{}
		c.dispatch()
		return
	}
	rec := c.target
	rec.Phase = PhaseClaimed
	rec.Request = ev.Request
	rec.Slot = ev.Slot
	c.aim(intentClaim, rec, c.base)
}

// stands reports whether the row holds a claim of ours and no later write of
// ours may land.
func (c *Claim) stands() bool {
	return c.isConfirmed && c.confirmed.Phase == PhaseClaimed && c.sentSeq <= c.confirmed.Seq
}

func (c *Claim) move(ev Redispatch) {
	if c.mode != modeHeld || c.continued || !ev.Proof.Valid() {
		return
	}
	c.clean = true
	c.dispatched = false
	c.slot = ev.Slot
	rec := c.target
	rec.Slot = ev.Slot
	c.aim(intentClaim, rec, c.base)
}

func (c *Claim) ended(ev Ended) {
	if c.mode != modeHeld || !ev.Phase.Terminal() {
		return
	}
	c.end(ev)
}

func (c *Claim) end(ev Ended) {
	rec := c.target
	rec.Phase = ev.Phase
	rec.Digest = ev.Digest
	c.endTries = c.cfg.MaxOutcomeWrites
	c.aim(intentEnd, rec, c.base)
}
