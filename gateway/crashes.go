package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// fingerprint identifies the content of a request: what its server runs. Of an engine that is the body,
// whatever the path by which it came.
func (r *requestHandler) fingerprint() crashes.Fingerprint {
	if r.service.Engine != nil && len(r.req.Body) > 0 {
		return crashes.Fingerprint(r.hashWith("", string(r.service.ID)))
	}
	return crashes.Fingerprint(r.callerKey())
}

// callerKey identifies the caller of a request when it returns.
func (r *requestHandler) callerKey() uint64 { return r.hashWith(r.req.Method, r.req.Target) }

// hashWith hashes what a request is sent to, its customer and its body.
func (r *requestHandler) hashWith(method, target string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{method, target, string(r.customer.ID)} {
		_, _ = h.WriteString(part) // writing to a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.req.Body)
	return h.Sum64()
}

// brokenStage says which part of an answer had arrived when a call broke off.
type brokenStage string

// The values of brokenStage.
const (
	brokenBeforeHeader brokenStage = "before_header"
	brokenInBody       brokenStage = "in_body"
	brokenBeforeEvent  brokenStage = "before_event"
	brokenAfterEvent   brokenStage = "after_event"
)

// progress returns how far an answer that broke off had come.
func (s brokenStage) progress() crashes.Progress {
	switch s {
	case brokenBeforeHeader:
		return crashes.NotBegun
	case brokenBeforeEvent:
		return crashes.Begun
	default:
		return crashes.Answering
	}
}

// handleBrokenCall handles the end of a call whose answer broke off. It finds out which servers
// of the path have ended, and implicates the request's content for them.
func (r *requestHandler) handleBrokenCall(stage brokenStage) {
	now := time.Now()
	run := crashes.Run{Content: r.fingerprint(), Phase: crashes.PhaseOf(stage.progress(), now.Sub(r.runStart))}
	if r.service.Engine == nil {
		run.Phase = crashes.Fresh // a plain server does not show when a run begins
	}
	first := r.path[0]
	result := r.g.prober.probeSince(probeEnd, now, first.Server, first.Address)
	r.logBrokenCall(stage, first.Address, result.outcome, run.Content)
	switch {
	case result.outcome == probeDead || result.provesEnd(first.Server):
		r.implicate(first.Server, run)
	case result.outcome == probeAlive:
		for _, h := range r.g.prober.endedHops(now, r.path[1:]) {
			r.implicate(h.Server, run)
		}
	}
}

// logBrokenCall records that a call to a server broke off, and what a probe showed of it.
func (r *requestHandler) logBrokenCall(stage brokenStage, address string, outcome probeOutcome, fp crashes.Fingerprint) {
	detail := string(stage) + ":" + string(outcome)
	r.g.metrics.CountReason(telemetry.GatewayBrokenCallsTotal, detail)
	r.g.log.Emit(telemetry.EventCallBroken, telemetry.Request(r.req.ID), telemetry.Address(address),
		telemetry.Detail(detail), telemetry.Content(uint64(fp)))
}

// implicate records that a server ended while it ran the request's content, and notifies all
// daemons if that was not known. Of a request's runs that had not just begun, only the first counts:
// the content has gone on at another server since. Streams call it from several goroutines.
func (r *requestHandler) implicate(server state.BackendIncarnation, run crashes.Run) {
	if run.Phase.IsFresh() {
		r.implicateParts(server, run)
	} else if !r.olderRunEnded.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	added, servers := r.g.shared.implicate(now, server, run)
	if len(added) == 0 {
		return
	}
	r.g.log.Emit(telemetry.EventRequestImplicated, telemetry.Request(r.req.ID), telemetry.Backend(server.ID),
		telemetry.Count(servers), telemetry.Content(uint64(run.Content)))
	r.g.tellEnd(endedRun{server: server, run: run, at: now}, r.showsStart(run.Phase))
	if r.g.shared.keepCrash(run.Content) {
		r.g.requestRetryRecord()
	}
}

// showsStart reports whether a run of the request was starting as its server ended, as far as the kind of
// the server shows it: a plain one does not.
func (r *requestHandler) showsStart(phase crashes.Phase) bool {
	return phase == crashes.Starting || r.service.Engine == nil
}

// clearImplication records that a request was answered completely: its content crashes no
// server.
func (r *requestHandler) clearImplication() {
	r.markPartsAnswered()
	fp, servers := r.g.shared.clearImplication(time.Now(), r.fingerprint)
	if servers == 0 {
		return
	}
	r.g.log.Emit(telemetry.EventContentCleared, telemetry.Request(r.req.ID), telemetry.Count(servers), telemetry.Content(uint64(fp)))
	r.g.clearedContents.add(fp)
}

// mayRunNow reports whether the request's content and parts may be sent to a server at once. It is
// asked immediately before each send: they may have been implicated while the request waited.
func (r *requestHandler) mayRunNow(now time.Time) bool {
	verdict := r.judge(now)
	r.heldBack = verdict.blocked || !verdict.settlesAt.IsZero() || !r.turn.holds(verdict.turns)
	return !r.heldBack
}

// requestVerdict says whether a request may be sent to a server, after its content and the parts of
// its prompt.
type requestVerdict struct {
	blocked   bool
	part      crashes.Fingerprint // the part that is blocked, or 0 if the content is
	trialAt   time.Time           // when the blocked part may be tried again
	settlesAt time.Time           // when it can be decided, or zero if it is
	turns     []crashes.Fingerprint
}

// include adds the verdict on the request's content, or on a part.
func (v *requestVerdict) include(of crashes.Verdict, fp, part crashes.Fingerprint) {
	if of.Blocked && !v.blocked {
		v.blocked, v.part, v.trialAt = true, part, of.TrialAt
	}
	if of.SettlesAt.After(v.settlesAt) {
		v.settlesAt = of.SettlesAt
	}
	if of.Exclusive {
		v.turns = append(v.turns, fp)
	}
}

// judge decides whether the request may be sent to a server. The fingerprint of its content is computed
// only if servers have ended.
func (r *requestHandler) judge(now time.Time) requestVerdict {
	s := r.g.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	var v requestVerdict
	if !s.crashes.Empty() {
		fp := r.fingerprint()
		v.include(s.crashes.Judge(now, fp), fp, 0)
	}
	if !s.parts.Empty() {
		for _, part := range r.parts {
			v.include(s.parts.Judge(now, part), part, part)
		}
	}
	return v
}

func (s *sharedState) implicate(at time.Time, server state.BackendIncarnation, runs ...crashes.Run) (added []crashes.Run, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added = s.crashes.Implicate(at, server, runs...)
	for _, run := range added {
		servers = max(servers, s.crashes.EndCount(run.Content))
	}
	return added, servers
}

// clearImplication removes a content's implications, and returns the number of servers that
// they name. The fingerprint is computed only if there are any.
func (s *sharedState) clearImplication(now time.Time, fingerprint func() crashes.Fingerprint) (crashes.Fingerprint, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes.Empty() {
		return 0, 0
	}
	fp := fingerprint()
	return fp, s.crashes.Clear(now, fp)
}

func (s *sharedState) clearContents(at time.Time, contents []crashes.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fp := range contents {
		s.crashes.ClearedElsewhere(at, fp)
		s.parts.Cleared(at, fp)
	}
}

func (s *sharedState) blockedContents(now time.Time) []crashes.EndNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.BlockedNotices(now)
}

// keepCrash includes a content in this daemon's records and reports whether a record is due.
func (s *sharedState) keepCrash(fp crashes.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Keep(fp)
	return s.crashes.NeedsRecord() || s.parts.NeedsRecord()
}

func (s *sharedState) needsCrashRecord() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.NeedsRecord() || s.parts.NeedsRecord()
}

// newCrashRecord returns the record to be written, or nil if there is nothing to record.
func (s *sharedState) newCrashRecord(now time.Time, tableNow time.Duration) *crashes.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.crashes.NewRecord(now, tableNow)
	record.Parts = s.parts.NewRecord(now, tableNow)
	if len(record.Ends) == 0 && len(record.Parts) == 0 {
		return nil
	}
	return &record
}

func (s *sharedState) setCrashesUnrecorded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.SetUnrecorded()
	s.parts.SetUnrecorded()
}

func (s *sharedState) restoreCrashes(now time.Time, tableNow time.Duration, record crashes.Record, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Restore(now, tableNow, record, own)
	s.parts.Restore(now, tableNow, record.Parts, own)
}
