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

// quarantineComponent limits how many backend servers a content can crash.
// Every attempt needs its permission before it requests a slot.
type quarantineComponent struct {
	c            *control
	machine      *quarantine.Quarantine
	lastID       uint64
	waiting      map[uint64]quarantineRequest
	runs         map[*runner]quarantineRun
	reportedDead map[state.BackendID]string // boot ID last reported dead
	unreachable  map[state.BackendID]string // boot ID last reported unreachable

	// positions holds, by content, the most tokens that an answer had when its
	// server died.
	positions *lru.Cache[quarantine.Fingerprint, int]
}

// quarantineRequest is an attempt that waits for permission to run.
type quarantineRequest struct {
	r           *runner
	slotRequest request.AcquireSlot
}

// quarantineRun is an attempt that has permission; id is 0 until it has a slot.
//
// A suspect is cleared as soon as its answer is longer than it was at the death
// that implicated it: its content has then passed the point that may have
// crashed the server, and the replica may start other requests. The many
// requests that an ordinary death implicates are therefore cleared within a few
// steps each. Where the position at the death is not known, only a complete
// answer clears the suspect.
type quarantineRun struct {
	id      quarantine.RunID
	lock    uint64
	attempt state.Attempt
}

// maxPositions bounds the number of contents whose position at a death is kept.
const maxPositions = 4096

func newQuarantineComponent(c *control) *quarantineComponent {
	positions, err := lru.New[quarantine.Fingerprint, int](maxPositions)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &quarantineComponent{
		positions: positions,

		c:            c,
		machine:      quarantine.New(quarantine.Config{Self: c.d.self}, c.now, c.rng),
		waiting:      make(map[uint64]quarantineRequest),
		runs:         make(map[*runner]quarantineRun),
		reportedDead: make(map[state.BackendID]string),
		unreachable:  make(map[state.BackendID]string),
	}
}

func (qc *quarantineComponent) nextTick(time.Time) time.Time { return qc.machine.NextTick() }
func (qc *quarantineComponent) tick(time.Time)               { qc.step(quarantine.Tick{}) }

func (qc *quarantineComponent) step(ev quarantine.Event) {
	for _, a := range qc.machine.Step(qc.c.now, ev) {
		qc.carryOut(a)
	}
}

func (qc *quarantineComponent) carryOut(a quarantine.Action) {
	switch a := a.(type) {
	case quarantine.Allow:
		qc.handleAllowed(a)
	case quarantine.Refuse:
		qc.handleRefused(a)
	case quarantine.Send:
		qc.c.d.send(qc.c.members.address(a.To), a.Msg)
	case quarantine.CallStore:
		qc.c.store.do(a.Call, func(res store.Result) { qc.step(quarantine.StoreResult{Result: res}) })
	case quarantine.Quarantined:
		qc.c.d.log.Emit(telemetry.EventRequestQuarantined, telemetry.Detail(a.Fingerprint.String()))
	case quarantine.DeathPropagated:
		// Answers are not delayed for it: a request that was given up gets its
		// final answer immediately. docs/design/quarantine.md states the bound.
	}
}

// fingerprint identifies the work that a request causes at a backend server.
func (qc *quarantineComponent) fingerprint(r *runner) quarantine.Fingerprint {
	var model, version string
	if v, ok := qc.c.documents.active[r.spec.Service]; ok && v.Document.Model != nil {
		model, version = v.Document.Model.Name, v.Document.Model.Version
	}
	return quarantine.FingerprintOf(r.spec.Service, model, version, r.spec.Prompt)
}

// requestRun lets an attempt request its slot once its content may run.
func (qc *quarantineComponent) requestRun(r *runner, a request.AcquireSlot) {
	qc.lastID++
	qc.waiting[qc.lastID] = quarantineRequest{r: r, slotRequest: a}
	qc.step(quarantine.RunRequested{Call: qc.lastID, Fingerprint: qc.fingerprint(r)})
}

func (qc *quarantineComponent) handleAllowed(a quarantine.Allow) {
	w, ok := qc.waiting[a.Call]
	if !ok {
		qc.step(quarantine.RunEnded{Lock: a.Lock, Result: quarantine.RunStopped})
		return
	}
	delete(qc.waiting, a.Call)
	if a.Exclusive {
		qc.c.d.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(w.r.spec.ID))
	}
	qc.runs[w.r] = quarantineRun{lock: a.Lock, attempt: w.slotRequest.Attempt}
	w.r.suspect.Store(a.Exclusive)
	qc.c.slots.acquire(w.r, w.slotRequest, a.Exclusive)
}

