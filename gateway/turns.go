package gateway

import (
	"context"
	"strconv"
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

// reasonTurn is the reason for refusing requests whose content has ended a server, and is being run
// by another request.
const reasonTurn relay.Reason = "suspect_running"

// turnState is a request's turn to run its content.
type turnState struct {
	holder crashes.TurnHolder
	owner  string // address of the daemon that has granted the turn; empty for this one
	held   bool
	waited bool // the wait for a turn has been logged
}

// checkContent waits until the request's content may be sent to a server. It returns false with the
// result of the request if it may not.
func (r *requestHandler) checkContent(ctx context.Context) (Result, bool) {
	waiting := admission.WaitingRequest{Arrived: r.req.Arrived, Deadline: r.deadline}
	if r.headSent {
		waiting.LastEvent = r.gaps.lastEvent
	}
	for {
		now := time.Now()
		verdict := r.g.shared.judge(now, r.fingerprint)
		switch {
		case verdict.Blocked:
			r.g.log.Emit(telemetry.EventRequestQuarantined, telemetry.Request(r.req.ID), telemetry.Content(uint64(r.fingerprint())))
			return r.failedResult(reasonCrashes), false
		case ctx.Err() != nil:
			return Result{}, true
		case !verdict.SettlesAt.IsZero():
			sleep(ctx, verdict.SettlesAt.Sub(now))
		case !verdict.Exclusive || r.turn.held:
			return Result{}, true
		case r.takeTurn(ctx): // the owner may have told of further ends
		case !now.Before(waiting.RejectAt()):
			return r.turnTakenResult(), false
		default:
			r.logTurnTaken()
			sleep(ctx, turnPollInterval)
		}
	}
}

// turnTakenResult is the result of a request that has not got its turn in time.
func (r *requestHandler) turnTakenResult() Result {
	if r.retrier.NeverRan() && !r.headSent {
		return refusedResult(reasonTurn, admission.Busy)
	}
	return r.failedResult(reasonTurn)
}

func (r *requestHandler) logTurnTaken() {
	if r.turn.waited {
		return
	}
	r.turn.waited = true
	r.g.log.Emit(telemetry.EventTurnAwaited, telemetry.Request(r.req.ID), telemetry.Content(uint64(r.fingerprint())))
}

// takeTurn asks for the turn to run the request's content and reports whether it was granted. If the
// content's owner does not answer, this daemon grants it.
func (r *requestHandler) takeTurn(ctx context.Context) bool {
	fp := r.fingerprint()
	if r.turn.holder.Number == 0 {
		r.turn.holder = crashes.TurnHolder{Daemon: r.g.self.ID, Number: r.g.lastTurn.Add(1)}
	}
	r.turn.owner = r.turnOwner(fp)
	if r.turn.owner != "" {
		if granted, ok := r.askForTurn(ctx, fp); ok {
			r.turn.held = granted
			return granted
		}
		r.turn.owner = ""
	}
	r.turn.held = r.g.shared.takeTurn(time.Now(), fp, r.turn.holder)
	return r.turn.held
}

// askForTurn asks another daemon for the turn. It returns false as ok if there is no answer.
func (r *requestHandler) askForTurn(ctx context.Context, fp crashes.Fingerprint) (granted, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, turnCallTimeout)
	defer cancel()
	req := crashes.TurnRequest{Content: fp, Number: r.turn.holder.Number, Ends: r.g.shared.endCount(fp)}
	answer, err := r.g.node.Call(ctx, r.turn.owner, req)
	if err != nil {
		return false, false
	}
	resp, ok := answer.Msg.(crashes.TurnResponse)
	r.g.shared.applyEnds(time.Now(), resp.Ends)
	return resp.Granted, ok
}

// turnOwner returns the peer address of the daemon that owns a content, or "" for this one.
func (r *requestHandler) turnOwner(fp crashes.Fingerprint) string {
	var owners []state.DaemonID
	addresses := make(map[state.DaemonID]string)
	for _, i := range r.g.currentView.Load().members.Members {
		if i.Live() && !i.Draining {
			owners = append(owners, i.Member.ID)
			addresses[i.Member.ID] = i.Meta.PeerAddress
		}
	}
	owner, ok := rendezvous.Owner(strconv.FormatUint(uint64(fp), 16), owners)
	if !ok || owner == r.g.self.ID {
		return ""
	}
	return addresses[owner]
}

// releaseTurn ends the request's turn, if it holds one.
func (r *requestHandler) releaseTurn() {
	if !r.turn.held {
		return
	}
	r.turn.held = false
	fp := r.fingerprint()
	release := crashes.TurnRelease{Content: fp, Number: r.turn.holder.Number, Ends: r.g.shared.endsOf(time.Now(), fp)}
	if r.turn.owner == "" {
		r.g.shared.endTurn(time.Now(), r.g.self.ID, release)
		return
	}
	_ = r.g.node.Send(r.turn.owner, release) // the turn expires if the message is lost
}

func (s *sharedState) takeTurn(now time.Time, fp crashes.Fingerprint, holder crashes.TurnHolder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Take(now, fp, holder)
}

// grantTurn answers another daemon that asks for a turn.
func (s *sharedState) grantTurn(now time.Time, from state.DaemonID, req crashes.TurnRequest) crashes.TurnResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var resp crashes.TurnResponse
	if s.crashes.EndCount(req.Content) > req.Ends {
		resp.Ends = s.crashes.NoticesOf(now, req.Content)
	}
	verdict := s.crashes.Judge(now, req.Content)
	if !verdict.Blocked && verdict.SettlesAt.IsZero() {
		resp.Granted = s.turns.Take(now, req.Content, crashes.TurnHolder{Daemon: from, Number: req.Number})
	}
	return resp
}

// endTurn ends a turn of a daemon's request.
func (s *sharedState) endTurn(now time.Time, from state.DaemonID, m crashes.TurnRelease) {
	s.applyEnds(now, m.Ends)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.Release(m.Content, crashes.TurnHolder{Daemon: from, Number: m.Number})
}

// applyEnds applies ends of servers that another daemon has told of.
func (s *sharedState) applyEnds(now time.Time, ends []crashes.EndNotice) {
	for _, n := range ends {
		s.implicate(now.Add(-n.Age()), n.Server, n.Runs()...)
	}
}

func (s *sharedState) endsOf(now time.Time, fp crashes.Fingerprint) []crashes.EndNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.NoticesOf(now, fp)
}

func (s *sharedState) endCount(fp crashes.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.EndCount(fp)
}
