package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// readSize has room for several events at once: usual events have less than 100 bytes.
	readSize = 4 << 10
	// minSilenceDivisor and maxSilenceDivisor divide a route's longest allowed gap. A hop
	// counts as silent after the resulting time; where in this range depends on how long
	// the hop is usually quiet. The rest of the gap is needed to resume on another engine:
	// a probe and a prompt, about 100 ms.
	minSilenceDivisor = 5
	maxSilenceDivisor = 2
	// recheckDivisor divides the gap in the same way: the interval at which a stalled stream
	// is checked again.
	recheckDivisor = 8
	// firstEventDivisor divides the latency target in the same way, for the first event.
	firstEventDivisor = 2
	// lostAnswerGaps is after how many of the longest allowed gaps an answer counts as lost if
	// nothing else tells. Callers leave after eight.
	lostAnswerGaps = 4
)

// stream forwards the events of one answer, complete ones only, so that another engine can
// continue after the last one.
type stream struct {
	r            *requestHandler
	path         fleet.Path
	alternatives *alternatives // to the path
	began        time.Time     // when the header of the answer arrived
	answer       *backend.Answer
	cancel       context.CancelFunc

	tracked     *suspect.Stream
	timer       *time.Timer
	buffer      eventBuffer
	events      int
	answeredAt  time.Time    // when the answer was last taken as evidence for the request's parts
	lastEventAt atomic.Int64 // when the last event arrived, in ns since start
	watch       stallWatch
	answerLost  atomic.Bool // the answer was abandoned although all hops are alive
	ending      atomic.Bool // the answer was abandoned or has ended
	searching   atomic.Bool // whether it is being found out if the stream should leave its path
	endRecorded atomic.Bool // a server of the path is known to have ended
}

func newStream(r *requestHandler, path fleet.Path, answer *backend.Answer, cancel context.CancelFunc) *stream {
	s := &stream{r: r, path: path, alternatives: r.alternatives, began: time.Now(), answer: answer, cancel: cancel}
	r.runStart = s.began
	s.lastEventAt.Store(int64(r.g.sinceStart(time.Now())))
	s.watch.begin(r.g.sinceStart(time.Now()))
	s.tracked = r.g.shared.trackStream(time.Now(), path)
	r.g.shared.addStream(s)
	return s
}

// sinceLastEvent returns the time since the last event.
func (s *stream) sinceLastEvent(now time.Time) time.Duration {
	return s.r.g.sinceStart(now) - time.Duration(s.lastEventAt.Load())
}

func (s *stream) close() {
	s.ending.Store(true)
	s.r.g.shared.removeStream(s)
	if s.timer != nil {
		s.timer.Stop()
	}
}

// forward forwards events until the answer ends.
func (s *stream) forward() (relay.Outcome, Result) {
	buf := make([]byte, readSize)
	s.resetTimer()
	for {
		n, err := s.answer.Body.Read(buf)
		if n > 0 {
			if werr := s.forwardEvents(buf[:n]); werr != nil {
				return 0, Result{Outcome: CallerLeft, Reason: "caller_left"}
			}
			if s.buffer.tooLong() {
				return s.handleBreak(errEventTooLong)
			}
		}
		if errors.Is(err, io.EOF) {
			return s.handleEnd()
		}
		if err != nil {
			return s.handleBreak(err)
		}
	}
}

// resetTimer sets the stall timer for the next event. Only streams that can resume on
// another engine are watched.
func (s *stream) resetTimer() {
	if s.r.route.Repeat != fleet.Resumable {
		return
	}
	gap := s.r.route.Gap / minSilenceDivisor
	if s.events == 0 {
		gap = s.r.route.Target / firstEventDivisor
	}
	if gap <= 0 {
		return
	}
	if s.timer == nil {
		// The timer gets its real timeout by Reset, after it is stored in s: handleStall
		// resets it and may run at once.
		s.timer = time.AfterFunc(time.Hour, s.handleStall)
	}
	s.checkIn(gap - s.probeLead())
}

