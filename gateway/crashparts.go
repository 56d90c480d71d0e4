package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// reasonPart is the reason for refusing requests of which a part of the prompt ends servers.
const reasonPart relay.Reason = "part_crashes_servers"

// answeredInterval is how often an answer that goes on is taken as evidence for its parts.
const answeredInterval = 250 * time.Millisecond

// partFingerprints identifies parts of prompts at a service.
func partFingerprints(svc state.ServiceID, ids []string) []crashes.Fingerprint {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]crashes.Fingerprint, 0, len(ids))
	for _, id := range ids {
		var h xxhash.Digest
		h.Reset()
		for _, text := range [...]string{"part", string(svc), id} {
			_, _ = h.WriteString(text) // writing to a hash never fails
			_, _ = h.Write([]byte{0})
		}
		parts = append(parts, crashes.Fingerprint(h.Sum64()))
	}
	return parts
}

// implicateParts records that a server ended under a fresh run of the request, and notifies all
// daemons. Streams call it from several goroutines.
func (r *requestHandler) implicateParts(server state.BackendIncarnation, of crashes.Run) {
	if len(r.parts) == 0 {
		return
	}
	run := crashes.PartRun{Content: of.Content, Parts: r.parts, Tried: r.turn.heldOf(r.parts), Starting: of.Phase == crashes.Starting}
	if len(run.Tried) > 0 {
		r.triedParts.Store(true)
	}
	now := time.Now()
	added, untold := r.g.shared.partsEnded(now, server, true, run)
	for _, run := range added {
		r.g.tellParts(endedPartRun{server: server, run: run, at: now}, len(run.Tried) > 0 || r.showsStart(of.Phase))
	}
	r.g.tellAnswered(untold)
}

// markPartsAnswered records that an answer to the request goes on long after it began, or is
// complete: no part of its prompt ends the servers that begin to answer it.
func (r *requestHandler) markPartsAnswered() {
	if len(r.parts) > 0 {
		r.g.tellAnswered(r.g.shared.partsAnswered(time.Now(), r.parts))
	}
}

// tellAnswered tells the other daemons of parts that stand under suspicion there and were answered
// here.
func (g *Gateway) tellAnswered(parts []crashes.Fingerprint) {
	for _, part := range parts {
		g.clearedContents.add(part)
	}
}

// refusedPartResult is the result of a request of which a part of the prompt ends servers.
func (r *requestHandler) refusedPartResult(verdict requestVerdict) Result {
	r.g.log.Emit(telemetry.EventPartRefused, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Content(uint64(verdict.part)))
	if !r.retrier.NeverRan() || r.headSent {
		return r.failedResult(reasonPart)
	}
	retry := admission.RetryAfter{AvailableIn: time.Until(verdict.trialAt)}
	return Result{Outcome: Refused, Reason: string(reasonPart), RetryAfter: retry.RetryAfter()}
}

// applyParts applies another daemon's notice of a server that ended.
func (g *Gateway) applyParts(now time.Time, n crashes.PartsNotice) {
	_, untold := g.shared.partsEnded(now.Add(-n.Age()), n.Server, false, n.Runs...)
	g.tellAnswered(untold)
}

// partsEnded records fresh runs on a server that ended. It returns those that were not known, and the
// parts of which the other daemons are to be told that they were answered.
func (s *sharedState) partsEnded(at time.Time, server state.BackendIncarnation, own bool, runs ...crashes.PartRun) ([]crashes.PartRun, []crashes.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := s.parts.Ended(at, server, own, runs...)
	return added, s.parts.TakeUntold(time.Now())
}

// partsAnswered records that an answer with parts goes on or is complete. It returns the parts of
// which the other daemons are to be told.
func (s *sharedState) partsAnswered(now time.Time, parts []crashes.Fingerprint) []crashes.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.parts.Answered(now, part)
	}
	return s.parts.TakeUntold(now)
}

func (s *sharedState) suspectParts(now time.Time) []crashes.PartsNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.SuspectNotices(now)
}
