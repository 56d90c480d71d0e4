package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// defaultLateAnswer is after which time a plain server is checked that has not answered, if no answers
// of its service are known and its route names no target.
const defaultLateAnswer = 500 * time.Millisecond

// maxControls is how many other servers are probed at most to find out that the silence of one is its own.
const maxControls = 3

// What is done about another daemon's notice that a server is silent, in logs.
const (
	toldChecked = "checked"
	toldIgnored = "ignored"
)

// answerLate is the detail of a server's failure to answer in time, in logs.
const answerLate = "late"

// serverFailed records that the plain server of the current attempt has refused or failed the request.
func (r *requestHandler) serverFailed(status int, outcome relay.Outcome) {
	r.recordServerFailure(r.path[0], r.runStart, status, attemptOutcomeNames[outcome], outcome == relay.Errored)
}

// recordServerFailure records that a plain server has failed a request that was sent at a time. answered is
// set if it has said so itself after running the request.
func (r *requestHandler) recordServerFailure(hop fleet.Hop, sent time.Time, status int, detail string, answered bool) {
	now := time.Now()
	unheard := r.g.shared.unheard(sent, r.service.ID, hop.Server)
	if detail != answerLate {
		r.g.shared.heard(now, r.service.ID, hop.Server)
	}
	r.g.log.Emit(telemetry.EventBackendFailed, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Backend(hop.Server.ID),
		telemetry.Address(hop.Address), telemetry.Detail(detail), telemetry.Count(status), telemetry.Duration(unheard))
	r.g.handleEjection(r.service.ID, hop, r.g.shared.serverFailed(now, sent, r.service.ID, hop.Server, answered))
}

// serverAnswered records that the plain server of the current attempt has answered the request.
func (r *requestHandler) serverAnswered() {
	r.g.handleEjection(r.service.ID, r.path[0], r.g.shared.serverAnswered(time.Now(), r.runStart, r.service.ID, r.path[0]))
}

// handleEjection logs the beginning or the end of a plain server's ejection, and tells the other daemons
// as far as they should know.
func (g *Gateway) handleEjection(svc state.ServiceID, hop fleet.Hop, e outlier.Ejection) {
	switch {
	case e.Returned:
		g.log.Emit(telemetry.EventBackendReturned, telemetry.Service(svc), telemetry.Backend(hop.Server.ID), telemetry.Address(hop.Address))
		g.waits.changed()
	case e.For > 0:
		g.log.Emit(telemetry.EventBackendEjected, telemetry.Service(svc), telemetry.Backend(hop.Server.ID),
			telemetry.Address(hop.Address), telemetry.Duration(e.For))
	}
	g.tellEjection(svc, hop, e)
}

func (g *Gateway) tellEjection(svc state.ServiceID, hop fleet.Hop, e outlier.Ejection) {
	if e.Tell {
		g.broadcast(outlier.Notice{Service: svc, Server: hop.Server, MS: e.For.Milliseconds(), Silent: e.Silent})
	}
}

// watchLateAnswer acts on an answer of a plain server that is late: it gives up the attempt as lost, as
// far as abandonLate does, and finds out whether the server answers anything. ctx is that of the
// call. The caller stops the timer once the answer has begun.
func (r *requestHandler) watchLateAnswer(ctx context.Context, cancel context.CancelFunc) *time.Timer {
	hop, sent := r.path[0], r.runStart
	abandon, first := r.abandonsLate()
	if !abandon {
		first = r.lateAnswer()
	}
	due := time.Now().Add(first)
	return time.AfterFunc(first, func() {
		// A timer that fires late shows that this process did not run, and nothing of the server.
		if time.Since(due) < probeOverrun {
			r.handleLateAnswer(ctx, cancel, hop, sent)
		}
		if abandon {
			r.abandonLate(cancel, hop.Address)
		}
	})
}

// handleLateAnswer counts a late answer as a failure of the server, and begins to check the server if that
// is due.
func (r *requestHandler) handleLateAnswer(ctx context.Context, cancel context.CancelFunc, hop fleet.Hop, sent time.Time) {
	due, held := r.g.shared.lateCheckDue(time.Now(), sent, r.service.ID, hop.Server)
	r.recordServerFailure(hop, sent, 0, answerLate, false)
	if due || held {
		go r.checkLateServer(ctx, cancel, hop, held)
	}
}

// checkLateServer finds out whether a plain server that is late with an answer answers anything, unless
// that is known. If not, and another one does, it is ejected, and the request goes on elsewhere as far as
// it may.
func (r *requestHandler) checkLateServer(ctx context.Context, cancel context.CancelFunc, hop fleet.Hop, known bool) {
	if !known && !r.g.prober.isSilent(r.service.ID, hop) {
		return
	}
	r.leaveSilent(ctx, cancel, hop)
	if !known {
		r.g.holdSilent(r.service.ID, hop)
	}
}

// lateAnswer is after which time the answer of the current attempt is late.
func (r *requestHandler) lateAnswer() time.Duration {
	if first, _ := r.g.shared.answerTimeouts(time.Now(), r.service.ID, r.route); first > 0 {
		return first
	}
	if r.route.Target > 0 {
		return r.route.Target
	}
	return defaultLateAnswer
}

// leaveSilent gives up an attempt at a server that does not answer, if another one follows. ctx is that of
// the call.
func (r *requestHandler) leaveSilent(ctx context.Context, cancel context.CancelFunc, hop fleet.Hop) {
	if ctx.Err() == nil && r.route.Repeat != fleet.AtMostOnce && r.stopAllowsRepeat(time.Now()) && r.reserveRetry(hop.Address) {
		cancel()
	}
}