// checkIn sets the stall timer.
func (s *stream) checkIn(d time.Duration) {
	s.watch.schedule(s.r.g.sinceStart(time.Now()) + d)
	s.timer.Reset(d)
}

// answerTimeout returns after how long a silence the answer counts as lost. If no stream has shown
// recently how long events take, it is a multiple of the longest allowed gap, as long as this daemon
// has been running meanwhile.
//
// Guard (quiet-daemon-answer-lost): on a daemon with few streams, a lost answer would be waited for
// until its caller leaves.
func (s *stream) answerTimeout(now time.Time) time.Duration {
	_, timeout := s.r.g.shared.answerTimeouts(now, s.r.service.ID, s.r.route)
	if timeout > 0 {
		return timeout
	}
	if timeout = lostAnswerGaps * s.r.route.Gap; s.watch.watchedFor(s.r.g.sinceStart(now)) > timeout {
		return timeout
	}
	return 0
}

// handleStall is called when no event has arrived for a while. A stream that is merely slow
// is left alone: resuming it elsewhere would cost a prompt and gain nothing. One that is
// silent for much longer than usual although its hops are alive has lost its answer.
func (s *stream) handleStall() {
	if s.ending.Load() {
		return // the timer was reset while the stream ended
	}
	g, gap, now := s.r.g, s.r.route.Gap, time.Now()
	s.watch.checked(g.sinceStart(now), gap)
	if timeout := s.answerTimeout(now); timeout > 0 && s.sinceLastEvent(now) > timeout && g.shared.abandonsLeft(s.r.service.ID) {
		if _, _, dead := g.shared.deadHop(now, s.path); !dead {
			s.search(s.leaveLostAnswer)
		}
	}
	recheck := gap / recheckDivisor
	if g.currentSettings().Contention.ProbeByTraffic {
		recheck = s.checkByTraffic(now)
	} else {
		hops := g.shared.silentHops(now, s.tracked, gap/minSilenceDivisor, gap/maxSilenceDivisor)
		g.prober.checkHops(s.r.service.ID, hops, hops)
	}
	if !s.ending.Load() {
		s.checkIn(recheck)
	}
}

// reserveRetry reports whether another engine may take over the stream if it is abandoned.
// If none may, the current engine can still continue it or end it.
func (s *stream) reserveRetry() bool { return s.r.reserveRetry(s.path[0].Address) }

// search finds out whether the stream should leave its path, unless that is being done.
func (s *stream) search(leave func()) {
	if !s.searching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.searching.Store(false)
		leave()
	}()
}

// leaveLostAnswer gives up an answer whose events do not come although all hops are alive, if another path answers.
func (s *stream) leaveLostAnswer() {
	g, now := s.r.g, time.Now()
	silence := s.sinceLastEvent(now)
	lastEvent := now.Add(-silence)
	unheard := g.shared.unheardHops(now, s.path, silence)
	if !allAlive(g.prober.probeAllSince(probeSilence, lastEvent, unheard)) {
		return
	}
	var leave []string
	if first := s.path[0].Address; !s.r.isLastAttempt(first) {
		leave = append(leave, first)
	}
	if !s.alternatives.answering(lastEvent, leave...) || s.sinceLastEvent(time.Now()) < silence || !g.shared.mayAbandon(s.r.service.ID) || !s.reserveRetry() {
		return
	}
	if !s.ending.CompareAndSwap(false, true) {
		return
	}
	s.answerLost.Store(true)
	g.log.Emit(telemetry.EventStreamSilent, telemetry.Request(s.r.req.ID), telemetry.Address(s.path[0].Address), telemetry.Duration(silence))
	s.cancel()
}

// hopDied is called when a server of the path was found dead, or when its process is known to have ended.
func (s *stream) hopDied(h fleet.Hop, ended bool) {
	if ended {
		s.endRecorded.Store(true)
		age := time.Since(s.began) - s.sinceLastEvent(time.Now())
		s.r.implicate(h.Server, crashes.Run{Content: s.r.fingerprint(), Phase: crashes.PhaseOf(crashes.Answering, age)})
	}
	switch {
	case s.r.route.Repeat != fleet.Resumable:
	case ended:
		s.leaveHop(h)
	default:
		s.search(func() { s.leaveSilentHop(h) })
	}
}

