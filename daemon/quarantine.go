package daemon

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// quarantinePart keeps content that crashes backend servers from crashing many.
// Every attempt passes it before it asks for a slot.
type quarantinePart struct {
	c       *control
	m       *quarantine.Quarantine
	last    uint64
	waiting map[uint64]quarantineWait
	runs    map[*runner]quarantineRun
	dead    map[state.BackendID]string // the last life that was reported dead

	// positions are, by content, the most tokens that an answer had when its
	// server died.
	positions *lru.Cache[quarantine.Fingerprint, int]
}

// quarantineWait is an attempt that waits for permission to run.
type quarantineWait struct {
	r   *runner
	ask request.AcquireSlot
}

// quarantineRun is an attempt that has permission; run is 0 until it has a slot.
//
// A suspect is cleared as soon as it has come further than it was at the death that
// implicated it: its content has then been through what may have ended the server,
// and the replica may begin others. So the many innocents of an ordinary death
// are back within a few steps each. Where its place at the death is not known
// here, only its whole answer clears it.
type quarantineRun struct {
	run     quarantine.RunID
	turn    uint64
	attempt state.Attempt
}

// maxPositions bounds the contents whose place at a death is remembered.
const maxPositions = 4096

func newQuarantinePart(c *control) *quarantinePart {
	positions, err := lru.New[quarantine.Fingerprint, int](maxPositions)
	if err != nil {
		panic(err) // only a size below 1
	}
	return &quarantinePart{
		positions: positions,

		c:       c,
		m:       quarantine.New(quarantine.Config{Self: c.d.self}, c.now, c.rng),
		waiting: make(map[uint64]quarantineWait),
		runs:    make(map[*runner]quarantineRun),
		dead:    make(map[state.BackendID]string),
	}
}

func (p *quarantinePart) nextTick(time.Time) time.Time { return p.m.NextTick() }
func (p *quarantinePart) tick(time.Time)               { p.step(quarantine.Tick{}) }

func (p *quarantinePart) step(ev quarantine.Event) {
	for _, a := range p.m.Step(p.c.now, ev) {
		p.carryOut(a)
	}
}

func (p *quarantinePart) carryOut(a quarantine.Action) {
	switch a := a.(type) {
	case quarantine.Allow:
		p.allowed(a)
	case quarantine.Refuse:
		p.refused(a)
	case quarantine.Send:
		p.c.d.send(p.c.members.address(a.To), a.Msg)
	case quarantine.CallStore:
		p.c.store.do(a.Call, func(res store.Result) { p.step(quarantine.StoreResult{Result: res}) })
	case quarantine.Quarantined:
		p.c.d.log.Emit(telemetry.EventRequestQuarantined, telemetry.Detail(a.Fingerprint.String()))
	case quarantine.DeathPropagated:
		// Answers are not held back for it: a request that was given up gets
		// its final answer at once. docs/design/quarantine.md has the bound.
	}
}

// fingerprint names what a request makes a backend server do.
func (p *quarantinePart) fingerprint(r *runner) quarantine.Fingerprint {
	var model, version string
	if v, ok := p.c.documents.inForce[r.spec.Service]; ok && v.Document.Model != nil {
		model, version = v.Document.Model.Name, v.Document.Model.Version
	}
	return quarantine.FingerprintOf(r.spec.Service, model, version, r.spec.Prompt)
}

// ask lets an attempt ask for its slot once its content may run.
func (p *quarantinePart) ask(r *runner, a request.AcquireSlot) {
	p.last++
	p.waiting[p.last] = quarantineWait{r: r, ask: a}
	p.step(quarantine.RunRequested{Call: p.last, Fingerprint: p.fingerprint(r)})
}

