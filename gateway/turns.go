package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// turnPollInterval is how often a request that waits for its turn asks again.
	turnPollInterval = 40 * time.Millisecond
	// turnCallTimeout is how long the owner of a content may take to answer: several round trips.
	turnCallTimeout = 100 * time.Millisecond
)

// reasonTurn is the reason for refusing requests whose content or part has ended a server, and is
// being run by another request.
const reasonTurn relay.Reason = "suspect_running"

// turnState is a request's turns to run its content and the parts of its prompt.
type turnState struct {
	number  uint64    // of the request among those of this daemon that have asked; 0 if it has not
	askedAt time.Time // when the owner was last asked
	waited  bool      // the wait for a turn has been logged

	mu   sync.Mutex // a stream's server may be found to have ended by other goroutines
	held []heldTurn
}

// heldTurn is a turn that a request holds.
type heldTurn struct {
	of    crashes.Fingerprint
	owner string // address of the daemon that has granted it; empty for this one
}

// holds reports whether the request holds all of some turns.
func (t *turnState) holds(turns []crashes.Fingerprint) bool {
	return len(t.heldOf(turns)) == len(turns)
}

// heldOf returns those of some turns that the request holds.
func (t *turnState) heldOf(turns []crashes.Fingerprint) []crashes.Fingerprint {
	if len(turns) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []crashes.Fingerprint
	for _, fp := range turns {
		if slices.ContainsFunc(t.held, func(h heldTurn) bool { return h.of == fp }) {
			out = append(out, fp)
		}
	}
	return out
}

func (t *turnState) add(h heldTurn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = append(t.held, h)
}

// takeAll returns the turns that the request holds, and leaves it none.
func (t *turnState) takeAll() []heldTurn {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.held
	t.held = nil
	return held
}

// checkContent waits until it is decided whether the request's content may be sent to a server. It
// returns false with the result of the request if the content or a part may not.
func (r *requestHandler) checkContent(ctx context.Context) (Result, bool) {
	for {
		now := time.Now()
		verdict := r.judge(now)
		switch {
		case verdict.blocked:
			return r.blockedResult(verdict), false
		case r.triedParts.Load() && len(verdict.turns) > 0:
			return r.failedResult(reasonPart), false // one server a request is enough to learn of its parts
		case verdict.settlesAt.IsZero() || ctx.Err() != nil:
			return Result{}, true
		}
		sleep(ctx, verdict.settlesAt.Sub(now))
	}
}

// chooseWithTurns chooses a server if the request has the turns that it needs, or gets them once the
// server is chosen: a request that waits for a server holds none. release undoes the choice.
func (r *requestHandler) chooseWithTurns(ctx context.Context, choose func() bool, release func()) bool {
	now := time.Now()
	r.verdict = r.judge(now)
	waits := !r.turn.holds(r.verdict.turns) && now.Sub(r.turn.askedAt) < turnPollInterval
	if r.verdict.blocked || !r.verdict.settlesAt.IsZero() || waits || !choose() {
		return false
	}
	if r.turn.holds(r.verdict.turns) {
		return true
	}
	r.turn.askedAt = now
	if r.takeTurns(ctx, r.verdict.turns) {
		return true
	}
	r.logTurnTaken(r.verdict.turns)
	release()
	r.endAssignment(false)
	return false
}

// notChosenResult is the result of a request that has not got a server in the time that it may wait,
// or a server but not its turn.
func (r *requestHandler) notChosenResult(why admission.Refusal) (relay.Outcome, Result) {
	if allowed, stopping := r.stopAllows(time.Now()); !allowed {
		return 0, r.stoppingResult(stopping)
	}
	switch {
	case r.verdict.blocked:
		return 0, r.blockedResult(r.verdict)
	case r.search.admission.turnedAway():
		return 0, r.overloadResult()
	case !r.turn.holds(r.verdict.turns):
		return 0, r.turnTakenResult()
	default:
		return r.noServerResult(why)
	}
}

// blockedResult is the result of a request that may not be sent to any server.
func (r *requestHandler) blockedResult(verdict requestVerdict) Result {
	if verdict.part != 0 {
		return r.refusedPartResult(verdict)
	}
	r.g.log.Emit(telemetry.EventRequestQuarantined, telemetry.Request(r.req.ID), telemetry.Content(uint64(r.fingerprint())))
	return r.failedResult(reasonCrashes)
}

// turnTakenResult is the result of a request that has not got its turn in time.
func (r *requestHandler) turnTakenResult() Result {
	if r.retrier.NeverRan() && !r.headSent {
		return refusedResult(reasonTurn, admission.Busy)
	}
	return r.failedResult(reasonTurn)
}

func (r *requestHandler) logTurnTaken(turns []crashes.Fingerprint) {
	if r.turn.waited {
		return
	}
	r.turn.waited = true
	r.g.log.Emit(telemetry.EventTurnAwaited, telemetry.Request(r.req.ID), telemetry.Content(uint64(turns[0])))
}