// isSilent probes a plain server, and others of its service: only if one of them answers meanwhile, the
// silence is the server's.
func (p *prober) isSilent(svc state.ServiceID, hop fleet.Hop) bool {
	began := time.Now()
	result := p.probe(probeSilence, hop.Server, hop.Address)
	if result.outcome != probeDead || result.provesEnd(hop.Server) {
		return false
	}
	others := lo.Filter(p.g.currentView.Load().servers[svc], func(s fleet.Server, _ int) bool { return s.Address != hop.Address })
	return slices.ContainsFunc(lo.Samples(others, maxControls), func(other fleet.Server) bool {
		return p.probeSince(probeSilence, began, other.Incarnation(), other.Address).outcome == probeAlive
	})
}

// holdSilent keeps requests from a plain server that does not answer, and probes it until it does or is not
// listed any more.
func (g *Gateway) holdSilent(svc state.ServiceID, hop fleet.Hop) {
	wait := g.prober.recoveryInterval(0, false)
	ejection, known := g.shared.holdServer(time.Now(), svc, hop.Server, wait)
	if known {
		return
	}
	g.handleEjection(svc, hop, ejection)
	for probes := 1; ; probes++ {
		select {
		case <-g.done:
			return
		case <-time.After(wait):
		}
		if !g.currentView.Load().lists(hop) || g.prober.probe(probeRecovery, hop.Server, hop.Address).outcome == probeAlive {
			g.handleEjection(svc, hop, g.shared.returnServer(time.Now(), svc, hop.Server))
			return
		}
		wait = g.prober.recoveryInterval(probes, false)
		ejection, _ = g.shared.holdServer(time.Now(), svc, hop.Server, wait)
		g.tellEjection(svc, hop, ejection)
	}
}

// receiveEjection records another daemon's notice of a plain server. A server that is said to be silent is
// probed from here as well, at a random moment, so that not all daemons do so at once.
func (g *Gateway) receiveEjection(at time.Time, n outlier.Notice) {
	probe, ignored := g.shared.receiveEjection(at, n)
	if probe || ignored {
		detail := toldChecked
		if ignored {
			detail = toldIgnored
		}
		g.log.Emit(telemetry.EventBackendToldSilent, telemetry.Service(n.Service), telemetry.Backend(n.Server.ID), telemetry.Detail(detail))
	}
	if !probe {
		return
	}
	servers := g.currentView.Load().servers[n.Service]
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return s.Incarnation() == n.Server })
	if i < 0 {
		return
	}
	hop := fleet.Hop{Server: n.Server, Address: servers[i].Address}
	time.AfterFunc(rand.N(toldCheckSpread), func() {
		g.checkToldSilent(n.Service, hop)
	})
}

// checkToldSilent probes a plain server of which another daemon has told that it is silent.
func (g *Gateway) checkToldSilent(svc state.ServiceID, hop fleet.Hop) {
	switch {
	case g.prober.isSilent(svc, hop):
		g.holdSilent(svc, hop)
	case g.prober.probe(probeSilence, hop.Server, hop.Address).outcome == probeAlive:
		g.shared.contradictSilence(time.Now(), svc, hop.Server)
	}
}

func (s *sharedState) serverFailed(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation, tell bool) outlier.Ejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.Failed(now, sentAt, svc, server, tell)
}

func (s *sharedState) serverAnswered(now, sentAt time.Time, svc state.ServiceID, hop fleet.Hop) outlier.Ejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordAnswer(now, hop.Address)
	s.outliers.Heard(now, svc, hop.Server)
	return s.outliers.Answered(now, sentAt, svc, hop.Server)
}

// lateCheckDue reports whether a plain server is to be checked because of a late answer, or whether it is
// known to answer nothing.
func (s *sharedState) lateCheckDue(now, sentAt time.Time, svc state.ServiceID, server state.BackendIncarnation) (due, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.CheckDue(now, sentAt, svc, server), s.outliers.Held(svc, server)
}

// holdServer ejects a server that answers no probe, and reports whether it was known.
func (s *sharedState) holdServer(now time.Time, svc state.ServiceID, server state.BackendIncarnation, d time.Duration) (e outlier.Ejection, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known = s.outliers.Held(svc, server)
	return s.outliers.Eject(now, svc, server, d), known
}

func (s *sharedState) returnServer(now time.Time, svc state.ServiceID, server state.BackendIncarnation) outlier.Ejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outliers.Return(now, svc, server)
}

// receiveEjection records another daemon's notice, and reports whether the server is to be probed because
// it is said to be silent, or whether that is ignored.
func (s *sharedState) receiveEjection(at time.Time, n outlier.Notice) (probe, ignored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	probe = s.outliers.Receive(at, n)
	return probe, n.Silent && n.MS > 0 && !probe && !s.outliers.Held(n.Service, n.Server)
}

func (s *sharedState) contradictSilence(now time.Time, svc state.ServiceID, server state.BackendIncarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outliers.Contradict(now, svc, server)
}

// mayTryEjected reports whether a request may find out whether an ejected server has recovered: it could
// go on elsewhere.
func (s *sharedState) mayTryEjected(now time.Time, v *view, svc state.ServiceID, search *serverSearch) bool {
	return search.repeatable && s.budget.Left(now, svc, v.slackShare) > 0
}

// plainSearch returns the search for a plain server for an attempt of the request.
func (r *requestHandler) plainSearch() *serverSearch {
	r.search.repeatable = r.route.Repeat != fleet.AtMostOnce
	r.search.unverified = r.unverified
	return &r.search
}