func (p *quarantinePart) allowed(a quarantine.Allow) {
	w, ok := p.waiting[a.Call]
	if !ok {
		p.step(quarantine.RunEnded{Lock: a.Lock, Result: quarantine.RunStopped})
		return
	}
	delete(p.waiting, a.Call)
	if a.Exclusive {
		p.c.d.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(w.r.spec.ID))
	}
	p.runs[w.r] = quarantineRun{turn: a.Lock, attempt: w.ask.Attempt}
	w.r.suspect.Store(a.Exclusive)
	p.c.slots.ask(w.r, w.ask, a.Exclusive)
}

func (p *quarantinePart) refused(a quarantine.Refuse) {
	w, ok := p.waiting[a.Call]
	if !ok {
		return
	}
	delete(p.waiting, a.Call)
	go w.r.post(request.SlotRefused{
		Reason:     state.ReasonQuarantined,
		RetryAfter: secondsOf(a.Until.Sub(p.c.now)),
	})
}

// stop ends an attempt that has no slot yet.
func (p *quarantinePart) stop(r *runner, attempt state.Attempt) {
	for call, w := range p.waiting {
		if w.r == r {
			delete(p.waiting, call)
			p.step(quarantine.Cancel{Call: call})
			return
		}
	}
	p.c.slots.stop(r, attempt)
	p.ended(r, quarantine.RunStopped)
}

// began notes, before anything is sent, that an attempt runs on a replica.
func (p *quarantinePart) began(r *runner, replica state.ReplicaID) {
	run, ok := p.runs[r]
	if !ok {
		return // a continued attempt of a daemon that is gone
	}
	p.last++
	run.run = quarantine.RunID(p.last)
	p.runs[r] = run
	p.step(quarantine.RunStarted{Run: run.run, Fingerprint: p.fingerprint(r), Replica: replica, Lock: run.turn})
}

// stopped remembers how far a request was when a server of its died.
func (p *quarantinePart) stopped(r *runner, tokens int) {
	fp := p.fingerprint(r)
	if old, ok := p.positions.Get(fp); !ok || old < tokens {
		p.positions.Add(fp, tokens)
	}
}

// made notes that a suspect's run made the token of that index.
func (p *quarantinePart) made(r *runner, index int) {
	run, ok := p.runs[r]
	if !ok || !r.suspect.Load() {
		return
	}
	if at, known := p.positions.Get(p.fingerprint(r)); known && index >= at {
		p.c.slots.passed(r, run.attempt)
		p.ended(r, quarantine.RunCompleted)
	}
}

// ended notes that an attempt is over.
func (p *quarantinePart) ended(r *runner, how quarantine.RunResult) {
	run, ok := p.runs[r]
	if !ok {
		return
	}
	delete(p.runs, r)
	r.suspect.Store(false)
	if run.run != 0 || run.turn != 0 {
		p.step(quarantine.RunEnded{Run: run.run, Lock: run.turn, Result: how})
	}
}

// died reports a backend server's death, once for each life of its process, and
// before the runs that it ended are reported as over.
func (p *quarantinePart) died(replica state.Replica, stage int) {
	s := replica.Stages[stage]
	if last, ok := p.dead[s.Backend]; ok && last == s.BootID {
		return
	}
	p.dead[s.Backend] = s.BootID
	p.c.d.log.Emit(telemetry.EventBackendDied, telemetry.Backend(s.Backend), telemetry.Replica(replica.ID))
	p.step(quarantine.BackendDied{Replica: replica.ID, Domain: replica.FailureDomain})
}

func (p *quarantinePart) membersChanged(live []membership.Info) {
	p.step(quarantine.ViewChanged{Live: lo.Map(live, func(i membership.Info, _ int) state.Member { return i.Member })})
}

// howEnded says how an attempt ended, for the quarantine. One that failed with the
// replica's fate unknown counts as lost. Where the replica is known to have died,
// that was reported before; where it lives, the content did it no harm.
func howEnded(a request.ReleaseSlot, completed, fateUnknown bool) quarantine.RunResult {
	switch {
	case completed:
		return quarantine.RunCompleted
	case a.Failed && fateUnknown:
		return quarantine.RunLost
	default:
		return quarantine.RunStopped
	}
}