// takeTurns asks for the turns that the request does not hold and reports whether it has got all of
// them. If it has not, it holds none, so that it does not keep others waiting.
func (r *requestHandler) takeTurns(ctx context.Context, turns []crashes.Fingerprint) bool {
	if r.turn.number == 0 {
		r.turn.number = r.g.lastTurn.Add(1)
	}
	for _, fp := range turns {
		if r.turn.holds([]crashes.Fingerprint{fp}) {
			continue
		}
		owner, granted := r.takeTurn(ctx, fp)
		if !granted {
			r.releaseTurns(false)
			return false
		}
		r.turn.add(heldTurn{of: fp, owner: owner})
	}
	return true
}

// takeTurn asks for one turn. It returns the address of the daemon that granted it. If the owner
// does not answer, this daemon grants it.
func (r *requestHandler) takeTurn(ctx context.Context, fp crashes.Fingerprint) (owner string, granted bool) {
	if owner = r.g.turnOwner(fp); owner != "" {
		if granted, ok := r.askForTurn(ctx, owner, fp); ok {
			return owner, granted
		}
	}
	return "", r.g.shared.takeTurn(time.Now(), fp, crashes.TurnHolder{Daemon: r.g.self.ID, Number: r.turn.number})
}

// askForTurn asks another daemon for the turn. It returns false as ok if there is no answer.
func (r *requestHandler) askForTurn(ctx context.Context, owner string, fp crashes.Fingerprint) (granted, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, turnCallTimeout)
	defer cancel()
	req := crashes.TurnRequest{Content: fp, Number: r.turn.number, Ends: r.g.shared.endCount(fp)}
	answer, err := r.g.node.Call(ctx, owner, req)
	if err != nil {
		return false, false
	}
	resp, ok := answer.Msg.(crashes.TurnResponse)
	r.g.applyEnds(time.Now(), resp.Ends)
	return resp.Granted, ok
}

// turnOwner returns the peer address of the daemon that owns a content or part, or "" for this one.
func (g *Gateway) turnOwner(fp crashes.Fingerprint) string {
	var owners []state.DaemonID
	addresses := make(map[state.DaemonID]string)
	for _, i := range g.currentView.Load().members.Members {
		if i.Live() && !i.Draining {
			owners = append(owners, i.Member.ID)
			addresses[i.Member.ID] = i.Meta.PeerAddress
		}
	}
	owner, ok := rendezvous.Owner(strconv.FormatUint(uint64(fp), 16), owners)
	if !ok || owner == g.self.ID {
		return ""
	}
	return addresses[owner]
}

// releaseTurns ends the request's turns. answered is set if an answer goes on long after it began, or
// is complete.
func (r *requestHandler) releaseTurns(answered bool) {
	for _, h := range r.turn.takeAll() {
		release := r.g.shared.turnRelease(time.Now(), h.of)
		release.Number, release.Answered = r.turn.number, answered
		if h.owner == "" {
			r.g.endTurn(time.Now(), r.g.self.ID, release)
			continue
		}
		_ = r.g.node.Send(h.owner, release) // the turn expires if the message is lost
	}
}

// endTurn ends a turn of a daemon's request, or applies the ends that it tells the owner of.
func (g *Gateway) endTurn(now time.Time, from state.DaemonID, m crashes.TurnRelease) {
	g.applyEnds(now, m.Ends)
	g.tellIfBlocked(now, m.Content)
	for _, notice := range m.Parts {
		g.applyParts(now, notice)
	}
	if m.Answered {
		g.tellAnswered(g.shared.partsAnswered(now, []crashes.Fingerprint{m.Content}))
	}
	g.shared.releaseTurn(m.Content, crashes.TurnHolder{Daemon: from, Number: m.Number})
}

func (s *sharedState) takeTurn(now time.Time, fp crashes.Fingerprint, holder crashes.TurnHolder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Take(now, fp, holder)
}

func (s *sharedState) releaseTurn(fp crashes.Fingerprint, holder crashes.TurnHolder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.Release(fp, holder)
}

// turnRelease returns the message that ends a turn, with the ends that are known here.
func (s *sharedState) turnRelease(now time.Time, fp crashes.Fingerprint) crashes.TurnRelease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return crashes.TurnRelease{Content: fp, Ends: s.crashes.NoticesOf(now, fp), Parts: s.parts.NoticesOf(now, fp)}
}

// grantTurn answers another daemon that asks for a turn.
func (s *sharedState) grantTurn(now time.Time, from state.DaemonID, req crashes.TurnRequest) crashes.TurnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var resp crashes.TurnResponse
	if s.crashes.EndCount(req.Content) > req.Ends {
		resp.Ends = s.crashes.NoticesOf(now, req.Content)
	}
	if s.parts.AnsweredRecently(now, req.Content) {
		resp.Granted = true
		return resp
	}
	verdict := s.crashes.Judge(now, req.Content)
	if !verdict.Blocked && verdict.SettlesAt.IsZero() && !s.parts.Judge(now, req.Content).Blocked {
		resp.Granted = s.turns.Take(now, req.Content, crashes.TurnHolder{Daemon: from, Number: req.Number})
	}
	return resp
}

func (s *sharedState) endCount(fp crashes.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.EndCount(fp)
}