func (qc *quarantineComponent) handleRefused(a quarantine.Refuse) {
	w, ok := qc.waiting[a.Call]
	if !ok {
		return
	}
	delete(qc.waiting, a.Call)
	go w.r.post(request.SlotRefused{
		Reason:     state.ReasonQuarantined,
		RetryAfter: ceilSeconds(a.Until.Sub(qc.c.now)),
	})
}

// cancel ends an attempt that has no slot yet.
func (qc *quarantineComponent) cancel(r *runner, attempt state.Attempt) {
	for call, w := range qc.waiting {
		if w.r == r {
			delete(qc.waiting, call)
			qc.step(quarantine.Cancel{Call: call})
			return
		}
	}
	qc.c.slots.cancel(r, attempt)
	qc.runEnded(r, quarantine.RunStopped)
}

// runStarted records that an attempt runs on a replica. It is called before
// anything is sent to that replica.
func (qc *quarantineComponent) runStarted(r *runner, replica state.ReplicaID) {
	run, ok := qc.runs[r]
	if !ok {
		return // continues an attempt of a daemon that is gone
	}
	qc.lastID++
	run.id = quarantine.RunID(qc.lastID)
	qc.runs[r] = run
	qc.step(quarantine.RunStarted{Run: run.id, Fingerprint: qc.fingerprint(r), Replica: replica, Lock: run.lock})
}

// recordPosition records the length of a request's answer when its server died.
func (qc *quarantineComponent) recordPosition(r *runner, tokens int) {
	fp := qc.fingerprint(r)
	if old, ok := qc.positions.Get(fp); !ok || old < tokens {
		qc.positions.Add(fp, tokens)
	}
}

// tokenEmitted records that the run of a suspect, a request whose content was
// implicated in a server's death, produced the token of that index. The exclusive phase
// ends when the answer is longer than the one recorded in positions; see quarantineRun.
func (qc *quarantineComponent) tokenEmitted(r *runner, index int) {
	run, ok := qc.runs[r]
	if !ok || !r.suspect.Load() {
		return
	}
	if at, known := qc.positions.Get(qc.fingerprint(r)); known && index >= at {
		qc.c.slots.exclusiveEnded(r, run.attempt)
		qc.runEnded(r, quarantine.RunCompleted)
	}
}

// runEnded records that an attempt has ended.
func (qc *quarantineComponent) runEnded(r *runner, result quarantine.RunResult) {
	run, ok := qc.runs[r]
	if !ok {
		return
	}
	delete(qc.runs, r)
	r.suspect.Store(false)
	if run.id != 0 || run.lock != 0 {
		qc.step(quarantine.RunEnded{Run: run.id, Lock: run.lock, Result: result})
	}
}

// reportDeath reports a backend server's death, once per boot ID and before the
// runs that it ended are reported as ended.
func (qc *quarantineComponent) reportDeath(replica state.Replica, stage int) {
	s := replica.Stages[stage]
	if last, ok := qc.reportedDead[s.Backend]; ok && last == s.BootID {
		return
	}
	qc.reportedDead[s.Backend] = s.BootID
	qc.c.deaths.logDeath(s.Backend, telemetry.Replica(replica.ID))
	qc.step(quarantine.BackendDied{Replica: replica.ID, Domain: replica.FailureDomain})
}

// reportUnreachable logs that a backend server can't be reached, once per boot ID. No
// content is implicated.
func (qc *quarantineComponent) reportUnreachable(replica state.Replica, stage int) {
	s := replica.Stages[stage]
	if last, ok := qc.unreachable[s.Backend]; ok && last == s.BootID {
		return
	}
	qc.unreachable[s.Backend] = s.BootID
	qc.c.deaths.logDeath(s.Backend, telemetry.Replica(replica.ID))
}

func (qc *quarantineComponent) membersChanged(live []membership.Info) {
	qc.step(quarantine.ViewChanged{Live: lo.Map(live, func(i membership.Info, _ int) state.Member { return i.Member })})
}

// runResult returns the result of an attempt for the quarantine. A failed
// attempt counts as lost if it is unknown whether the backend server lives. If
// the server is known to have died, that was reported before; if it lives, the
// content did not crash it.
func runResult(a request.ReleaseSlot, completed, backendStateUnknown bool) quarantine.RunResult {
	switch {
	case completed:
		return quarantine.RunCompleted
	case a.Failed && backendStateUnknown:
		return quarantine.RunLost
	default:
		return quarantine.RunStopped
	}
}