// leaveSilentHop leaves a server that answers nothing and may still go on, if another path answers.
func (s *stream) leaveSilentHop(h fleet.Hop) {
	now := time.Now()
	silence := s.sinceLastEvent(now)
	if s.alternatives.answering(now.Add(-silence), h.Address) && s.sinceLastEvent(time.Now()) >= silence {
		s.leaveHop(h)
	}
}

// leaveHop gives up the answer because of a hop, if a retry is left.
func (s *stream) leaveHop(h fleet.Hop) {
	if !s.reserveRetry() || !s.ending.CompareAndSwap(false, true) {
		return
	}
	s.r.g.log.Emit(telemetry.EventHopSilent, telemetry.Request(s.r.req.ID), telemetry.Backend(h.Server.ID), telemetry.Address(h.Address))
	s.cancel()
}

// forwardEvents forwards the events that are complete.
func (s *stream) forwardEvents(b []byte) error {
	complete := s.buffer.add(b)
	if len(complete) == 0 {
		return nil
	}
	if !s.r.headSent {
		s.r.headSent = true
		s.r.markPartDelivered()
		s.r.reply.WriteHeader(s.answer.Status, s.answer.Header)
	}
	if err := s.r.reply.Write(complete); err != nil {
		return err
	}
	s.events++
	s.r.recordEvents(complete)
	now := time.Now()
	if s.events > 1 {
		s.r.g.shared.recordEventGap(now, s.r.service.ID, s.sinceLastEvent(now))
		s.r.g.shared.observePause(now, s.r.admission, s.sinceLastEvent(now))
	}
	s.lastEventAt.Store(int64(s.r.g.sinceStart(now)))
	s.r.gaps.record(now, s.r.req.Arrived, s.path[0].Address)
	if id, ok := lastID(complete); ok {
		s.r.lastEventID = id
	}
	s.r.g.shared.recordProgress(now, s)
	if now.Sub(s.began) > crashes.FreshRun && now.Sub(s.answeredAt) >= answeredInterval {
		s.answeredAt = now
		s.r.markPartsAnswered()
		s.r.releaseTurns(true)
	}
	s.resetTimer()
	return nil
}

// handleEnd handles the end of an answer. An answer that ends within an event is not
// complete.
func (s *stream) handleEnd() (relay.Outcome, Result) {
	server := s.r.probeUnframed(s.answer)
	if s.buffer.hasPartial() || server == probeDead {
		return s.handleBreak(io.ErrUnexpectedEOF)
	}
	if !s.r.headSent {
		return 0, s.r.forwardAnswer(s.answer, nil)
	}
	s.r.g.shared.recordAnswer(time.Now(), s.path[0].Address)
	s.r.g.shared.observeStreamEnd(s.r.admission, time.Since(s.began))
	s.r.recordAnswerSize()
	if server == probeAlive {
		s.r.clearImplication()
	}
	return 0, Result{Outcome: Answered}
}

// handleBreak handles an answer that broke off.
func (s *stream) handleBreak(err error) (relay.Outcome, Result) {
	s.r.g.log.Emit(telemetry.EventStreamBroken, telemetry.Request(s.r.req.ID), telemetry.Address(s.path[0].Address),
		telemetry.Count(s.events), telemetry.Cause(err))
	switch {
	case s.answerLost.Load() && !s.r.isLastAttempt(s.path[0].Address):
		s.r.exclude(s.path[0].Address)
	case s.answerLost.Load():
		// No further engine may run the request: only the one that lost this answer, and is
		// alive, can still give it.
	case !errors.Is(err, context.Canceled):
		s.r.g.shared.recordFailure(time.Now(), s.path[0].Address)
		s.r.handleBrokenCall(s.brokenStage())
	}
	return relay.Broken, Result{}
}

func (s *stream) brokenStage() brokenStage {
	if s.events == 0 {
		return brokenBeforeEvent
	}
	return brokenAfterEvent
}
